"""Adaptive limit of the requests of a process on a backend server."""

# Low, so that the first window shows the latency of an unloaded server.
INITIAL_LIMIT_REQUESTS = 4.0
MIN_LIMIT_REQUESTS = 1.0
MAX_LIMIT_REQUESTS = 1024.0
WINDOW_LATENCIES = 16
DECREASE_FACTOR = 0.85
# The limit falls when the mean latency of a window is more than this many
# times the baseline. At 2, half of the latency is time spent waiting.
LIVE_LATENCY_TOLERANCE = 2.0
# Lower for samples: the more of them run on an engine, the slower its live
# requests become.
SAMPLE_LATENCY_TOLERANCE = 1.2
# Requests and weights change, so the baseline is measured again at this
# interval. The limit is lowered meanwhile, as waiting would add to the
# baseline.
PROBE_INTERVAL_SECONDS = 60.0
PROBE_LIMIT_FACTOR = 0.5


class ConcurrencyLimit:
    """A concurrency limit driven by latency (AIMD).

    The limit increases additively and decreases multiplicatively. Until the
    first decrease, it doubles after each window in which, when some latency
    was recorded, at least half of it was in use.

    As responses differ in size, single latencies say little; the mean of each
    window is compared with the baseline, the lowest mean of a window since
    the baseline was last measured anew.

    Parameters
    ----------
    latency_tolerance : float
        The highest accepted ratio of the mean latency to the baseline.
    """

    __slots__ = (
        '_latency_count',
        '_baseline_seconds',
        '_distorted',
        '_doubling',
        '_latency_tolerance',
        '_limit',
        '_limit_used',
        '_probe_at',
        '_probing',
        '_total_seconds',
    )

    def __init__(
        self, latency_tolerance: float = LIVE_LATENCY_TOLERANCE
    ) -> None:
        self._latency_tolerance = latency_tolerance
        self._limit = INITIAL_LIMIT_REQUESTS
        self._baseline_seconds = 0.0
        self._probe_at = 0.0
        self._probing = False
        self._doubling = True
        self._total_seconds = 0.0
        self._latency_count = 0
        self._limit_used = False
        self._distorted = False

    @property
    def requests(self) -> int:
        """Return the limit in requests, at least 1."""
        factor = PROBE_LIMIT_FACTOR if self._probing else 1.0
        return int(max(self._limit * factor, MIN_LIMIT_REQUESTS))

    def record_latency(
        self,
        seconds: float,
        in_flight: int,
        now: float,
        distorted: bool = False,
    ) -> None:
        """Add a measured latency to the current window.

        Parameters
        ----------
        seconds : float
            The latency.
        in_flight : int
            The requests in flight at the time of the measurement.
        now : float
            The current time in seconds.
        distorted : bool
            Whether the lag of the event loop distorts the latency. The window
            then neither lowers the limit nor changes the baseline.
        """
        self._distorted = self._distorted or distorted
        self._total_seconds += seconds
        self._latency_count += 1
        self._limit_used = self._limit_used or in_flight * 2 >= self._limit
        if self._latency_count >= WINDOW_LATENCIES:
            self._close_window(self._total_seconds / self._latency_count, now)

    def record_failure(self) -> None:
        """Lower the limit after a failed request."""
        self._decrease()

    def _close_window(self, mean_seconds: float, now: float) -> None:
        if self._distorted:
            if self._limit_used:
                self._increase()
        elif self._probing or not self._baseline_seconds:
            self._baseline_seconds = mean_seconds
            self._probe_at = now + PROBE_INTERVAL_SECONDS
            self._probing = False
        else:
            self._baseline_seconds = min(self._baseline_seconds, mean_seconds)
            self._adjust(mean_seconds)
            self._probing = now >= self._probe_at
        self._total_seconds = 0.0
        self._latency_count = 0
        self._limit_used = False
        self._distorted = False

    def _adjust(self, mean_seconds: float) -> None:
        if mean_seconds > self._baseline_seconds * self._latency_tolerance:
            self._decrease()
        elif self._limit_used:
            self._increase()

    def _increase(self) -> None:
        increased = self._limit * 2 if self._doubling else self._limit + 1
        self._limit = min(increased, MAX_LIMIT_REQUESTS)

    def _decrease(self) -> None:
        self._doubling = False
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT_REQUESTS)
