"""Updates the engines of a service to the target weight versions.

An engine runs no samples while it loads a version, so only a few engines load
at a time, those with the fewest running samples first. Each order is sent
under a lease with its fencing token, and is conditional on the number of
orders that the engine has accepted: an order that is sent twice is executed
once.
"""

import collections.abc
import functools
import logging
import math

import anyio
import anyio.abc

from swiftjunction.batches import _assignment
from swiftjunction.batches import _engine_client
from swiftjunction.batches import _engines
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import supervision
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# If a larger fraction of a service's engines loads at once, each of them takes
# longer.
MAX_LOADING_FRACTION = 0.4
MIN_CONCURRENT_LOADS = 2
CALL_TIMEOUT_SECONDS = 1.0
ROLLOUT_INTERVAL_SECONDS = 0.1
# Time between two reports from a loading engine.
REPORT_INTERVAL_SECONDS = 0.25
# Shortest time in which an engine loads a version; earlier reports show no
# change.
MIN_LOAD_SECONDS = 0.8
# Pause after an unexpected error, doubled with each consecutive one.
MIN_ERROR_DELAY_SECONDS = 0.5
MAX_ERROR_DELAY_SECONDS = 30.0


def select_engines(
    engines: collections.abc.Sequence[_engines.EngineState],
    model: str,
    target: int,
    limit: int,
) -> list[_engines.EngineState]:
    """Return at most `limit` engines that should load `target` now.

    Engines with the fewest requests in flight go first, and among equals
    those with the oldest version.
    """
    outdated = [
        engine
        for engine in engines
        if engine.get_version(model) < target
        and engine.server.is_live()
        and not engine.is_loading(model)
    ]
    outdated.sort(key=lambda e: (e.server.in_flight, e.get_version(model)))
    return outdated[: max(limit, 0)]


def get_max_loads(engine_count: int) -> int:
    """Return how many of `engine_count` engines may load at once."""
    return max(int(engine_count * MAX_LOADING_FRACTION), MIN_CONCURRENT_LOADS)


class VersionRollout:
    """Sends version orders to engines while the lease is held.

    Parameters
    ----------
    engines : EngineRegistry
        Lists the engines of each service.
    client : SampleEngineClient
        Sends the orders.
    allocator : EngineAllocator
        Allocates engines to models.
    holder : str
        Name of this VM, sent with each order.
    metrics : Metrics
        Counts orders.
    needs_idle_engine : callable
        Returns whether running samples of a model have to end before another
        version is loaded.
    supervisor : Supervisor, optional
        Runs the allocation over each service and the update of each engine;
        by default, one of its own.

    Attributes
    ----------
    target_versions : dict of str to int
        The target version of each model.
    last_order_at : float
        When the last order was sent, on the clock of the event loop in
        seconds; minus infinity if none was.
    """

    __slots__ = (
        '_allocations',
        '_allocator',
        '_client',
        '_engines',
        '_holder',
        '_metrics',
        '_needs_idle_engine',
        '_supervisor',
        '_updating',
        'last_order_at',
        'target_versions',
    )

    def __init__(
        self,
        engines: _engines.EngineRegistry,
        client: _engine_client.SampleEngineClient,
        allocator: _assignment.EngineAllocator,
        holder: str,
        metrics: telemetry.Metrics,
        needs_idle_engine: collections.abc.Callable[[str], bool],
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._engines = engines
        self._client = client
        self._allocator = allocator
        self._holder = holder
        self._metrics = metrics
        self._needs_idle_engine = needs_idle_engine
        self._supervisor = supervisor or supervision.Supervisor(metrics)
        self._allocations = supervision.IsolatedItems(
            self._supervisor, 'engine allocation'
        )
        self._updating: set[str] = set()
        self.target_versions: dict[str, int] = {}
        self.last_order_at = -math.inf

    def set_target_version(self, model: str, version: int) -> None:
        """Set the target version of a model; a lower one is ignored."""
        if version > self.target_versions.get(model, 0):
            LOG.info(
                'new target version',
                extra={'model': model, 'version': version},
            )
            self.target_versions[model] = version

    def count_loads(self, engines: list[_engines.EngineState]) -> int:
        """Return how many model loads may be in progress on the engines."""
        return sum(engine.count_loads() for engine in engines)

    async def run(
        self,
        list_services: collections.abc.Callable[[], set[str]],
        lease: leases.Lease,
        settle_seconds: float,
    ) -> None:
        """Update engines to the target versions until cancelled.

        While the lease is not held, no orders are sent.

        Parameters
        ----------
        list_services : callable
            Returns the names of the services whose engines to update.
        settle_seconds : float
            For this time after the lease was acquired, engines may still
            accept orders of its previous holder, so none are sent.

        Raises
        ------
        LeaseLost
            If another holder of the lease is known. The refusal of one engine
            does not show that.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(ROLLOUT_INTERVAL_SECONDS)
                try:
                    lease.check(CALL_TIMEOUT_SECONDS)
                    lease.check_predecessor_done(settle_seconds)
                except errors.LeaseLost as error:
                    LOG.debug('no version orders are sent now: %s', error)
                    continue
                for service in list_services():
                    await self._allocations.run(
                        service,
                        functools.partial(
                            self._start_loads, tasks, service, lease
                        ),
                        service=service,
                    )

    async def _start_loads(
        self, tasks: anyio.abc.TaskGroup, service: str, lease: leases.Lease
    ) -> None:
        engines = self._engines.list_engines(service)
        served_versions = {
            model: target
            for model, target in self.target_versions.items()
            if any(engine.get_version(model) for engine in engines)
        }
        remaining = get_max_loads(len(engines)) - self.count_loads(engines)
        allocation = self._allocator.allocate(engines, served_versions)
        for model, group in allocation.items():
            # One that waits after an error takes the place of no other.
            idle = [
                engine
                for engine in group
                if engine.server.name not in self._updating
                and engine.refused_token < lease.fencing_token
            ]
            for engine in select_engines(
                idle, model, served_versions[model], remaining
            ):
                remaining -= 1
                self._updating.add(engine.server.name)
                tasks.start_soon(
                    self._update_isolated,
                    engine,
                    model,
                    served_versions[model],
                    lease,
                )

    async def _update_isolated(
        self,
        engine: _engines.EngineState,
        model: str,
        target: int,
        lease: leases.Lease,
    ) -> None:
        """Update one engine; an unexpected error only delays its next one."""
        try:
            if await self._supervisor.run_isolated(
                'version update',
                functools.partial(
                    self._update_engine, engine, model, target, lease
                ),
                server=engine.server.name,
                version=target,
            ):
                engine.update_delay_seconds = 0.0
                return
            engine.clear_loading(model)
            engine.update_delay_seconds = min(
                max(2 * engine.update_delay_seconds, MIN_ERROR_DELAY_SECONDS),
                MAX_ERROR_DELAY_SECONDS,
            )
            await anyio.sleep(engine.update_delay_seconds)
        finally:
            self._updating.discard(engine.server.name)

    async def _update_engine(
        self,
        engine: _engines.EngineState,
        model: str,
        target: int,
        lease: leases.Lease,
    ) -> None:
        """Update one engine to `target` unless it already has that version."""
        engine.mark_loading(model)
        try:
            report = await self._read_report(engine, model)
            if report.versions.get(model, 0) >= target:
                engine.clear_loading(model)
                return
            if report.busy or not await self._order_load(
                engine, model, target, report.orders, lease
            ):
                await anyio.sleep(REPORT_INTERVAL_SECONDS)
                engine.clear_loading(model)
                return
            await anyio.sleep(MIN_LOAD_SECONDS)
            await self._wait_for_load(engine, model, target)
        except errors.BackendError as error:
            LOG.info(
                'engine could not be updated to the weight version: %s',
                error,
                extra={'server': engine.server.name, 'version': target},
            )
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
            engine.clear_loading(model)

    async def _read_report(
        self, engine: _engines.EngineState, model: str
    ) -> _engine_client.EngineReport:
        report = await self._client.read_report(engine.server)
        engine.record_version(model, report.versions.get(model, 0))
        return report

    async def _order_load(
        self,
        engine: _engines.EngineState,
        model: str,
        target: int,
        orders: int,
        lease: leases.Lease,
    ) -> bool:
        """Send the order; return whether the engine has begun to load."""
        # The report is up to about 100 ms old, so orders accepted since then
        # are counted here.
        engine.orders = max(engine.orders, orders)
        order = _engine_client.VersionOrder(
            model,
            target,
            self._holder,
            lease.fencing_token,
            engine.orders,
            keeps_running=not self._needs_idle_engine(model),
        )

        def check_lease() -> None:
            try:
                lease.check()
            except errors.LeaseLost as error:
                raise errors.BackendUnreachable(
                    f'the version order was not sent: {error}',
                    step='order',
                    peer=engine.server.name,
                ) from error

        try:
            lease.check(CALL_TIMEOUT_SECONDS)
        except errors.LeaseLost as error:
            # The lease may still be renewed: no other holder is known.
            LOG.info(
                'version order not sent: %s',
                error,
                extra={'server': engine.server.name},
            )
            return False
        self._metrics.count('orders')
        self.last_order_at = anyio.current_time()
        try:
            already_loaded = await self._client.send_order(
                engine.server, order, check_lease
            )
        except errors.BackendRefused as error:
            # The number of accepted orders was wrong; the next report
            # corrects it.
            engine.orders = -1
            LOG.info(
                'engine refused the version order: %s',
                error,
                extra={'server': error.peer},
            )
            return False
        except errors.LeaseLost as error:
            if not error.peer:
                raise
            # The renewal shows who holds the lease. If this VM does, the
            # engine is at fault, and gets no order under this token again.
            engine.refused_token = lease.fencing_token
            lease.record_refusal()
            LOG.warning(
                'engine refused the fencing token: %s',
                error,
                extra={
                    'server': error.peer,
                    'fencing_token': lease.fencing_token,
                },
            )
            return False
        if not already_loaded:
            engine.orders += 1
        LOG.info(
            'version order sent',
            extra={
                'server': engine.server.name,
                'model': model,
                'version': target,
                'fencing_token': lease.fencing_token,
                'holds_already': already_loaded,
            },
        )
        return not already_loaded

    async def _wait_for_load(
        self, engine: _engines.EngineState, model: str, target: int
    ) -> None:
        while engine.is_loading(model):
            report = await self._read_report(engine, model)
            if report.versions.get(model, 0) >= target:
                engine.clear_loading(model)
                return
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
        LOG.warning(
            'engine did not report the ordered weight version in time',
            extra={'server': engine.server.name, 'version': target},
        )
