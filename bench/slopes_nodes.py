"""Control tasks of many daemons in one process, for ``bench/slopes.py``."""

import collections
import gc
import random
import resource
import sys
import time
import typing

import anyio
import anyio.abc
import httpx
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.daemons import _listing
from swiftjunction.daemons import _watches
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import web
from swiftjunction import weights

REGIONS = 3
DATA_CENTERS = 12
SEEDS = 3
SERVERS_PER_DAEMON = 29
# Each server's report changes about three times with each weight version.
SERVER_CHANGE_SECONDS = 24 * 60 / 3
HEARTBEAT_SECONDS = 1.0
LOADED_SECONDS = 2.5


def make_address(number: int) -> str:
    """Return the link address of daemon `number`."""
    return f'127.3.{number // 250}.{number % 250 + 1}:8071'


def make_process(number: int) -> membership.Process:
    """Describe daemon `number`."""
    address = make_address(number)
    return membership.Process(
        f'vm-{number}',
        'conductor',
        address,
        address,
        f'dc-{number % DATA_CENTERS}',
        f'region-{number % REGIONS}',
    )


def make_server(owner: int, number: int, version: int) -> links.Record:
    """Return the record of one backend server."""
    process = make_process(owner)
    name = f'engine-{owner}-{number}'
    report = backends.ServerReport(
        name,
        '10.10.100.100:9000',
        'fit',
        process.data_center,
        process.region,
        'live',
        version,
        version,
    )
    return links.Record(
        f'{backends.SERVER_PREFIX}{name}', 1, msgspec.msgpack.encode(report)
    )


def make_records(size: int) -> list[links.Record]:
    """Return the records of a fleet in which nothing happens."""
    processes = [make_process(number) for number in range(size)]
    return [
        *(
            links.Record(
                f'process/{process.name}', 1, msgspec.msgpack.encode(process)
            )
            for process in processes
        ),
        *(
            make_server(owner, number, 0)
            for owner in range(size)
            for number in range(SERVERS_PER_DAEMON)
        ),
    ]


class Node:
    """What every kind of daemon in the measurement has.

    Attributes
    ----------
    arrivals : list
        Of each change of the configuration its version and the time of the
        machine's monotonic clock at which it was in force here.
    """

    def __init__(self, number: int, size: int, objects: str, vms: str) -> None:
        self.number = number
        self.size = size
        self.process = make_process(number)
        self.rng = random.Random(number)
        self.links = links.PeerTransport(self.process.link)
        self.table = membership.RecordTable()
        self.processes = membership.ProcessList(self.table)
        self.tree = configuration.Tree(self.table)
        self.directory = backends.Directory(self.table)
        self.arrivals: list[tuple[int, float]] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.dead_seen: list[tuple[str, float]] = []
        self.table.listen('config/', self._note_arrival)
        self.table.listen('process/', self._note_death)
        self._objects = self._connect(objects)
        self.vms = objectstore.VmList(self._connect(vms))
        self.store = objectstore.HttpObjectStore(self._objects)

    def _connect(self, address: str) -> httpx.AsyncClient:
        client = web.create_client(f'http://{address}')
        client.event_hooks = {'request': [self._count_call]}
        return client

    async def _count_call(self, request: httpx.Request) -> None:
        self.calls[request.url.path.split('/')[1]] += 1

    def _note_arrival(self, record: links.Record) -> None:
        self.arrivals.append((record.version, time.monotonic()))

    def _note_death(self, record: links.Record) -> None:
        process = msgspec.msgpack.decode(record.value, type=membership.Process)
        if process.state == 'dead':
            self.dead_seen.append((process.name, time.monotonic()))

    def make_watches(
        self, is_watcher: typing.Callable[[], bool]
    ) -> list[_watches.PrefixWatcher]:
        """Return the watches of the platform."""
        return [
            _watches.PrefixWatcher(
                self.store, prefix, self.table, self.rng, is_watcher
            )
            for prefix in (
                configuration.CONFIGURATION_PREFIX,
                weights.WEIGHTS_PREFIX,
            )
        ]

    def load(self, records: list[links.Record]) -> None:
        """Take in what a daemon of a fleet that has long run holds."""
        self.table.apply(records)

    async def report_servers(self) -> None:
        """Change the records of this daemon's backend servers."""
        version = 0
        while True:
            version += 1
            number = version % SERVERS_PER_DAEMON
            pause = SERVER_CHANGE_SECONDS / SERVERS_PER_DAEMON
            await anyio.sleep(pause * self.rng.uniform(0.5, 1.5))
            self._report_server(number, version)

    def _report_server(self, number: int, version: int) -> None:
        record = make_server(self.number, number, version)
        self.table.put(record.key, record.value)

    async def run(self) -> None:
        """Run until cancelled."""


class ProductNode(Node):
    """The control tasks of this project's conductor."""

    def __init__(self, number: int, size: int, objects: str, vms: str) -> None:
        super().__init__(number, size, objects, vms)
        announcement = membership.Announcement(self.table, self.process)
        self.replicator = membership.Replicator(
            self.links, self.table, self.rng
        )
        self.agent = membership.MembershipAgent(
            announcement,
            self.links,
            self.table,
            self.processes,
            self.replicator,
            set(),
            lambda: {make_address(n) for n in range(SEEDS)},
            self.rng,
        )

    def load(self, records: list[links.Record]) -> None:
        super().load(records)
        # Nothing of it is news to the others: drop it with no peer to send to.
        self.replicator.set_relay_peers(set())
        self.replicator.flush()

    async def run(self) -> None:
        poller = _listing.VmListPoller(
            self.vms, self.table, lambda: self.agent.find_rank('vm list', 2)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run, self.replicator.handle)
            tasks.start_soon(self.replicator.run)
            tasks.start_soon(self.agent.run)
            tasks.start_soon(poller.run)
            tasks.start_soon(self.report_servers)
            for watch in self.make_watches(self.agent.is_watcher):
                tasks.start_soon(watch.run)


class BaselineNode(Node):
    """Each daemon watches the platform and sends to every peer."""

    def __init__(self, number: int, size: int, objects: str, vms: str) -> None:
        super().__init__(number, size, objects, vms)
        membership.Announcement(self.table, self.process)
        self._peers = [make_address(n) for n in range(size) if n != number]
        self.table.listen(backends.SERVER_PREFIX, self._broadcast)
        self._receiving = False

    def _broadcast(self, record: links.Record) -> None:
        if self._receiving:
            return
        for peer in self._peers:
            self.links.post(links.Delta(self.process.link, [record]), peer)

    def _handle(self, message: links.Message) -> None:
        if isinstance(message, links.Delta):
            self._receiving = True
            self.table.apply(message.records)
            self._receiving = False

    async def _heartbeat(self) -> None:
        key = f'process/{self.process.name}'
        while True:
            record = self.table.get(key)
            assert record is not None, 'announced at the start'
            for peer in self._peers:
                self.links.post(links.Delta(self.process.link, [record]), peer)
                await anyio.sleep(HEARTBEAT_SECONDS / len(self._peers))

    async def _read_vms(self) -> None:
        while True:
            await self.vms.read()
            await anyio.sleep(1.0)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run, self._handle)
            # All at once would be more than the sockets' buffers hold.
            await anyio.sleep(self.rng.uniform(0, 3))
            tasks.start_soon(self._heartbeat)
            tasks.start_soon(self._read_vms)
            tasks.start_soon(self.report_servers)
            for watch in self.make_watches(lambda: True):
                tasks.start_soon(watch.run)


KINDS = {'product': ProductNode, 'baseline': BaselineNode}


def read_resident_bytes() -> int:
    """Return the memory of this process."""
    with open('/proc/self/statm') as found:
        return int(found.read().split()[1]) * resource.getpagesize()


def _total_traffic(nodes: list[Node]) -> dict[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for node in nodes:
        totals.update(msgspec.structs.asdict(node.links.traffic))
        totals.update({f'calls_{k}': v for k, v in node.calls.items()})
    return dict(totals)


def _report(nodes: list[Node], base_bytes: int) -> dict[str, object]:
    return {
        'nodes': len(nodes),
        'cpu_seconds': time.process_time(),
        'time': time.monotonic(),
        'resident_bytes': read_resident_bytes(),
        'base_bytes': base_bytes,
        'totals': _total_traffic(nodes),
        'arrivals': [a for node in nodes for a in node.arrivals],
        'dead': [d for node in nodes for d in node.dead_seen],
        'records': [len(node.table) for node in nodes],
        'live': [
            len(list(node.processes.select('conductor'))) for node in nodes
        ],
        'suspicions': sum(
            node.agent.prober.suspicions
            for node in nodes
            if isinstance(node, ProductNode)
        ),
    }


async def run_nodes(
    kind: str, numbers: range, size: int, objects: str, vms: str
) -> None:
    """Run nodes; write a report for each line read; end with the input."""
    base_bytes = read_resident_bytes()
    nodes = [KINDS[kind](n, size, objects, vms) for n in numbers]
    records = make_records(size)
    for node in nodes:
        node.load(records)
    # A collection of what is loaded here takes as long as those of all these
    # daemons together, and stops all of them; a daemon's own takes a few ms.
    gc.collect()
    gc.freeze()
    print('ready', flush=True)
    await anyio.to_thread.run_sync(sys.stdin.readline)
    # What was loaded is no longer recent then.
    await anyio.sleep(LOADED_SECONDS)
    scopes = {n.number: anyio.CancelScope() for n in nodes}

    async def run(node: Node) -> None:
        with scopes[node.number]:
            await node.run()

    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(run, node)
        async for line in anyio.wrap_file(sys.stdin):
            word, _, number = line.strip().partition(' ')
            if word == 'kill':
                if int(number) in scopes:
                    scopes[int(number)].cancel()
                    nodes = [n for n in nodes if n.number != int(number)]
                continue
            report = _report(nodes, base_bytes)
            sys.stdout.write(msgspec.json.encode(report).decode() + '\n')
            sys.stdout.flush()
        tasks.cancel_scope.cancel()


if __name__ == '__main__':
    anyio.run(
        run_nodes,
        sys.argv[1],
        range(int(sys.argv[2]), int(sys.argv[3])),
        int(sys.argv[4]),
        sys.argv[5],
        sys.argv[6],
    )
