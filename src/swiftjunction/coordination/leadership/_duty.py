"""Control loops of the coordinator."""

import abc
import collections.abc
import functools
import logging

import anyio

from swiftjunction import batches
from swiftjunction.coordination.leadership import _coordinator
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import supervision

LOG = logging.getLogger(__name__)


class DeploymentEvents(abc.ABC):
    """Source of the events that the coordinator acts on."""

    __slots__ = ()

    @abc.abstractmethod
    async def follow_versions(
        self, set_target_version: collections.abc.Callable[[str, int], None]
    ) -> None:
        """Call `set_target_version` for each published version.

        Runs until cancelled.

        Parameters
        ----------
        set_target_version : callable
            Takes the name of a model and its published version.
        """

    @abc.abstractmethod
    async def acknowledge_drains(self) -> None:
        """Report each draining storage VM as empty, until cancelled.

        Storage VMs keep no data of this system, so each is empty at once.
        """


class Duty(abc.ABC):
    """Work that only the coordinator does, under its lease."""

    __slots__ = ()

    @abc.abstractmethod
    async def run(self, lease: leases.Lease) -> None:
        """Run until cancelled, also while the lease has expired.

        Raises
        ------
        LeaseLost
            If another VM is known to have become the coordinator.
        """


class ControlLoops(_coordinator.CoordinatorTask):
    """Runs batches, rolls out weight versions and acknowledges drains.

    Parameters
    ----------
    runner : BatchRunner
        Runs the batches.
    rollout : VersionRollout
        Rolls out weight versions.
    events : DeploymentEvents
        Reports published versions and draining storage VMs.
    list_services : callable
        Returns the services whose engines run batches.
    predecessor_order_seconds : float
        For how long after a change of coordinator, orders of the previous
        one may still reach engines.
    order_gap_seconds : float
        Time between the orders of two successive coordinators, if the first
        one has handed its duty over.
    supervisor : Supervisor
        Runs the loops again that fail.
    duties : sequence of Duty
        Further work of the coordinator.

    Attributes
    ----------
    is_running : bool
        Whether this VM runs the control loops now.
    """

    __slots__ = (
        '_duties',
        '_events',
        '_list_services',
        '_order_gap_seconds',
        '_rollout',
        '_runner',
        '_supervisor',
        '_predecessor_order_seconds',
        'is_running',
    )

    def __init__(
        self,
        runner: batches.BatchRunner,
        rollout: batches.VersionRollout,
        events: DeploymentEvents,
        list_services: collections.abc.Callable[[], set[str]],
        predecessor_order_seconds: float,
        order_gap_seconds: float,
        supervisor: supervision.Supervisor,
        duties: collections.abc.Sequence[Duty] = (),
    ) -> None:
        self._duties = duties
        self._supervisor = supervisor
        self._runner = runner
        self._rollout = rollout
        self._events = events
        self._list_services = list_services
        self._predecessor_order_seconds = predecessor_order_seconds
        self._order_gap_seconds = order_gap_seconds
        self.is_running = False

    async def run(self, lease: leases.Lease) -> None:
        self.is_running = True
        try:
            async with anyio.create_task_group() as tasks:
                for name, loop in self._list_loops(lease).items():
                    tasks.start_soon(self._supervisor.run, name, loop)
        finally:
            self.is_running = False

    def _list_loops(self, lease: leases.Lease) -> dict[str, supervision.Task]:
        """Return the loops by their names in logs and metrics."""
        return {
            'batches': functools.partial(self._runner.run, lease),
            'rollout': functools.partial(
                self._rollout.run,
                self._list_services,
                lease,
                self._predecessor_order_seconds,
            ),
            'versions': functools.partial(
                self._events.follow_versions, self._rollout.set_target_version
            ),
            'drains': self._events.acknowledge_drains,
            **{
                type(duty).__name__: functools.partial(
                    _run_until_refused, duty, lease
                )
                for duty in self._duties
            },
        }

    async def stop(self, timeout_seconds: float) -> None:
        await self._runner.stop(timeout_seconds)

    def compute_settle_seconds(self) -> float:
        waited_seconds = anyio.current_time() - self._rollout.last_order_at
        return max(self._order_gap_seconds - waited_seconds, 0.0)


async def _run_until_refused(duty: Duty, lease: leases.Lease) -> None:
    """Run a duty until its fencing token is refused.

    It then waits for a term with a higher one; the other loops go on.
    """
    try:
        await duty.run(lease)
    except* errors.LeaseLost as group:
        refusal = _find_refusal(group)
        if refusal is None:
            raise
        LOG.warning(
            'a duty waits for a higher fencing token: %s',
            refusal,
            extra={
                'duty': type(duty).__name__,
                'fencing_token': lease.fencing_token,
            },
        )
        lease.record_refusal()
        lease.needs_new_term = True


def _find_refusal(
    group: BaseExceptionGroup[BaseException],
) -> errors.LeaseLost | None:
    """Return the error of a peer that refused the token, if all are such."""
    found: errors.LeaseLost | None = None
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found = _find_refusal(error)
        else:
            found = error if isinstance(error, errors.LeaseLost) else None
        if found is None or not found.peer:
            return None
    return found
