"""Gives orders to the engines of the shards that this conductor owns.

An engine is in one shard all its life, whatever it serves, and every order to
it is given under the lease of that shard. So it sees the fencing tokens of
one lease only, and no two holders ever order it.
"""

import collections.abc
import logging
import typing

import anyio
import anyio.abc
import xxhash

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import placement
from swiftjunction import telemetry
from swiftjunction import weights

LOG = logging.getLogger(__name__)

SHARDS = 32
ASSIGN_INTERVAL_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 1.0

Duty = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def compute_shard(server: str) -> int:
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
    board : VersionTracker
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
        store: objectstore.ObjectStore,
        table: membership.RecordTable,
        processes: membership.ProcessList,
        tree: configuration.Tree,
        directory: backends.Directory,
        board: weights.VersionTracker,
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
        self._tree = tree
        self._plans = placement.PlanTracker(table)
        self._planning: anyio.CancelScope | None = None
        self._shards: dict[
            int, tuple[weights.RolloutController, anyio.CancelScope]
        ] = {}

    async def run(self) -> None:
        """Order engines until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._assign(tasks)
                await anyio.sleep(ASSIGN_INTERVAL_SECONDS)

    def summarize_plan(self) -> dict[str, object]:
        """Return the placement in force, for a dump."""
        return {
            'planned here': self._planning is not None,
            'version': self._plans.version,
            'moved': self._plans.plan.models,
        }

    def summarize(self) -> list[dict[str, object]]:
        """Return the state of each shard, for a dump."""
        return [wave.summarize() for wave, _ in self._shards.values()]

    def _assign(self, tasks: anyio.abc.TaskGroup) -> None:
        vms = [p.vm for p in self._processes.select('conductor')]
        self._assign_planning(tasks, vms)
        used = {
            compute_shard(server.name)
            for server in self._directory.list_servers()
            if self._is_engine(server)
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

    def _is_engine(self, server: backends.BackendServer) -> bool:
        return (
            server.report.service in self._board.list_models()
            or server.name in self._plans.plan.models
        )

    def _assign_planning(
        self, tasks: anyio.abc.TaskGroup, vms: list[str]
    ) -> None:
        owned = bool(placement.list_model_limits(self._tree)) and (
            membership.choose_owner('placement', vms) == self._vm
        )
        if self._planning is not None and not owned:
            self._planning.cancel()
            self._planning = None
        if self._planning is None and owned:
            self._planning = anyio.CancelScope()
            keeper = leases.LeaseKeeper(self._store, 'placement', self._holder)
            planner = placement.Planner(
                self._store,
                keeper,
                lambda: placement.list_model_limits(self._tree),
                self._directory,
                self._plans,
                placement.DemandPolicy(),
            )
            tasks.start_soon(
                self._run_held, [planner.run], keeper, self._planning
            )

    def _start(self, tasks: anyio.abc.TaskGroup, shard: int) -> None:
        keeper = leases.LeaseKeeper(
            self._store, f'orders/{shard}', self._holder
        )

        def holds(server: str) -> bool:
            return compute_shard(server) == shard

        wave = weights.RolloutController(
            self._directory,
            self._board,
            keeper,
            self._sender,
            holds,
            self._signal.wait,
            self._metrics,
        )
        loading = placement.ModelLoader(
            lambda: [n.model for n in placement.list_model_limits(self._tree)],
            self._directory,
            self._plans,
            keeper,
            self._sender,
            holds,
        )
        scope = anyio.CancelScope()
        self._shards[shard] = (wave, scope)
        tasks.start_soon(
            self._run_held, [wave.run, loading.run], keeper, scope
        )

    async def _run_held(
        self,
        duties: list[Duty],
        keeper: leases.LeaseKeeper,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(keeper.run)
                    for duty in duties:
                        tasks.start_soon(duty)
        finally:
            # Also when the process stops, so that the next holder need not
            # wait until the lease lapses.
            with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
                await _release(keeper)


async def _release(keeper: leases.LeaseKeeper) -> None:
    try:
        await keeper.release()
    except errors.PlatformError as error:
        LOG.info('lease %s is left to lapse: %s', keeper.name, error)
