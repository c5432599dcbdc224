"""Smooths the loads that engines report, so that few reports change."""

import math

SMOOTHING_SECONDS = 10.0
STEP = 0.25
# A smoothed load must be so far from what was reported to be reported anew.
MIN_CHANGE = 0.2


class LoadFilter:
    """Turns one engine's loads into a value that seldom changes."""

    __slots__ = ('_at', '_reported', '_smoothed')

    def __init__(self) -> None:
        self._at = -math.inf
        self._smoothed = 0.0
        self._reported = 0.0

    def filter(self, load: float, now: float) -> float:
        """Take in a load at `now`, in seconds, and return what to report."""
        weight = 1 - math.exp((self._at - now) / SMOOTHING_SECONDS)
        self._at = now
        self._smoothed += weight * (load - self._smoothed)
        if abs(self._smoothed - self._reported) >= MIN_CHANGE:
            self._reported = STEP * round(self._smoothed / STEP)
        return self._reported
