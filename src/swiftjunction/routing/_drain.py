"""How fast the requests that wait are taken up."""

import math

# Long enough to be steady, short enough to follow a crash.
WINDOW_SECONDS = 2.0


class DrainRate:
    """A rate of events, of which older ones count less."""

    __slots__ = ('_at', '_first_at', '_weight')

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = 0.0
        self._first_at: float | None = None

    def note(self, now: float) -> None:
        """Count one event."""
        if self._first_at is None:
            self._first_at = now
        self._weight = self._weight * self._decay(now) + 1
        self._at = now

    def estimate(self, now: float) -> float:
        """Return events a second; 0 where there were none."""
        if self._first_at is None:
            return 0.0
        # Early on, the weight has not had the time to become a whole window.
        seen = 1 - math.exp(-(now - self._first_at) / WINDOW_SECONDS)
        window_seconds = WINDOW_SECONDS * max(seen, 0.05)
        return self._weight * self._decay(now) / window_seconds

    def _decay(self, now: float) -> float:
        return math.exp(-(now - self._at) / WINDOW_SECONDS)
