"""One lease as its holder sees it."""

import collections.abc
import time

import msgspec

from swiftjunction import errors

LEASE_TTL_SECONDS = 10.0
LEASE_MARGIN_SECONDS = 2.0
# How much faster than ours another VM's clock may run.
MAX_CLOCK_RATE_ERROR = 0.01


class LeaseTiming(msgspec.Struct, frozen=True):
    """The times that all holders of one lease agree on.

    Attributes
    ----------
    ttl_seconds : float
        How long a renewal holds.
    margin_seconds : float
        How long before its end a holder no longer acts under it.
    renew_interval_seconds, renew_timeout_seconds : float
        Between two renewals, and at most for one.
    retry_interval_seconds : float
        Between two tries to take it, or to renew it after a failure.
    """

    ttl_seconds: float = LEASE_TTL_SECONDS
    margin_seconds: float = LEASE_MARGIN_SECONDS
    renew_interval_seconds: float = 3.0
    renew_timeout_seconds: float = 2.0
    retry_interval_seconds: float = 1.0


DEFAULT_TIMING = LeaseTiming()

Clock = collections.abc.Callable[[], float]


def read_boot_clock() -> float:
    """Return the seconds since boot, with those of a suspended VM."""
    # The monotonic clock stands still while a VM is suspended, and a lease
    # would seem to be held on.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """The right to act, until its deadline.

    The deadline counts from *before* the write that renewed it was sent, on
    a clock that only goes forward, so it is never later than what others may
    assume.

    Parameters
    ----------
    token : int
        The fencing token of this term.
    deadline : float
        On `clock`, in seconds.
    has_predecessor : bool
        Whether another term came before, whose last orders may be under way.
    margin_seconds : float
        How long before the deadline nothing is done any more.
    """

    __slots__ = (
        '_clock',
        '_deadline',
        '_has_predecessor',
        '_margin_seconds',
        '_taken_at',
        'name',
        'token',
    )

    def __init__(
        self,
        name: str,
        token: int,
        deadline: float,
        clock: Clock,
        has_predecessor: bool = False,
        margin_seconds: float = LEASE_MARGIN_SECONDS,
    ) -> None:
        self.name = name
        self.token = token
        self._deadline = deadline
        self._clock = clock
        self._taken_at = clock()
        self._has_predecessor = has_predecessor
        self._margin_seconds = margin_seconds

    def remaining_seconds(self) -> float:
        """Return how long the lease may still be acted under."""
        return self._deadline - self._margin_seconds - self._clock()

    def check(self, needed_seconds: float = 0.0) -> None:
        """Raise ``LeaseLost`` unless `needed_seconds` remain.

        Called at the moment of acting, without a wait between.
        """
        if self.remaining_seconds() < needed_seconds:
            raise errors.LeaseLost(
                f'lease {self.name} has lapsed', step='check'
            )

    def check_predecessor_done(self, longest_action_seconds: float) -> None:
        """Raise ``LeaseLost`` while an earlier holder's action may be on.

        For actions whose peer does not check the fencing token.
        """
        if not self._has_predecessor:
            return
        waited_seconds = self._clock() - self._taken_at
        if waited_seconds < longest_action_seconds * (
            1 + MAX_CLOCK_RATE_ERROR
        ):
            raise errors.LeaseLost(
                f'lease {self.name} waits out its earlier holder',
                step='wait out',
            )

    def extend(self, deadline: float) -> None:
        """Move the deadline after a renewal."""
        self._deadline = max(self._deadline, deadline)
