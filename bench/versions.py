"""Weight versions and the times at which they were published."""

import time


class PublicationLog:
    """The publications of a run, as the publisher saw them.

    It is independent of the deployment, whose freshness is checked against it.
    """

    def __init__(self) -> None:
        self._publications: list[tuple[float, int]] = []

    def record(self, version: int) -> None:
        """Record that a version has been accepted now."""
        self._publications.append((time.monotonic(), version))

    def find_newest(self, seconds_ago: float) -> int:
        """Return the version that was newest `seconds_ago`, or 0 for none."""
        published_before = time.monotonic() - seconds_ago
        return max(
            (v for t, v in self._publications if t <= published_before),
            default=0,
        )
