"""Gives orders to the engines of the shards that this conductor owns.

An engine is in one shard all its life, whatever it serves, and every order to
it is given under the lease of that shard. So it sees the fencing tokens of
one lease only, and no two holders ever order it.
"""

import anyio
import anyio.abc
import xxhash

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import platform
from swiftjunction import telemetry
from swiftjunction import weights

SHARDS = 32
ASSIGN_INTERVAL_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 1.0


def choose_shard(server: str) -> int:
    """Return the shard of the engine named `server`."""
    return xxhash.xxh3_64_intdigest(server.encode()) % SHARDS


class ChangeSignal:
    """Wakes whoever waits when a record of interest has changed."""

    __slots__ = ('_changed',)

    def __init__(self, table: membership.RecordTable) -> None:
        self._changed = anyio.Event()
        for prefix in (backends.SERVER_PREFIX, weights.WEIGHTS_PREFIX):
            table.listen(prefix, self._note)

    def _note(self, record: links.Record) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, seconds: float) -> None:
        """Return at the next change, or after `seconds`."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()


class ShardOrders:
    """Owns some shards, and orders their engines.

    Parameters
    ----------
    vm, holder : str
        This VM, and this process as the holder of leases.
    store : ObjectStore
        Where leases are kept.
    table : RecordTable
        The records of this daemon.
    processes : ProcessList
        Knows the other conductors.
    tree : Tree
        Knows which engines check fencing tokens.
    directory : Directory
        The engines.
    board : Board
        The versions.
    engines : EngineClient
        Calls engines.
    metrics : Metrics
        Counts.
    """

    def __init__(
        self,
        vm: str,
        holder: str,
        store: platform.ObjectStore,
        table: membership.RecordTable,
        processes: membership.ProcessList,
        tree: configuration.Tree,
        directory: backends.Directory,
        board: weights.Board,
        engines: backends.EngineClient,
        metrics: telemetry.Metrics,
    ) -> None:
        self._vm = vm
        self._holder = holder
        self._store = store
        self._processes = processes
        self._directory = directory
        self._board = board
        self._metrics = metrics
        self._sender = backends.OrderSender(engines, tree.checks_fencing)
        self._signal = ChangeSignal(table)
        self._shards: dict[int, tuple[weights.Wave, anyio.CancelScope]] = {}

    async def run(self) -> None:
        """Order engines until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._assign(tasks)
                await anyio.sleep(ASSIGN_INTERVAL_SECONDS)

    def summarize(self) -> list[dict[str, object]]:
        """Return the state of each shard, for a dump."""
        return [wave.summarize() for wave, _ in self._shards.values()]

    def _assign(self, tasks: anyio.abc.TaskGroup) -> None:
        vms = [p.vm for p in self._processes.select('conductor')]
        used = {
            choose_shard(server.name)
            for model in self._board.models()
            for server in self._directory.select(model)
        }
        owned = {
            shard
            for shard in used
            if membership.choose_owner(f'orders/{shard}', vms) == self._vm
        }
        for shard in set(self._shards) - owned:
            self._shards.pop(shard)[1].cancel()
        for shard in owned - set(self._shards):
            self._start(tasks, shard)

    def _start(self, tasks: anyio.abc.TaskGroup, shard: int) -> None:
        keeper = leases.LeaseKeeper(
            self._store, f'orders/{shard}', self._holder
        )
        wave = weights.Wave(
            self._directory,
            self._board,
            keeper,
            self._sender,
            lambda server: choose_shard(server) == shard,
            self._signal.wait,
            self._metrics,
        )
        scope = anyio.CancelScope()
        self._shards[shard] = (wave, scope)
        tasks.start_soon(self._run_shard, wave, keeper, scope)

    async def _run_shard(
        self,
        wave: weights.Wave,
        keeper: leases.LeaseKeeper,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run)
                tasks.start_soon(wave.run)
        with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
            try:
                await keeper.release()
            except errors.PlatformError:
                # It lapses by itself.
                pass
