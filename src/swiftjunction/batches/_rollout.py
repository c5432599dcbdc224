"""Brings the engines of a service to the named weight versions.

While an engine loads, it takes no samples; so engines load a few at a time,
those with the least work first. Each order is sent under a lease, with its
fencing token, and on the condition that the engine has had no other order
since it was asked: sent twice, it is carried out once.
"""

import collections.abc
import logging

import anyio
import anyio.abc

from swiftjunction.batches import _allocation
from swiftjunction.batches import _engine_client
from swiftjunction.batches import _engines
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# Where more of a service's engines load at once, each load takes longer.
LOADING_SHARE = 0.4
LEAST_LOADS_AT_ONCE = 2
CALL_TIMEOUT_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.1
# Between two questions to an engine that loads.
REPORT_INTERVAL_SECONDS = 0.25
# The least time of a load; before it, asking is of no use.
LEAST_LOAD_SECONDS = 0.8


def select_engines(
    engines: collections.abc.Sequence[_engines.EngineState],
    model: str,
    target: int,
    room: int,
) -> list[_engines.EngineState]:
    """Return the engines that are to load `target` now, at most `room`.

    Engines that are behind go first where all are equally free.
    """
    behind = [
        engine
        for engine in engines
        if engine.version(model) < target
        and engine.server.is_live()
        and not engine.is_loading(model)
    ]
    behind.sort(key=lambda e: (e.server.in_flight, e.version(model)))
    return behind[: max(room, 0)]


def find_room(engines: int) -> int:
    """Return how many of so many engines may load at once."""
    return max(int(engines * LOADING_SHARE), LEAST_LOADS_AT_ONCE)


class VersionRollout:
    """Orders versions onto engines, for as long as the lease is held.

    Parameters
    ----------
    engines : EngineRegistry
        What is known of the engines.
    client : SampleEngineClient
        Sends the orders.
    assignment : EngineAllocator
        Divides engines between models.
    holder : str
        This VM.
    metrics : Metrics
        Counts orders.
    must_finish : callable
        Tells whether samples of a model that run have to end before another
        version is loaded.

    Attributes
    ----------
    targets : dict of str to int
        The newest named version of each model.
    """

    __slots__ = (
        '_assignment',
        '_client',
        '_engines',
        '_holder',
        '_metrics',
        '_must_finish',
        '_under_way',
        'targets',
    )

    def __init__(
        self,
        engines: _engines.EngineRegistry,
        client: _engine_client.SampleEngineClient,
        assignment: _allocation.EngineAllocator,
        holder: str,
        metrics: telemetry.Metrics,
        must_finish: collections.abc.Callable[[str], bool],
    ) -> None:
        self._engines = engines
        self._client = client
        self._assignment = assignment
        self._holder = holder
        self._metrics = metrics
        self._must_finish = must_finish
        self._under_way: set[str] = set()
        self.targets: dict[str, int] = {}

    def set_target_version(self, model: str, version: int) -> None:
        """Learn that a version is wanted; versions only move forward."""
        if version > self.targets.get(model, 0):
            LOG.info(
                'version named', extra={'model': model, 'version': version}
            )
            self.targets[model] = version

    def count_loads(self, engines: list[_engines.EngineState]) -> int:
        """Return how many of the engines may be loading."""
        return sum(engine.count_loads() for engine in engines)

    async def run(
        self,
        list_services: collections.abc.Callable[[], set[str]],
        lease: leases.Lease,
        settle_seconds: float,
    ) -> None:
        """Order versions until cancelled, or until the lease is lost.

        Parameters
        ----------
        list_services : callable
            Returns the services whose engines are meant.
        settle_seconds : float
            For so long after it was taken, a holder before this one may
            still be heard by engines.

        Raises
        ------
        LeaseLost
            If an engine has seen a higher fencing token.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
                try:
                    lease.check(CALL_TIMEOUT_SECONDS)
                    lease.check_settled(settle_seconds)
                except errors.LeaseLost as error:
                    LOG.debug('orders wait: %s', error)
                    continue
                for service in list_services():
                    self._advance(tasks, service, lease)

    def _advance(
        self, tasks: anyio.abc.TaskGroup, service: str, lease: leases.Lease
    ) -> None:
        engines = self._engines.list_engines(service)
        served = {
            model: target
            for model, target in self.targets.items()
            if any(engine.version(model) for engine in engines)
        }
        room = find_room(len(engines)) - self.count_loads(engines)
        divided = self._assignment.divide(engines, served)
        for model, group in divided.items():
            chosen = select_engines(group, model, served[model], room)
            for engine in chosen:
                if engine.server.name in self._under_way:
                    continue
                room -= 1
                self._under_way.add(engine.server.name)
                tasks.start_soon(
                    self._change, engine, model, served[model], lease
                )

    async def _change(
        self,
        engine: _engines.EngineState,
        model: str,
        target: int,
        lease: leases.Lease,
    ) -> None:
        """Bring one engine to `target`, or find out that it is there."""
        engine.note_order(model)
        try:
            report = await self._read_report(engine, model)
            if report.versions.get(model, 0) >= target:
                engine.note_loaded(model)
                return
            if report.busy or not await self._order(
                engine, model, target, report.orders, lease
            ):
                await anyio.sleep(REPORT_INTERVAL_SECONDS)
                engine.note_loaded(model)
                return
            await anyio.sleep(LEAST_LOAD_SECONDS)
            await self._wait_for_load(engine, model, target)
        except errors.BackendError as error:
            LOG.info(
                'version not changed: %s',
                error,
                extra={'server': engine.server.name, 'version': target},
            )
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
            engine.note_loaded(model)
        finally:
            self._under_way.discard(engine.server.name)

    async def _read_report(
        self, engine: _engines.EngineState, model: str
    ) -> _engine_client.EngineReport:
        report = await self._client.read_report(engine.server)
        engine.learn_version(model, report.versions.get(model, 0))
        return report

    async def _order(
        self,
        engine: _engines.EngineState,
        model: str,
        target: int,
        orders: int,
        lease: leases.Lease,
    ) -> bool:
        """Send the order; tell whether a load has begun."""
        # The report is some hundred milliseconds old, and what was ordered
        # since is counted here.
        engine.orders = max(engine.orders, orders)
        order = _engine_client.VersionOrder(
            model,
            target,
            self._holder,
            lease.token,
            engine.orders,
            keeps_running=not self._must_finish(model),
        )
        try:
            lease.check(CALL_TIMEOUT_SECONDS)
        except errors.LeaseLost as error:
            # It may be renewed in a moment; another holder is not known.
            LOG.info(
                'order not sent: %s',
                error,
                extra={'server': engine.server.name},
            )
            return False
        self._metrics.count('orders')
        try:
            holds = await self._client.send_order(engine.server, order)
        except errors.BackendRefused as error:
            # The count of orders was wrong; the next report has it.
            engine.orders = -1
            LOG.info('order refused: %s', error, extra={'server': error.peer})
            return False
        if not holds:
            engine.orders += 1
        LOG.info(
            'version ordered',
            extra={
                'server': engine.server.name,
                'model': model,
                'version': target,
                'fencing_token': lease.token,
                'holds_already': holds,
            },
        )
        return not holds

    async def _wait_for_load(
        self, engine: _engines.EngineState, model: str, target: int
    ) -> None:
        while engine.is_loading(model):
            report = await self._read_report(engine, model)
            if report.versions.get(model, 0) >= target:
                engine.note_loaded(model)
                return
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
        LOG.warning(
            'load not seen to end',
            extra={'server': engine.server.name, 'version': target},
        )
