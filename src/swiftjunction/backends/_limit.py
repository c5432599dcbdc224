"""How many requests one process may have on one backend server."""

# Low, so that the first window shows the latency of a server at ease.
FIRST_LIMIT_REQUESTS = 4.0
MIN_LIMIT_REQUESTS = 1.0
MAX_LIMIT_REQUESTS = 1024.0
WINDOW_ANSWERS = 16
DECREASE_FACTOR = 0.85
# The mean of a window may be so many times the lowest one before the limit
# falls. Two: half of the time is then spent waiting.
LIVE_LATENCY_TOLERANCE = 2.0
# Samples stop earlier, as more of them on an engine slow its live answers.
SAMPLE_LATENCY_TOLERANCE = 1.2
# The lowest mean is measured anew this often, as requests and weights change,
# and at a part of the limit, as under load it would be too high.
PROBE_INTERVAL_SECONDS = 60.0
PROBE_SHARE = 0.5


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, driven by latency.

    Until the first decrease, the limit doubles with each window that used it.

    Answers differ in size, so that one latency says little; the mean of a
    window is compared with the lowest mean so far.

    Parameters
    ----------
    latency_tolerance : float
        How many times the lowest mean latency is accepted.
    """

    __slots__ = (
        '_baseline_seconds',
        '_distorted',
        '_count',
        '_full',
        '_limit',
        '_probe_at',
        '_probing',
        '_starting',
        '_latency_tolerance',
        '_total_seconds',
    )

    def __init__(
        self, latency_tolerance: float = LIVE_LATENCY_TOLERANCE
    ) -> None:
        self._latency_tolerance = latency_tolerance
        self._limit = FIRST_LIMIT_REQUESTS
        self._baseline_seconds = 0.0
        self._probe_at = 0.0
        self._probing = False
        self._starting = True
        self._total_seconds = 0.0
        self._count = 0
        self._full = False
        self._distorted = False

    @property
    def requests(self) -> int:
        """Return the limit."""
        share = PROBE_SHARE if self._probing else 1.0
        return int(max(self._limit * share, MIN_LIMIT_REQUESTS))

    def record_latency(
        self,
        seconds: float,
        in_flight: int,
        now: float,
        distorted: bool = False,
    ) -> None:
        """Learn from an answer that came while `in_flight` were there.

        `distorted` tells that much of the latency may be this process's own;
        the window then neither lowers the limit nor is a measure for others.
        """
        self._distorted = self._distorted or distorted
        self._total_seconds += seconds
        self._count += 1
        self._full = self._full or in_flight * 2 >= self._limit
        if self._count >= WINDOW_ANSWERS:
            self._close_window(self._total_seconds / self._count, now)

    def record_failure(self) -> None:
        """Learn that the server failed a request."""
        self._decrease()

    def _close_window(self, mean_seconds: float, now: float) -> None:
        if self._distorted:
            if self._full:
                self._raise()
        elif self._probing or not self._baseline_seconds:
            self._baseline_seconds = mean_seconds
            self._probe_at = now + PROBE_INTERVAL_SECONDS
            self._probing = False
        else:
            self._baseline_seconds = min(self._baseline_seconds, mean_seconds)
            self._adapt(mean_seconds)
            self._probing = now >= self._probe_at
        self._total_seconds = 0.0
        self._count = 0
        self._full = False
        self._distorted = False

    def _adapt(self, mean_seconds: float) -> None:
        if mean_seconds > self._baseline_seconds * self._latency_tolerance:
            self._decrease()
        elif self._full:
            self._raise()

    def _raise(self) -> None:
        raised = self._limit * 2 if self._starting else self._limit + 1
        self._limit = min(raised, MAX_LIMIT_REQUESTS)

    def _decrease(self) -> None:
        self._starting = False
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT_REQUESTS)
