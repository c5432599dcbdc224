"""Runs control tasks of many daemons in one process for bench/slopes.py."""

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
# A server's report changes about three times per weight version.
SERVER_CHANGE_SECONDS = 24 * 60 / 3
HEARTBEAT_SECONDS = 1.0
AFTER_LOAD_SECONDS = 2.5


def make_address(number: int) -> str:
    """Return the link address of daemon `number`."""
    return f'127.3.{number // 250}.{number % 250 + 1}:8071'


def make_process(number: int) -> membership.Process:
    """Return the membership record of daemon `number`."""
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
    """Return the record of backend server `number` of daemon `owner`."""
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
    """Return the records of a fleet of `size` daemons in a steady state."""
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
    """Base class of the daemons that are compared.

    Parameters
    ----------
    number, size : int
        Number of the daemon, and number of daemons in the fleet.
    objects, vms : str
        Addresses of the stand-ins for the object API and the VM list.

    Attributes
    ----------
    arrivals : list
        Version of each configuration change, and the time of the monotonic
        clock when this daemon applied it.
    calls : collections.Counter
        Calls of the platform by the first part of their path.
    death_times : list
        Name of each process that was declared dead, and the time of the
        monotonic clock when this daemon received it.
    """

    def __init__(self, number: int, size: int, objects: str, vms: str) -> None:
        self.number = number
        self.size = size
        self.process = make_process(number)
        self.rng = random.Random(number)
        self.transport = links.PeerTransport(self.process.link)
        self.table = membership.RecordTable()
        self.processes = membership.ProcessList(self.table)
        self.tree = configuration.Tree(self.table)
        self.directory = backends.Directory(self.table)
        self.arrivals: list[tuple[int, float]] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.death_times: list[tuple[str, float]] = []
        self.table.listen('config/', self._record_arrival)
        self.table.listen('process/', self._record_death)
        self._object_client = self._create_client(objects)
        self.vms = objectstore.VmList(self._create_client(vms))
        self.store = objectstore.HttpObjectStore(self._object_client)

    def _create_client(self, address: str) -> httpx.AsyncClient:
        client = web.create_client(f'http://{address}')
        client.event_hooks = {'request': [self._count_call]}
        return client

    async def _count_call(self, request: httpx.Request) -> None:
        self.calls[request.url.path.split('/')[1]] += 1

    def _record_arrival(self, record: links.Record) -> None:
        self.arrivals.append((record.version, time.monotonic()))

    def _record_death(self, record: links.Record) -> None:
        process = msgspec.msgpack.decode(record.value, type=membership.Process)
        if process.state == 'dead':
            self.death_times.append((process.name, time.monotonic()))

    def make_watchers(
        self, is_watcher: typing.Callable[[], bool]
    ) -> list[_watches.PrefixWatcher]:
        """Create watchers of the configuration and the weights."""
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
        """Apply the records that a daemon of a running fleet already has."""
        self.table.apply(records)

    async def report_servers(self) -> None:
        """Change the records of this daemon's backend servers in turn."""
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
    """Daemon with the control tasks of the conductor."""

    def __init__(self, number: int, size: int, objects: str, vms: str) -> None:
        super().__init__(number, size, objects, vms)
        announcement = membership.Announcement(self.table, self.process)
        self.replicator = membership.Replicator(
            self.transport, self.table, self.rng
        )
        self.agent = membership.MembershipAgent(
            announcement,
            self.transport,
            self.table,
            self.processes,
            self.replicator,
            set(),
            lambda: {make_address(n) for n in range(SEEDS)},
            self.rng,
        )

    def load(self, records: list[links.Record]) -> None:
        super().load(records)
        # All peers have these records already; without relay peers, flushing
        # drops the pending updates.
        self.replicator.set_relay_peers(set())
        self.replicator.flush()

    async def run(self) -> None:
        poller = _listing.VmListPoller(
            self.vms, self.table, lambda: self.agent.find_rank('vm list', 2)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.transport.run, self.replicator.handle)
            tasks.start_soon(self.replicator.run)
            tasks.start_soon(self.agent.run)
            tasks.start_soon(poller.run)
            tasks.start_soon(self.report_servers)
            for watcher in self.make_watchers(self.agent.is_watcher):
                tasks.start_soon(watcher.run)


class BaselineNode(Node):
    """Daemon that watches the platform and broadcasts to every peer."""

    def __init__(self, number: int, size: int, objects: str, vms: str) -> None:
        super().__init__(number, size, objects, vms)
        membership.Announcement(self.table, self.process)
        self._peers = [make_address(n) for n in range(size) if n != number]
        self.table.listen(backends.SERVER_PREFIX, self._broadcast)
        self._applying_update = False

    def _broadcast(self, record: links.Record) -> None:
        if self._applying_update:
            return
        for peer in self._peers:
            self.transport.post(links.Delta(self.process.link, [record]), peer)

    def _handle(self, message: links.Message) -> None:
        if isinstance(message, links.Delta):
            self._applying_update = True
            self.table.apply(message.records)
            self._applying_update = False

    async def _send_heartbeats(self) -> None:
        key = f'process/{self.process.name}'
        while True:
            record = self.table.get(key)
            assert record is not None, 'announced at the start'
            for peer in self._peers:
                self.transport.post(
                    links.Delta(self.process.link, [record]), peer
                )
                await anyio.sleep(HEARTBEAT_SECONDS / len(self._peers))

    async def _poll_vms(self) -> None:
        while True:
            await self.vms.read()
            await anyio.sleep(1.0)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.transport.run, self._handle)
            # If all daemons started at once, socket buffers would overflow.
            await anyio.sleep(self.rng.uniform(0, 3))
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._poll_vms)
            tasks.start_soon(self.report_servers)
            for watcher in self.make_watchers(lambda: True):
                tasks.start_soon(watcher.run)


KINDS = {'product': ProductNode, 'baseline': BaselineNode}


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


def _sum_traffic(nodes: list[Node]) -> dict[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for node in nodes:
        totals.update(msgspec.structs.asdict(node.transport.traffic))
        totals.update({f'calls_{k}': v for k, v in node.calls.items()})
    return dict(totals)


def _make_report(nodes: list[Node], base_bytes: int) -> dict[str, object]:
    return {
        'nodes': len(nodes),
        'cpu_seconds': time.process_time(),
        'time': time.monotonic(),
        'resident_bytes': read_resident_bytes(),
        'base_bytes': base_bytes,
        'totals': _sum_traffic(nodes),
        'arrivals': [a for node in nodes for a in node.arrivals],
        'dead': [d for node in nodes for d in node.death_times],
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
    """Run the nodes `numbers` until the end of the standard input.

    The first line of the input starts the nodes. A line ``kill N`` stops
    node N; every other line prints a report as one line of JSON.

    Parameters
    ----------
    kind : str
        Key of `KINDS`.
    numbers : range
        Numbers of the daemons in this process.
    size : int
        Number of daemons in the fleet.
    objects, vms : str
        Addresses of the stand-ins for the object API and the VM list.
    """
    base_bytes = read_resident_bytes()
    nodes = [KINDS[kind](n, size, objects, vms) for n in numbers]
    records = make_records(size)
    for node in nodes:
        node.load(records)
    # Excludes the loaded objects from garbage collection: one collection over
    # all these daemons takes as long as their separate collections together,
    # and pauses all of them. A daemon in its own process takes a few ms.
    gc.collect()
    gc.freeze()
    print('ready', flush=True)
    await anyio.to_thread.run_sync(sys.stdin.readline)
    # Until the loaded records no longer count as recent changes.
    await anyio.sleep(AFTER_LOAD_SECONDS)
    scopes = {n.number: anyio.CancelScope() for n in nodes}

    async def run(node: Node) -> None:
        with scopes[node.number]:
            await node.run()

    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(run, node)
        async for line in anyio.wrap_file(sys.stdin):
            command, _, number = line.strip().partition(' ')
            if command == 'kill':
                if int(number) in scopes:
                    scopes[int(number)].cancel()
                    nodes = [n for n in nodes if n.number != int(number)]
                continue
            report = _make_report(nodes, base_bytes)
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
