"""Sends orders to the engines of the shards that this conductor owns.

An engine always belongs to the same shard, whatever model it serves, and each
order to it requires the lease of that shard. Therefore an engine receives the
fencing tokens of a single lease, and never orders from two holders at once.
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

SHARD_COUNT = 32
ASSIGN_INTERVAL_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 1.0

LeaseTask = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def compute_shard(server: str) -> int:
    """Return the number of the shard that the engine `server` belongs to."""
    return xxhash.xxh3_64_intdigest(server.encode()) % SHARD_COUNT


class ChangeSignal:
    """Wakes waiting tasks when the record of a server or a version changes."""

    __slots__ = ('_changed',)

    def __init__(self, table: membership.RecordTable) -> None:
        self._changed = anyio.Event()
        for prefix in (backends.SERVER_PREFIX, weights.WEIGHTS_PREFIX):
            table.listen(prefix, self._notify)

    def _notify(self, record: links.Record) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, seconds: float) -> None:
        """Return at the next change, or after `seconds`."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()


class ShardController:
    """Runs the control loops of the shards that this conductor owns.

    Rendezvous hashing assigns each shard, and the placement of models, to one
    conductor. The lease ensures that only one conductor acts while they
    disagree about the owner.

    Parameters
    ----------
    vm, holder : str
        The name of this VM, and the name of this process as a lease holder.
    store : ObjectStore
        Stores the leases and the placement plan.
    table : RecordTable
        The shared records.
    processes : ProcessList
        The live conductors, which divide the shards between them.
    tree : Tree
        The active settings of models.
    directory : Directory
        The known backend servers.
    version_tracker : VersionTracker
        The published weight versions.
    engines : EngineClient
        The client that sends the orders.
    metrics : Metrics
        Records the metrics of weight version rollouts.
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
        version_tracker: weights.VersionTracker,
        engines: backends.EngineClient,
        metrics: telemetry.Metrics,
    ) -> None:
        self._vm = vm
        self._holder = holder
        self._store = store
        self._processes = processes
        self._directory = directory
        self._version_tracker = version_tracker
        self._metrics = metrics
        self._sender = backends.OrderSender(engines, tree.checks_fencing)
        self._change_signal = ChangeSignal(table)
        self._tree = tree
        self._plan_tracker = placement.PlanTracker(table)
        self._planner_scope: anyio.CancelScope | None = None
        self._shards: dict[
            int, tuple[weights.RolloutController, anyio.CancelScope]
        ] = {}

    async def run(self) -> None:
        """Run the control loops of the owned shards until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._assign_shards(tasks)
                await anyio.sleep(ASSIGN_INTERVAL_SECONDS)

    def summarize_plan(self) -> dict[str, object]:
        """Return the active placement plan, for the state dump."""
        return {
            'planned here': self._planner_scope is not None,
            'version': self._plan_tracker.version,
            'moved': self._plan_tracker.plan.models,
        }

    def summarize(self) -> list[dict[str, object]]:
        """Return the state of each owned shard, for the state dump."""
        return [rollout.summarize() for rollout, _ in self._shards.values()]

    def _assign_shards(self, tasks: anyio.abc.TaskGroup) -> None:
        vms = [p.vm for p in self._processes.select('conductor')]
        self._assign_planner(tasks, vms)
        occupied = {
            compute_shard(server.name)
            for server in self._directory.iter_servers()
            if self._is_engine(server)
        }
        owned = {
            shard
            for shard in occupied
            if membership.choose_owner(f'orders/{shard}', vms) == self._vm
        }
        for shard in set(self._shards) - owned:
            self._shards.pop(shard)[1].cancel()
        for shard in owned - set(self._shards):
            self._start_shard(tasks, shard)

    def _is_engine(self, server: backends.BackendServer) -> bool:
        return (
            server.report.service in self._version_tracker.list_models()
            or server.name in self._plan_tracker.plan.models
        )

    def _assign_planner(
        self, tasks: anyio.abc.TaskGroup, vms: list[str]
    ) -> None:
        owned = bool(placement.list_model_limits(self._tree)) and (
            membership.choose_owner('placement', vms) == self._vm
        )
        if self._planner_scope is not None and not owned:
            self._planner_scope.cancel()
            self._planner_scope = None
        if self._planner_scope is None and owned:
            self._planner_scope = anyio.CancelScope()
            keeper = leases.LeaseKeeper(self._store, 'placement', self._holder)
            planner = placement.Planner(
                self._store,
                keeper,
                lambda: placement.list_model_limits(self._tree),
                self._directory,
                self._plan_tracker,
                placement.DemandPolicy(),
            )
            tasks.start_soon(
                self._run_under_lease,
                [planner.run],
                keeper,
                self._planner_scope,
            )

    def _start_shard(self, tasks: anyio.abc.TaskGroup, shard: int) -> None:
        keeper = leases.LeaseKeeper(
            self._store, f'orders/{shard}', self._holder
        )

        def is_in_shard(server: str) -> bool:
            return compute_shard(server) == shard

        rollout = weights.RolloutController(
            self._directory,
            self._version_tracker,
            keeper,
            self._sender,
            is_in_shard,
            self._change_signal.wait,
            self._metrics,
        )
        loader = placement.ModelLoader(
            lambda: [
                limits.model
                for limits in placement.list_model_limits(self._tree)
            ],
            self._directory,
            self._plan_tracker,
            keeper,
            self._sender,
            is_in_shard,
        )
        scope = anyio.CancelScope()
        self._shards[shard] = (rollout, scope)
        tasks.start_soon(
            self._run_under_lease, [rollout.run, loader.run], keeper, scope
        )

    async def _run_under_lease(
        self,
        lease_tasks: list[LeaseTask],
        keeper: leases.LeaseKeeper,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(keeper.run)
                    for lease_task in lease_tasks:
                        tasks.start_soon(lease_task)
        finally:
            # Shielded, so that the lease is also released on shutdown and the
            # next holder need not wait until it expires.
            with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
                await _release(keeper)


async def _release(keeper: leases.LeaseKeeper) -> None:
    try:
        await keeper.release()
    except errors.PlatformError as error:
        LOG.info(
            'lease %s not released; it will expire: %s', keeper.name, error
        )
