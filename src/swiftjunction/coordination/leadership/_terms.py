"""Limits how often a coordinator begins a new term by itself."""

import collections.abc
import math

import anyio

from swiftjunction import leases

# Each new term reads all open batches again.
MIN_TERM_SECONDS = 10.0
MAX_TERM_SECONDS = 600.0
REFUSAL_CHECK_INTERVAL_SECONDS = 0.1


class TermPacer:
    """Tells when to acquire a held lease anew, with a higher fencing token.

    At once after the first refusal, and after a growing delay if the higher
    token is refused too.

    Parameters
    ----------
    clock : callable
        Returns seconds; never goes backwards.
    """

    __slots__ = ('_began_at', '_clock', '_pause_seconds')

    def __init__(
        self, clock: collections.abc.Callable[[], float] = anyio.current_time
    ) -> None:
        self._clock = clock
        self._began_at = -math.inf
        self._pause_seconds = MIN_TERM_SECONDS

    def may_begin(self, lease: leases.Lease) -> bool:
        """Return whether the lease is to be acquired anew now."""
        elapsed_seconds = self._clock() - self._began_at
        return lease.needs_new_term and elapsed_seconds > self._pause_seconds

    def record_begin(self) -> None:
        """Record that the lease was acquired anew."""
        now = self._clock()
        if now - self._began_at > 2 * MAX_TERM_SECONDS:
            self._pause_seconds = MIN_TERM_SECONDS
        else:
            self._pause_seconds = min(
                2 * self._pause_seconds, MAX_TERM_SECONDS
            )
        self._began_at = now


async def wait_to_renew(
    lease: leases.Lease, seconds: float, asked_at: float
) -> None:
    """Wait until the next renewal is due: at once after a new refusal.

    Parameters
    ----------
    asked_at : float
        When the last renewal was sent, on the lease's clock in seconds.
    """
    with anyio.move_on_after(seconds):
        while not lease.is_doubted(asked_at):
            await anyio.sleep(REFUSAL_CHECK_INTERVAL_SECONDS)
