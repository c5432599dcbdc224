"""A clock that all VMs share, although some have a stepped time of day.

Each VM states its time of day in its statuses. The offset of a peer's time of
day from this VM's boot clock, at the middle of the exchange, tells what that
peer takes for the time. The median over this VM and the peers that it polled
recently is right while fewer than half of them are stepped, which may fail by
chance for few peers. So each VM also states that median, and the shared time
is the median over the medians. What a median is computed from is never itself
a shared time, so errors do not build up.
"""

import collections.abc
import math
import statistics
import time

import msgspec

from swiftjunction.coordination import _statuses
from swiftjunction import leases

# What a peer stated longer ago is left out, as its time may have been stepped
# since.
MAX_AGE_SECONDS = 3.0
# A longer exchange does not tell the time at its middle well enough.
MAX_EXCHANGE_SECONDS = 0.15
# While a new median is behind the time last read by no more than this, the
# clock stands still instead of going back.
MAX_HOLD_SECONDS = 0.25

Clock = collections.abc.Callable[[], float]


class _Statement(msgspec.Struct, frozen=True):
    """What a peer takes for the time, as offsets from the boot clock."""

    offset_seconds: float
    median_seconds: float
    at: float


class SharedClock:
    """The time of day on which the VMs of a deployment agree.

    Parameters
    ----------
    boot_clock : callable
        Returns seconds; never stepped, and also counts the time for which the
        VM is suspended.
    time_of_day : callable
        Returns Unix seconds, which may be stepped.
    """

    __slots__ = ('_boot_clock', '_last_read', '_statements', '_time_of_day')

    def __init__(
        self,
        boot_clock: Clock = leases.read_boot_clock,
        time_of_day: Clock = time.time,
    ) -> None:
        self._boot_clock = boot_clock
        self._time_of_day = time_of_day
        self._statements: dict[str, _Statement] = {}
        self._last_read = -math.inf

    def record_status(
        self, status: _statuses.MemberStatus, asked_at: float | None
    ) -> None:
        """Record the time that a peer states.

        Parameters
        ----------
        status : MemberStatus
            The answer of the peer, just received.
        asked_at : float or None
            Just before the peer was asked, in seconds on the boot clock; None
            if that is not known.
        """
        now = self._boot_clock()
        times = (status.time_of_day, status.median_time)
        if (
            asked_at is None
            or not 0 <= now - asked_at <= MAX_EXCHANGE_SECONDS
            # A peer of a former build, or without need, states no time.
            or not all(0 < stated < math.inf for stated in times)
        ):
            return
        middle = (asked_at + now) / 2
        self._statements[status.name] = _Statement(
            status.time_of_day - middle, status.median_time - middle, now
        )

    def read_seconds(self) -> float:
        """Return the shared time, in Unix seconds.

        It may differ from the true time by the median error of the VMs'
        clocks and half the time of an exchange. As peers come and go it may
        run ahead or stand still for up to MAX_HOLD_SECONDS; it goes back only
        if the median moves by more.
        """
        now = self._boot_clock()
        median = self._compute_median(now)
        medians = [s.median_seconds for s in self._list_recent(now)]
        shared = now + statistics.median([median, *medians])
        if not 0 < self._last_read - shared <= MAX_HOLD_SECONDS:
            self._last_read = shared
        return self._last_read

    def state_times(self) -> tuple[float, float]:
        """Return the time of day and the median of those, for peers."""
        now = self._boot_clock()
        return self._time_of_day(), now + self._compute_median(now)

    def count_peers(self) -> int:
        """Return how many peers stated their time recently."""
        return len(self._list_recent(self._boot_clock()))

    def summarize(self) -> dict[str, float]:
        """Return the shared time and how it was found, for the state dump."""
        shared = self.read_seconds()
        return {
            'seconds': shared,
            'ahead_of_time_of_day_seconds': shared - self._time_of_day(),
            'peers': self.count_peers(),
        }

    def _compute_median(self, now: float) -> float:
        """Return the median of all times of day, as an offset from `now`."""
        offsets = [s.offset_seconds for s in self._list_recent(now)]
        return statistics.median([self._time_of_day() - now, *offsets])

    def _list_recent(self, now: float) -> list[_Statement]:
        self._statements = {
            name: statement
            for name, statement in self._statements.items()
            if now - statement.at <= MAX_AGE_SECONDS
        }
        return list(self._statements.values())
