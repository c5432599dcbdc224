"""Health of a backend server as seen by one process."""

import collections.abc

EJECTION_SECONDS = 3.0
MAX_EJECTION_FACTOR = 8
SLOW_START_SECONDS = 10.0
# At the beginning of a slow start, a server gets this share of its usual load,
# so that its first responses can show whether it works.
MIN_SLOW_START_SHARE = 0.1


class Health:
    """Ejects a server after a failure, followed by a slow start.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_clock', '_ejected_until', '_started_at', 'failures')

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._ejected_until = 0.0
        self._started_at = clock()
        self.failures = 0

    @property
    def ejected_seconds(self) -> float:
        """Return the remaining time of the ejection; 0 if there is none."""
        return max(self._ejected_until - self._clock(), 0.0)

    def begin_slow_start(self) -> None:
        """Begin a slow start, for a server that is live again."""
        self._started_at = self._clock()

    def record_success(self) -> None:
        """Reset the failures after a complete response.

        This also ends an ejection: if too many servers are ejected at once,
        ejected ones get requests, and a response shows that the server works.
        """
        self.failures = 0
        self._ejected_until = 0.0

    def clear_failures(self) -> None:
        """End an ejection that was due to the path to the server."""
        if self.failures:
            self.failures = 0
            self._ejected_until = 0.0
            self._started_at = self._clock()

    def record_failure(self) -> None:
        """Eject the server, for longer after each consecutive failure.

        Failures during an ejection are ignored, so concurrent requests that
        fail together count as one failure.
        """
        if self.ejected_seconds:
            return
        self.failures += 1
        factor = min(2 ** (self.failures - 1), MAX_EJECTION_FACTOR)
        self._ejected_until = self._clock() + EJECTION_SECONDS * factor
        self._started_at = self._ejected_until

    def compute_load_share(self) -> float:
        """Return the share of its usual load that the server may get now."""
        age_seconds = max(self._clock() - self._started_at, 0.0)
        return min(
            max(age_seconds / SLOW_START_SECONDS, MIN_SLOW_START_SHARE), 1.0
        )
