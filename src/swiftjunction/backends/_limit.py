"""How many requests one process may have on one backend server."""

FIRST_LIMIT_REQUESTS = 16.0
MIN_LIMIT_REQUESTS = 2.0
MAX_LIMIT_REQUESTS = 1024.0
WINDOW_ANSWERS = 16
DECREASE_FACTOR = 0.85
# The mean of a window may be so many times the lowest one before the limit
# falls. Two: half of the time is then spent waiting.
TOLERANCE = 2.0
# The lowest mean is forgotten slowly, as requests may become larger.
BASELINE_GROWTH = 1.01


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, driven by latency.

    Answers differ in size, so that one latency says little; the mean of a
    window is compared with the lowest mean so far.
    """

    __slots__ = ('_baseline_seconds', '_count', '_full', '_limit', '_total')

    def __init__(self) -> None:
        self._limit = FIRST_LIMIT_REQUESTS
        self._baseline_seconds = 0.0
        self._total = 0.0
        self._count = 0
        self._full = False

    @property
    def requests(self) -> int:
        """Return the limit."""
        return int(self._limit)

    def note_latency(self, seconds: float, in_flight: int) -> None:
        """Learn from an answer that came while `in_flight` were there."""
        self._total += seconds
        self._count += 1
        self._full = self._full or in_flight * 2 >= self._limit
        if self._count >= WINDOW_ANSWERS:
            self._close_window(self._total / self._count)

    def note_failure(self) -> None:
        """Learn that the server failed or refused a request."""
        self._decrease()

    def _close_window(self, mean_seconds: float) -> None:
        baseline = self._baseline_seconds * BASELINE_GROWTH
        self._baseline_seconds = min(mean_seconds, baseline or mean_seconds)
        if mean_seconds > self._baseline_seconds * TOLERANCE:
            self._decrease()
        elif self._full:
            self._limit = min(self._limit + 1, MAX_LIMIT_REQUESTS)
        self._total = 0.0
        self._count = 0
        self._full = False

    def _decrease(self) -> None:
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT_REQUESTS)
