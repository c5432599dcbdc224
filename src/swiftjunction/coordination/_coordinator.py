"""Who coordinates: one VM at a time, under a lease on the object store."""

import abc
import logging

import anyio

from swiftjunction.coordination import _members
from swiftjunction import errors
from swiftjunction import leases

LOG = logging.getLogger(__name__)

# Between two looks at whether another VM coordinates.
LOOK_SECONDS = 0.3
SETTLE_CHECK_SECONDS = 0.02
# By so much later than the one before it does each next VM try for the lease.
RANK_STEP_SECONDS = 0.6
# How long the duty may take to end when this VM stops.
FINISH_SECONDS = 1.0


class CoordinatorTask(abc.ABC):
    """What the coordinator does."""

    __slots__ = ()

    @abc.abstractmethod
    async def run(self, lease: leases.Lease) -> None:
        """Do it until cancelled.

        Raises
        ------
        LeaseLost
            If another VM is known to have taken the duty over.
        """

    @abc.abstractmethod
    async def stop(self, seconds: float) -> None:
        """Begin nothing new, and leave what runs to the next one."""


class Coordinator:
    """Takes the lease where nobody has it, and does the duty under it.

    Parameters
    ----------
    keeper : LeaseKeeper
        Of the lease.
    timing : LeaseTiming
        Its times.
    members : MemberTable
        Who is reached, and who coordinates.
    duty : CoordinatorTask
        What is to be done.
    """

    __slots__ = (
        '_task',
        '_held',
        '_keeper',
        '_members',
        '_scope',
        '_stopping',
        '_timing',
    )

    def __init__(
        self,
        keeper: leases.LeaseKeeper,
        timing: leases.LeaseTiming,
        members: _members.MemberTable,
        task: CoordinatorTask,
    ) -> None:
        self._keeper = keeper
        self._timing = timing
        self._members = members
        self._task = task
        self._held: leases.Lease | None = None
        self._scope = anyio.CancelScope()
        self._stopping = False

    @property
    def lease(self) -> leases.Lease | None:
        """Return the lease under which this VM coordinates, if it does.

        It may have lapsed: until another VM has taken it, work that needs no
        lease goes on.
        """
        return self._held

    @property
    def lease_version(self) -> int:
        """Return the version of the lease's object; 0 without the lease."""
        return self._keeper.version

    async def run(self) -> None:
        """Coordinate whenever nobody else does, until cancelled."""
        while not self._stopping:
            self._keeper.record_version(self._members.find_lease_version())
            if not self._members.has_converged():
                await anyio.sleep(SETTLE_CHECK_SECONDS)
                continue
            if self._members.has_coordinator():
                await anyio.sleep(LOOK_SECONDS)
                continue
            lease = await self._try_to_take()
            if lease is not None:
                await self._coordinate(lease)

    async def resign(self) -> None:
        """End the duty, give the lease back and coordinate no more."""
        self._stopping = True
        if self._held is None:
            return
        await self._task.stop(FINISH_SECONDS)
        self._scope.cancel()
        try:
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                await self._keeper.release()
        except errors.PlatformError as error:
            LOG.info('lease not given back: %s', error)

    async def _try_to_take(self) -> leases.Lease | None:
        await anyio.sleep(self._members.find_rank() * RANK_STEP_SECONDS)
        if self._members.has_coordinator() or self._stopping:
            return None
        try:
            with anyio.fail_after(self._timing.renew_timeout_seconds):
                return await self._keeper.acquire()
        except (errors.LeaseLost, errors.PlatformError) as error:
            LOG.info('lease not taken: %s', error)
        except TimeoutError:
            LOG.info('lease not taken in time')
        await anyio.sleep(self._timing.retry_interval_seconds)
        return None

    async def _coordinate(self, lease: leases.Lease) -> None:
        LOG.info('coordinates', extra={'fencing_token': lease.token})
        self._held = lease
        try:
            with anyio.CancelScope() as self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._do_duty, lease)
                    await self._renew(lease)
                    tasks.cancel_scope.cancel()
        finally:
            self._held = None
            LOG.info(
                'coordinates no more', extra={'fencing_token': lease.token}
            )

    async def _do_duty(self, lease: leases.Lease) -> None:
        try:
            await self._task.run(lease)
        except* errors.LeaseLost as group:
            LOG.warning('duty given up: %s', group.exceptions[0])
            # It is taken anew, with a higher fencing token.
            self._scope.cancel()

    async def _renew(self, lease: leases.Lease) -> None:
        """Renew until another VM has the lease."""
        renewed = True
        while True:
            await anyio.sleep(
                self._timing.renew_interval_seconds
                if renewed
                else self._timing.retry_interval_seconds
            )
            renewed = False
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                try:
                    if await self._keeper.acquire() is not lease:
                        LOG.warning('lease was taken anew')
                        return
                    renewed = True
                except errors.LeaseLost as error:
                    LOG.warning('lease lost: %s', error)
                    return
                except errors.PlatformError as error:
                    LOG.info('lease not renewed: %s', error)
