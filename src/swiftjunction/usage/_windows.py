"""The windows of usage reports."""

import collections.abc
import math

# Returns the true time in Unix seconds, as well as it is known.
Clock = collections.abc.Callable[[], float]


class Windows:
    """Numbers the windows of true time: window k begins k lengths after 1970.

    Parameters
    ----------
    length_seconds : float
        Length of a window.
    late_seconds : float
        Time from the end of a window until its report is due.
    clock : callable
        Returns Unix seconds.
    """

    __slots__ = ('_clock', '_length_seconds', 'late_seconds')

    def __init__(
        self, length_seconds: float, late_seconds: float, clock: Clock
    ) -> None:
        self._length_seconds = length_seconds
        self.late_seconds = late_seconds
        self._clock = clock

    @property
    def current(self) -> int:
        """Return the current window."""
        return math.floor(self._clock() / self._length_seconds)

    def compute_age(self, window: int) -> float:
        """Return the seconds since the end of a window; negative before."""
        return self._clock() - (window + 1) * self._length_seconds

    def read_clock(self) -> float:
        """Return the time in Unix seconds."""
        return self._clock()
