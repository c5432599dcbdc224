"""How recently this process knew of all batches that have ended.

The end of a batch may be acknowledged by any process. Until the process that
runs the batch knows of it, its samples would go on reaching servers. A watch
that receives nothing does not tell a quiet store from a late response, so
each response confirms what was known when it was requested, and no more.
"""

import abc
import collections.abc
import math

import anyio

from swiftjunction import leases

# Fraction of the bound that remains after the last check, for the request to
# reach its server.
SEND_MARGIN_FRACTION = 0.25
# From this fraction of its maximum age on, a confirmation is late.
LATE_FRACTION = 0.5
OUTAGE_CHECK_INTERVAL_SECONDS = 0.25
# Number of watches that the bound covers. A response confirms what was known
# when its watch began, so a confirmation reaches the age of two watches with
# their delays before the next response arrives.
WATCHES_PER_BOUND = 6


class OutageDetector(abc.ABC):
    """Finds out whether the object store is unavailable to all processes."""

    __slots__ = ()

    @abc.abstractmethod
    async def is_store_unavailable(self) -> bool:
        """Return whether no process seems to reach the object store."""


class EndConfirmation:
    """Tracks when all ended batches were last known.

    Parameters
    ----------
    cancel_seconds : float
        How long after the acknowledged end of a batch its samples may still
        reach a server, in seconds.
    clock : callable
        Returns seconds; also counts the time for which the VM is suspended.

    Attributes
    ----------
    max_age_seconds : float
        The age from which on a confirmation is outdated.
    watch_seconds : float
        The longest time to wait for changes before the next confirmation.
    """

    __slots__ = (
        '_confirmed_at',
        'clock',
        'max_age_seconds',
        'watch_seconds',
    )

    def __init__(
        self,
        cancel_seconds: float,
        clock: collections.abc.Callable[[], float] = leases.read_boot_clock,
    ) -> None:
        self.clock = clock
        self.max_age_seconds = cancel_seconds * (1 - SEND_MARGIN_FRACTION)
        self.watch_seconds = cancel_seconds / WATCHES_PER_BOUND
        self._confirmed_at = -math.inf

    def reset(self) -> None:
        """Forget the last confirmation."""
        self._confirmed_at = -math.inf

    def record(self, asked_at: float) -> None:
        """Record that all ends before `asked_at` are known.

        While the object store is unavailable, no end can be acknowledged.

        Parameters
        ----------
        asked_at : float
            Time on `clock`, in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def is_recent(self) -> bool:
        """Return whether the last confirmation is recent enough to send."""
        return self.age_seconds <= self.max_age_seconds

    def is_late(self) -> bool:
        """Return whether the next confirmation should have come by now."""
        return self.age_seconds > self.max_age_seconds * LATE_FRACTION

    @property
    def age_seconds(self) -> float:
        """Return the age of the last confirmation; infinity without one."""
        return self.clock() - self._confirmed_at


async def confirm_during_outages(
    confirmation: EndConfirmation, detector: OutageDetector
) -> None:
    """Confirm while the object store is unavailable, until cancelled.

    No end can be acknowledged meanwhile, so samples need not wait.
    """
    while True:
        await anyio.sleep(OUTAGE_CHECK_INTERVAL_SECONDS)
        if not confirmation.is_late():
            continue
        asked_at = confirmation.clock()
        if await detector.is_store_unavailable():
            confirmation.record(asked_at)
