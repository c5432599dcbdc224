"""Whether a backend server works, as one process of ours sees it."""

import collections.abc

EJECTION_SECONDS = 3.0
MAX_EJECTION_FACTOR = 8
SLOW_START_SECONDS = 10.0
# A server that just came back gets at least this part of its usual share, so
# that its first answers can show whether it works.
MIN_SLOW_START_SHARE = 0.1


class Health:
    """Ejects a server after a failure and brings it back slowly.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    __slots__ = ('_clock', '_ejected_until', '_started_at', 'failures')

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._ejected_until = 0.0
        self._started_at = clock()
        self.failures = 0

    @property
    def ejected_seconds(self) -> float:
        """Return how long the ejection still lasts; 0 if there is none."""
        return max(self._ejected_until - self._clock(), 0.0)

    def record_start(self) -> None:
        """Learn that the server is new, or live again."""
        self._started_at = self._clock()

    def record_success(self) -> None:
        """Learn of a whole answer.

        It ends an ejection too: a request gets to an ejected server when too
        many are ejected at once, and its answer shows that the server works.
        """
        self.failures = 0
        self._ejected_until = 0.0

    def record_failure(self) -> None:
        """Eject the server, for longer each time in a row.

        The failures of requests that were there together count as one.
        """
        if self.ejected_seconds:
            return
        self.failures += 1
        factor = min(2 ** (self.failures - 1), MAX_EJECTION_FACTOR)
        self._ejected_until = self._clock() + EJECTION_SECONDS * factor
        self._started_at = self._ejected_until

    def compute_share(self) -> float:
        """Return the part of its usual load that the server may get now."""
        age_seconds = max(self._clock() - self._started_at, 0.0)
        return min(
            max(age_seconds / SLOW_START_SECONDS, MIN_SLOW_START_SHARE), 1.0
        )
