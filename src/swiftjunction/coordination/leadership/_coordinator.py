"""Elects one VM as the coordinator, by a lease in the object store."""

import abc
import collections.abc
import contextlib
import logging
import math

import anyio
import msgspec

from swiftjunction.coordination import _datagrams
from swiftjunction.coordination import _members
from swiftjunction.coordination import _statuses
from swiftjunction.coordination.leadership import _fitness
from swiftjunction.coordination.leadership import _successors
from swiftjunction.coordination.leadership import _terms
from swiftjunction import errors
from swiftjunction import leases

LOG = logging.getLogger(__name__)

COORDINATOR_CHECK_INTERVAL_SECONDS = 0.3
CONVERGENCE_CHECK_INTERVAL_SECONDS = 0.02
SUCCESSOR_CHECK_INTERVAL_SECONDS = 0.1
# A candidate waits for this long times its rank before it tries to acquire the
# lease, so that candidates try in the order of their ranks.
DELAY_PER_RANK_SECONDS = 0.6
# After an outage of the store, a candidate leaves the lease for this long to a
# reachable peer that still coordinates: its samples run there. That peer tries
# to renew its lease every `LeaseTiming.retry_interval_seconds`.
HOLDER_ADVANCE_SECONDS = 0.5
# How long nobody has coordinated when a VM that is not fit to does.
UNFIT_DELAY_SECONDS = 4.0
# After this VM has found no successor, or has handed its duty over.
HAND_OVER_PAUSE_SECONDS = 0.5
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

    def compute_settle_seconds(self) -> float:
        """Return for how long a successor must leave some actions undone.

        These are the ones that must not follow closely on this VM's.
        """
        return 0.0


class DutyOffer(msgspec.Struct, frozen=True, tag='duty-offer'):
    """Datagram that asks a peer to become the coordinator.

    Attributes
    ----------
    fencing_token : int
        That of the sender, which has released the lease.
    """

    fencing_token: int


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
    fitness : DutyFitness, optional
        Tells whether this VM can do that work, or which peer can.
    """

    __slots__ = (
        '_coordinate_scope',
        '_datagrams',
        '_fitness',
        '_invited',
        '_keeper',
        '_lease',
        '_members',
        '_stopping',
        '_successor',
        '_successors',
        '_task',
        '_terms',
        '_timing',
        '_vacant_since',
    )

    def __init__(
        self,
        keeper: leases.LeaseKeeper,
        timing: leases.LeaseTiming,
        members: _members.MemberTable,
        task: CoordinatorTask,
        fitness: _fitness.DutyFitness | None = None,
    ) -> None:
        self._fitness = fitness or _fitness.AlwaysFit()
        self._datagrams: _datagrams.PeerDatagrams | None = None
        # Set when a peer has offered the duty to this VM.
        self._invited = anyio.Event()
        # The peer to which this VM hands its duty over.
        self._successor: _statuses.Member | None = None
        # Since when no coordinator was known.
        self._vacant_since = math.inf
        self._keeper = keeper
        self._timing = timing
        self._members = members
        self._successors = _successors.SuccessorCheck(members)
        self._task = task
        self._lease: leases.Lease | None = None
        self._coordinate_scope = anyio.CancelScope()
        self._terms = _terms.TermPacer()
        self._stopping = False

    def connect(self, datagrams: _datagrams.PeerDatagrams) -> None:
        """Send and receive offers of the duty over `datagrams`."""
        self._datagrams = datagrams
        datagrams.listen(DutyOffer, self._handle_offer)

    async def _handle_offer(self, offer: DutyOffer, sender: str) -> None:
        if self._lease is None:
            LOG.info('a peer offers the duty of the coordinator')
            self._invited.set()

    @property
    def lease(self) -> leases.Lease | None:
        """Return the lease under which this VM coordinates, or None.

        The lease may have expired: work that needs no valid lease continues
        until another VM is known to have acquired the lease.
        """
        return self._lease

    def holds_lease(self) -> bool:
        """Return whether this VM coordinates under a valid lease."""
        return self._lease is not None and self._lease.remaining_seconds() > 0

    @property
    def lease_version(self) -> int:
        """Return the version of the lease's object, or 0 without the lease."""
        return self._keeper.version

    async def run(self) -> None:
        """Coordinate whenever no other VM does, until cancelled."""
        # A restarted coordinator continues at once, while its peers would
        # have to wait until its lease expires.
        if not self._stopping:
            lease = await self._attempt(self._keeper.reclaim)
            if lease is not None:
                await self._coordinate(lease)
        while not self._stopping:
            self._keeper.record_version(self._members.find_lease_version())
            if not self._members.has_converged():
                await anyio.sleep(CONVERGENCE_CHECK_INTERVAL_SECONDS)
                continue
            if not self._invited.is_set() and self._has_coordinator():
                with anyio.move_on_after(COORDINATOR_CHECK_INTERVAL_SECONDS):
                    await self._invited.wait()
                continue
            lease = await self._try_acquire()
            if lease is not None:
                await self._coordinate(lease)

    def _has_coordinator(self) -> bool:
        now = anyio.current_time()
        if self._members.has_valid_coordinator():
            self._vacant_since = math.inf
            return True
        self._vacant_since = min(self._vacant_since, now)
        return False

    async def resign(self) -> None:
        """Stop the task, release the lease and do not acquire it again."""
        self._stopping = True
        if self._lease is not None:
            await self._task.stop(STOP_TIMEOUT_SECONDS)
            self._coordinate_scope.cancel()
        # The lease may also be held while the task waits to run again.
        try:
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                await self._keeper.release()
        except errors.PlatformError as error:
            LOG.info("cannot release the coordinator's lease: %s", error)

    async def _try_acquire(self) -> leases.Lease | None:
        if self._invited.is_set():
            self._invited = anyio.Event()
        else:
            rank = self._members.find_rank(skip_cut_off=True)
            with anyio.move_on_after(rank * DELAY_PER_RANK_SECONDS):
                await self._invited.wait()
            if self._members.has_valid_coordinator():
                return None
            if await self._leave_to_holder():
                return None
        if self._stopping or not await self._may_acquire():
            return None
        lease = await self._attempt(self._keeper.acquire)
        if lease is None:
            await anyio.sleep(self._timing.retry_interval_seconds)
        return lease

    async def _leave_to_holder(self) -> bool:
        """Return whether the peer whose lease has expired goes on with it.

        It is given time to renew the lease once the store can be reached. If
        it has not by then, this VM may acquire the lease.
        """
        holder = self._members.find_reachable_coordinator()
        if holder is None:
            return False
        try:
            with anyio.fail_after(self._timing.renew_timeout_seconds):
                await self._keeper.observe()
        except (errors.PlatformError, TimeoutError):
            await anyio.sleep(self._timing.retry_interval_seconds)
            return True
        LOG.info(
            'the coordinator may renew its expired lease first',
            extra={'peer': holder.name},
        )
        with anyio.move_on_after(HOLDER_ADVANCE_SECONDS):
            await self._invited.wait()
        return self._members.has_valid_coordinator()

    async def _may_acquire(self) -> bool:
        """Return whether this VM can coordinate, or must, as nobody can."""
        if await self._fitness.confirm():
            return True
        vacant_seconds = anyio.current_time() - self._vacant_since
        if vacant_seconds > UNFIT_DELAY_SECONDS:
            return True
        await anyio.sleep(COORDINATOR_CHECK_INTERVAL_SECONDS)
        return False

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
        self._successor = None
        self._vacant_since = math.inf
        try:
            with anyio.CancelScope() as self._coordinate_scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._run_task, lease)
                    tasks.start_soon(self._stop_once_replaced, lease)
                    tasks.start_soon(self._stop_once_unfit)
                    await self._renew(lease)
                    tasks.cancel_scope.cancel()
        finally:
            self._lease = None
            LOG.info(
                'no longer the coordinator',
                extra={'fencing_token': lease.fencing_token},
            )
        if self._successor is not None and not self._stopping:
            await self._hand_over(lease, self._successor)

    async def _stop_once_unfit(self) -> None:
        """Stop coordinating once a peer can, and this VM cannot."""
        while True:
            await anyio.sleep(SUCCESSOR_CHECK_INTERVAL_SECONDS)
            if self._fitness.is_fit() or self._stopping:
                continue
            successor = await self._fitness.find_successor()
            if successor is None or self._fitness.is_fit():
                await anyio.sleep(HAND_OVER_PAUSE_SECONDS)
                continue
            LOG.warning(
                'handing the duty of the coordinator over, as this VM reaches '
                'no engine of a service',
                extra={'peer': successor.name},
            )
            await self._task.stop(STOP_TIMEOUT_SECONDS)
            self._successor = successor
            self._coordinate_scope.cancel()
            return

    async def _hand_over(
        self, lease: leases.Lease, successor: _statuses.Member
    ) -> None:
        settle_seconds = self._task.compute_settle_seconds()
        try:
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                await self._keeper.release(settle_seconds)
        except errors.PlatformError as error:
            # It expires.
            LOG.info("cannot release the coordinator's lease: %s", error)
        if self._datagrams is not None:
            # An invalid address is the peer's fault, which then gets no offer.
            with contextlib.suppress(ValueError):
                await self._datagrams.send(
                    DutyOffer(lease.fencing_token), successor.address
                )
        await anyio.sleep(HAND_OVER_PAUSE_SECONDS)

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
        """Stop coordinating once a peer knows of a newer coordinator."""
        await self._successors.wait_until_replaced(lease)
        self._coordinate_scope.cancel()

    async def _renew(self, lease: leases.Lease) -> None:
        """Renew the lease until it is lost."""
        renewed = True
        asked_at = lease.read_clock()
        while True:
            await _terms.wait_to_renew(
                lease,
                self._timing.renew_interval_seconds
                if renewed
                else self._timing.retry_interval_seconds,
                asked_at,
            )
            renewed = False
            asked_at = lease.read_clock()
            begin_term = self._terms.may_begin(lease)
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                try:
                    if await self._keeper.acquire(begin_term) is not lease:
                        if begin_term:
                            self._terms.record_begin()
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
            if not renewed:
                self._successors.record_failure(asked_at)
