"""Smooths the loads that engines report to limit the rate of updates."""

import math

SMOOTHING_SECONDS = 10.0
LOAD_STEP = 0.25
# Hysteresis: smaller differences from the reported load are not reported.
MIN_LOAD_CHANGE = 0.2


class LoadFilter:
    """Converts the loads of one engine into a value that rarely changes.

    Applies exponential smoothing, then hysteresis and rounding, because each
    change of the reported load is sent to all daemons. Loads are fractions of
    a full batch.
    """

    __slots__ = ('_reported', '_smoothed', '_updated_at')

    def __init__(self) -> None:
        self._updated_at = -math.inf
        self._smoothed = 0.0
        self._reported = 0.0

    def filter(self, load: float, now: float) -> float:
        """Add the load at `now`, in seconds; return the load to report."""
        weight = 1 - math.exp((self._updated_at - now) / SMOOTHING_SECONDS)
        self._updated_at = now
        self._smoothed += weight * (load - self._smoothed)
        if abs(self._smoothed - self._reported) >= MIN_LOAD_CHANGE:
            self._reported = LOAD_STEP * round(self._smoothed / LOAD_STEP)
        return self._reported
