"""Estimate of the rate at which queued requests start.

Only requests that start while others wait show how fast the servers are.
While the queue is empty, the rate equals the rate of arrivals, and a burst
after a quiet period would be judged by it.
"""

import math

# Long enough for a steady rate, short enough to follow a crash.
TIME_CONSTANT_SECONDS = 2.0
# Over a shorter time, a few events more or less would change the rate by half.
MIN_OBSERVATION_SECONDS = 0.25


class StartRate:
    """An exponentially weighted rate of events."""

    __slots__ = ('_decayed_count', '_started_at', '_updated_at')

    def __init__(self) -> None:
        self._decayed_count = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def reset(self, now: float) -> None:
        """Discard all events, as a new queue begins."""
        self._started_at = now
        self._decayed_count = 0.0
        self._updated_at = now

    def record(self, now: float) -> None:
        """Count one event."""
        if self._started_at is None:
            self._started_at = now
        self._decayed_count = self._decayed_count * self._decay(now) + 1
        self._updated_at = now

    def estimate(self, now: float) -> float:
        """Return the events per second, or 0 while that is not known."""
        if (
            self._started_at is None
            or now - self._started_at < MIN_OBSERVATION_SECONDS
        ):
            return 0.0
        # Corrects the bias towards 0 of an average that has just started.
        observed_share = 1 - math.exp(
            -(now - self._started_at) / TIME_CONSTANT_SECONDS
        )
        return (
            self._decayed_count
            * self._decay(now)
            / (TIME_CONSTANT_SECONDS * observed_share)
        )

    def _decay(self, now: float) -> float:
        return math.exp(-(now - self._updated_at) / TIME_CONSTANT_SECONDS)
