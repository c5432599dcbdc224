"""Adaptive limit on concurrent fetches from the weight store."""

INITIAL_CONCURRENT_FETCHES = 2.0
MIN_CONCURRENT_FETCHES = 1.0
MAX_CONCURRENT_FETCHES = 16.0
# A fetch this many times slower than the fastest one so far indicates that the
# store is saturated.
SLOW_FACTOR = 3.0
INITIAL_TIMEOUT_SECONDS = 30.0
MIN_TIMEOUT_SECONDS = 5.0
TIMEOUT_FACTOR = 4.0


class StagingLimiter:
    """Limits how many engines fetch weights at the same time to stage them.

    The bandwidth of the weight store is unknown and shared with other shards.
    The limit therefore increases additively while fetches are fast and is
    halved when a fetch is slow or times out.
    """

    __slots__ = (
        '_fastest_seconds',
        '_limit',
        '_slowest_seconds',
        '_started_at',
    )

    def __init__(self) -> None:
        self._limit = INITIAL_CONCURRENT_FETCHES
        self._started_at: dict[str, float] = {}
        self._fastest_seconds = 0.0
        self._slowest_seconds = 0.0

    @property
    def limit(self) -> int:
        """Return how many engines may fetch at the same time."""
        return int(self._limit)

    @property
    def timeout_seconds(self) -> float:
        """Return how long a fetch may take before it is retried."""
        if not self._slowest_seconds:
            return INITIAL_TIMEOUT_SECONDS
        return max(TIMEOUT_FACTOR * self._slowest_seconds, MIN_TIMEOUT_SECONDS)

    def try_start(self, name: str, now: float) -> bool:
        """Count a fetch by engine `name` as started if the limit allows it.

        Returns
        -------
        bool
            Whether the engine may start the fetch; False if it has started
            one already.
        """
        if name in self._started_at or len(self._started_at) >= self.limit:
            return False
        self._started_at[name] = now
        return True

    def record_staged(self, name: str, now: float) -> None:
        """End the fetch of an engine and adapt the limit to its duration."""
        started_at = self._started_at.pop(name, None)
        if started_at is None:
            return
        seconds = max(now - started_at, 0.001)
        self._fastest_seconds = min(self._fastest_seconds or seconds, seconds)
        self._slowest_seconds = max(self._slowest_seconds, seconds)
        if seconds > SLOW_FACTOR * self._fastest_seconds:
            self._halve_limit()
        else:
            self._limit = min(
                self._limit + 1 / self._limit, MAX_CONCURRENT_FETCHES
            )

    def record_failure(self, name: str) -> None:
        """Remove the fetch of an engine whose order failed."""
        self._started_at.pop(name, None)

    def expire(self, now: float) -> list[str]:
        """Remove fetches that timed out and return their engines."""
        timeout_seconds = self.timeout_seconds
        timed_out = [
            name
            for name, started_at in self._started_at.items()
            if now - started_at > timeout_seconds
        ]
        for name in timed_out:
            del self._started_at[name]
        if timed_out:
            self._halve_limit()
        return timed_out

    def retain(self, names: set[str]) -> None:
        """Remove the fetches of engines that are not in `names`."""
        for name in set(self._started_at) - names:
            del self._started_at[name]

    def _halve_limit(self) -> None:
        self._limit = max(self._limit / 2, MIN_CONCURRENT_FETCHES)
