"""Estimate of the rate at which queued requests start.

Only starts while requests wait are counted. While the queue is empty, requests
start at the rate at which they arrive, which says nothing about the speed of
the servers.
"""

import math

# Long enough for a steady rate, short enough to reflect the crash of a server
# within seconds.
TIME_CONSTANT_SECONDS = 2.0
# Over a shorter time, a few starts more or less could change the rate by half.
MIN_OBSERVATION_SECONDS = 0.25


class StartRate:
    """The exponentially weighted rate at which queued requests start."""

    __slots__ = ('_decayed_count', '_started_at', '_updated_at')

    def __init__(self) -> None:
        self._decayed_count = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def reset(self, now: float) -> None:
        """Discard the starts counted so far, when a new queue forms."""
        self._started_at = now
        self._decayed_count = 0.0
        self._updated_at = now

    def record(self, now: float) -> None:
        """Count a request that has started."""
        if self._started_at is None:
            self._started_at = now
        self._decayed_count = self._decayed_count * self._decay(now) + 1
        self._updated_at = now

    def estimate(self, now: float) -> float:
        """Return the starts per second; 0 while the rate is not known."""
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
