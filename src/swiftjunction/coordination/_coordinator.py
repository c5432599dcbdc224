"""Elects one VM as the coordinator, by a lease in the object store."""

import abc
import collections.abc
import logging

import anyio

from swiftjunction.coordination import _members
from swiftjunction import errors
from swiftjunction import leases

LOG = logging.getLogger(__name__)

COORDINATOR_CHECK_INTERVAL_SECONDS = 0.3
CONVERGENCE_CHECK_INTERVAL_SECONDS = 0.02
SUCCESSOR_CHECK_INTERVAL_SECONDS = 0.1
# A candidate waits for this long times its rank before it tries to acquire the
# lease, so that candidates try in the order of their ranks.
DELAY_PER_RANK_SECONDS = 0.6
# How long the task may take to stop when this VM shuts down.
STOP_TIMEOUT_SECONDS = 1.0


class CoordinatorTask(abc.ABC):
    """Work that a VM runs while it is the coordinator."""

    __slots__ = ()

    @abc.abstractmethod
    async def run(self, lease: leases.Lease) -> None:
        """Run until cancelled, also while the lease has expired.

        Raises
        ------
        LeaseLost
            If another VM is known to have become the coordinator.
        """

    @abc.abstractmethod
    async def stop(self, timeout_seconds: float) -> None:
        """Start no new work, and leave unfinished work to the successor."""


class Coordinator:
    """Runs the task while this VM is the coordinator.

    Acquires the coordinator's lease when no reachable peer holds a valid one.

    Parameters
    ----------
    keeper : LeaseKeeper
        Acquires and renews the coordinator's lease.
    timing : LeaseTiming
        The timing of that lease.
    members : MemberTable
        Holds the status of each peer and the rank of this VM.
    task : CoordinatorTask
        The work to run while this VM is the coordinator.
    """

    __slots__ = (
        '_coordinate_scope',
        '_keeper',
        '_lease',
        '_members',
        '_stopping',
        '_task',
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
        self._lease: leases.Lease | None = None
        self._coordinate_scope = anyio.CancelScope()
        self._stopping = False

    @property
    def lease(self) -> leases.Lease | None:
        """Return the lease under which this VM coordinates, or None.

        The lease may have expired: work that needs no valid lease continues
        until another VM is known to have acquired the lease.
        """
        return self._lease

    @property
    def lease_version(self) -> int:
        """Return the version of the lease's object, or 0 without the lease."""
        return self._keeper.version

    async def run(self) -> None:
        """Coordinate whenever no other VM does, until cancelled."""
        # A restarted coordinator continues at once, while its peers would
        # have to wait until its lease expires.
        lease = await self._attempt(self._keeper.reclaim)
        if lease is not None:
            await self._coordinate(lease)
        while not self._stopping:
            self._keeper.record_version(self._members.find_lease_version())
            if not self._members.has_converged():
                await anyio.sleep(CONVERGENCE_CHECK_INTERVAL_SECONDS)
                continue
            if self._members.has_valid_coordinator():
                await anyio.sleep(COORDINATOR_CHECK_INTERVAL_SECONDS)
                continue
            lease = await self._try_acquire()
            if lease is not None:
                await self._coordinate(lease)

    async def resign(self) -> None:
        """Stop the task, release the lease and do not acquire it again."""
        self._stopping = True
        if self._lease is None:
            return
        await self._task.stop(STOP_TIMEOUT_SECONDS)
        self._coordinate_scope.cancel()
        try:
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                await self._keeper.release()
        except errors.PlatformError as error:
            LOG.info("cannot release the coordinator's lease: %s", error)

    async def _try_acquire(self) -> leases.Lease | None:
        await anyio.sleep(self._members.find_rank() * DELAY_PER_RANK_SECONDS)
        if self._members.has_valid_coordinator() or self._stopping:
            return None
        lease = await self._attempt(self._keeper.acquire)
        if lease is None:
            await anyio.sleep(self._timing.retry_interval_seconds)
        return lease

    async def _attempt(
        self,
        call: collections.abc.Callable[
            [], collections.abc.Awaitable[leases.Lease | None]
        ],
    ) -> leases.Lease | None:
        """Return the result of a call of the keeper, or None if it failed."""
        try:
            with anyio.fail_after(self._timing.renew_timeout_seconds):
                return await call()
        except (errors.LeaseLost, errors.PlatformError) as error:
            LOG.info("cannot acquire the coordinator's lease: %s", error)
        except TimeoutError:
            LOG.info("timed out acquiring the coordinator's lease")
        return None

    async def _coordinate(self, lease: leases.Lease) -> None:
        LOG.info(
            'became the coordinator',
            extra={'fencing_token': lease.fencing_token},
        )
        self._lease = lease
        try:
            with anyio.CancelScope() as self._coordinate_scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._run_task, lease)
                    tasks.start_soon(self._stop_once_replaced, lease)
                    await self._renew(lease)
                    tasks.cancel_scope.cancel()
        finally:
            self._lease = None
            LOG.info(
                'no longer the coordinator',
                extra={'fencing_token': lease.fencing_token},
            )

    async def _run_task(self, lease: leases.Lease) -> None:
        try:
            await self._task.run(lease)
        except* errors.LeaseLost as group:
            LOG.warning(
                'stopping the coordinator task: %s', group.exceptions[0]
            )
            # If another VM has held the lease, acquiring it again gives a
            # higher fencing token.
            self._coordinate_scope.cancel()

    async def _stop_once_replaced(self, lease: leases.Lease) -> None:
        """Stop coordinating once a peer knows of a newer coordinator.

        A VM that cannot reach the store, or is slow, learns so from its peers
        much earlier than from a renewal.
        """
        while True:
            await anyio.sleep(SUCCESSOR_CHECK_INTERVAL_SECONDS)
            name, fencing_token = self._members.newest_coordinator
            if fencing_token > lease.fencing_token:
                LOG.warning(
                    "lost the coordinator's lease: %s holds it now",
                    name,
                    extra={'fencing_token': fencing_token},
                )
                self._coordinate_scope.cancel()
                return

    async def _renew(self, lease: leases.Lease) -> None:
        """Renew the lease until it is lost."""
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
                        LOG.warning(
                            "acquired the coordinator's lease again with a "
                            'new fencing token'
                        )
                        return
                    renewed = True
                except errors.LeaseLost as error:
                    LOG.warning("lost the coordinator's lease: %s", error)
                    return
                except errors.PlatformError as error:
                    LOG.info("cannot renew the coordinator's lease: %s", error)
