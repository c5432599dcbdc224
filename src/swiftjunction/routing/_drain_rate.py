"""How fast the requests that wait are taken up.

Only what is taken up while others wait tells of the servers' rate. While
nobody waits, the rate is the callers' own, and a burst after a quiet time
would be measured by it.
"""

import math

# Long enough to be steady, short enough to follow a crash.
WINDOW_SECONDS = 2.0
# Before that, a few events more or less would change the rate by half.
MIN_SEEN_SECONDS = 0.25


class DrainRate:
    """A rate of events, of which older ones count less."""

    __slots__ = ('_at', '_first_at', '_weight')

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = 0.0
        self._first_at: float | None = None

    def restart(self, now: float) -> None:
        """Forget the events, as a new line begins."""
        self._first_at = now
        self._weight = 0.0
        self._at = now

    def note(self, now: float) -> None:
        """Count one event."""
        if self._first_at is None:
            self._first_at = now
        self._weight = self._weight * self._decay(now) + 1
        self._at = now

    def estimate(self, now: float) -> float:
        """Return events a second; 0 where that is not known yet."""
        if self._first_at is None or now - self._first_at < MIN_SEEN_SECONDS:
            return 0.0
        # Early on, the weight has not had the time to become a whole window.
        seen = 1 - math.exp(-(now - self._first_at) / WINDOW_SECONDS)
        return self._weight * self._decay(now) / (WINDOW_SECONDS * seen)

    def _decay(self, now: float) -> float:
        return math.exp(-(now - self._at) / WINDOW_SECONDS)
