"""A lease as seen by its holder."""

import collections.abc
import math
import time

import msgspec

from swiftjunction import errors

LEASE_TTL_SECONDS = 10.0
LEASE_MARGIN_SECONDS = 2.0
# How much faster this VM's clock may run than another's, as a fraction.
MAX_CLOCK_RATE_ERROR = 0.01


class LeaseTiming(msgspec.Struct, frozen=True):
    """Timing of a lease, which all candidates for it share.

    Attributes
    ----------
    ttl_seconds : float
        How long the lease is valid after a renewal.
    margin_seconds : float
        How long before the lease expires its holder stops acting under it.
    renew_interval_seconds : float
        The delay between two renewals.
    renew_timeout_seconds : float
        The timeout of one renewal.
    retry_interval_seconds : float
        The delay after a failed attempt to acquire or renew the lease.
    """

    ttl_seconds: float = LEASE_TTL_SECONDS
    margin_seconds: float = LEASE_MARGIN_SECONDS
    renew_interval_seconds: float = 3.0
    renew_timeout_seconds: float = 2.0
    retry_interval_seconds: float = 1.0


DEFAULT_TIMING = LeaseTiming()

Clock = collections.abc.Callable[[], float]


def read_boot_clock() -> float:
    """Return the seconds since boot, including time spent suspended."""
    # The monotonic clock stops while a VM is suspended, so an expired lease
    # would still appear valid after it resumes.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """A lease, held until a deadline.

    The TTL counts from just before the write that acquired or renewed the
    lease was sent, on a clock that never goes backwards. The holder therefore
    never considers the lease valid for longer than other candidates do.

    A term lasts from the acquisition of a lease until it is released or
    acquired again; renewals extend the term.

    Parameters
    ----------
    name : str
        The name of the lease.
    fencing_token : int
        The fencing token of this term.
    deadline : float
        When the lease expires, in seconds on `clock`.
    clock : callable
        Returns seconds; never goes backwards.
    has_predecessor : bool
        Whether the lease may have had an earlier term, whose last actions may
        still be running.
    margin_seconds : float
        How long before the deadline the holder stops acting under the lease.
    settle_seconds : float
        For how long after this term began the previous holder wants no action
        that must not follow closely on one of its own.

    Attributes
    ----------
    needs_new_term : bool
        Whether work that needs the lease cannot go on under this fencing
        token, as its receiver has refused it.
    """

    __slots__ = (
        '_acquired_at',
        '_clock',
        '_deadline',
        '_has_predecessor',
        '_margin_seconds',
        '_refused_at',
        '_settle_seconds',
        'name',
        'fencing_token',
        'needs_new_term',
    )

    def __init__(
        self,
        name: str,
        fencing_token: int,
        deadline: float,
        clock: Clock,
        has_predecessor: bool = False,
        margin_seconds: float = LEASE_MARGIN_SECONDS,
        settle_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.fencing_token = fencing_token
        self._deadline = deadline
        self._clock = clock
        self._acquired_at = clock()
        self._has_predecessor = has_predecessor
        self._margin_seconds = margin_seconds
        self._settle_seconds = settle_seconds
        self._refused_at = -math.inf
        self.needs_new_term = False

    def remaining_seconds(self) -> float:
        """Return for how long the holder may still act under the lease."""
        return self._deadline - self._margin_seconds - self._clock()

    def check(self, needed_seconds: float = 0.0) -> None:
        """Raise ``LeaseLost`` unless `needed_seconds` remain.

        Also raised after a refusal, until a renewal shows who holds the lease.

        Must be called immediately before the action, without awaiting
        anything in between.
        """
        if self.remaining_seconds() < needed_seconds:
            raise errors.LeaseLost(
                f'lease {self.name} has expired or expires too soon',
                step='check',
            )
        if self.is_doubted():
            raise errors.LeaseLost(
                f'lease {self.name} is in doubt; the next renewal shows who '
                'holds it',
                step='check',
            )

    def record_refusal(self) -> None:
        """Record that a receiver has refused the fencing token as too low.

        Or a peer has stated a higher one. It may be at fault, or another
        process may hold the lease.
        """
        self._refused_at = self._clock()

    def is_doubted(self, since: float = -math.inf) -> bool:
        """Return whether no renewal has begun since the last refusal.

        Parameters
        ----------
        since : float
            Earlier refusals do not count, in seconds on the lease's clock.
        """
        return self._refused_at > since and not math.isinf(self._refused_at)

    def read_clock(self) -> float:
        """Return the time on the lease's clock, in seconds."""
        return self._clock()

    def check_predecessor_done(self, longest_action_seconds: float) -> None:
        """Raise ``LeaseLost`` while actions of the previous term may run.

        Needed before actions whose receiver does not check fencing tokens.

        Parameters
        ----------
        longest_action_seconds : float
            The longest time for which an action of the previous term may
            run after this term began.
        """
        if not self._has_predecessor:
            return
        waited_seconds = self._clock() - self._acquired_at
        if waited_seconds < max(
            longest_action_seconds, self._settle_seconds
        ) * (1 + MAX_CLOCK_RATE_ERROR):
            raise errors.LeaseLost(
                f'actions under the previous term of lease {self.name} may '
                'still be running',
                step='wait out',
            )

    def extend(self, deadline: float, started_at: float = -math.inf) -> None:
        """Extend the deadline after a renewal; it never moves back.

        Parameters
        ----------
        deadline : float
            When the lease expires, in seconds on the clock.
        started_at : float, optional
            When the renewal was sent. It shows that earlier refusals were not
            due to another holder.
        """
        self._deadline = max(self._deadline, deadline)
        if started_at >= self._refused_at:
            self._refused_at = -math.inf
