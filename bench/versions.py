"""Which weight versions were published when, as the publisher saw it."""

import time


class Published:
    """The times of the publications."""

    def __init__(self) -> None:
        self._times: list[tuple[float, int]] = []

    def note(self, version: int) -> None:
        """Record a version that was accepted now."""
        self._times.append((time.monotonic(), version))

    def newest(self, seconds_ago: float) -> int:
        """Return the newest version as of some time ago."""
        limit = time.monotonic() - seconds_ago
        return max((v for t, v in self._times if t <= limit), default=0)
