"""How many engines fetch weights from the weight store at once."""

FIRST_LIMIT = 2.0
MIN_LIMIT = 1.0
MAX_LIMIT = 16.0
# A fetch that takes so many times the quickest one waits for the store's rate.
SLOW_FACTOR = 3.0
FIRST_TIMEOUT_SECONDS = 30.0
MIN_TIMEOUT_SECONDS = 5.0
TIMEOUT_FACTOR = 4.0


class StagingWindow:
    """Bounds the fetches under way by what the weight store can bear.

    The store's rate is not known here and other shards use it as well, so
    the window grows while fetches are quick and is halved when they are not.
    """

    __slots__ = ('_limit', '_quickest', '_slowest', '_started')

    def __init__(self) -> None:
        self._limit = FIRST_LIMIT
        self._started: dict[str, float] = {}
        self._quickest = 0.0
        self._slowest = 0.0

    @property
    def limit(self) -> int:
        """Return how many may fetch at once."""
        return int(self._limit)

    @property
    def timeout_seconds(self) -> float:
        """Return how long a fetch may take before it is ordered again."""
        if not self._slowest:
            return FIRST_TIMEOUT_SECONDS
        return max(TIMEOUT_FACTOR * self._slowest, MIN_TIMEOUT_SECONDS)

    def admit(self, name: str, now: float) -> bool:
        """Tell whether engine `name` may begin now, and note that it does."""
        if name in self._started or len(self._started) >= self.limit:
            return False
        self._started[name] = now
        return True

    def note_staged(self, name: str, now: float) -> None:
        """Learn that an engine has its files."""
        started = self._started.pop(name, None)
        if started is None:
            return
        seconds = max(now - started, 0.001)
        self._quickest = min(self._quickest or seconds, seconds)
        self._slowest = max(self._slowest, seconds)
        if seconds > SLOW_FACTOR * self._quickest:
            self._shrink()
        else:
            self._limit = min(self._limit + 1 / self._limit, MAX_LIMIT)

    def note_failed(self, name: str) -> None:
        """Learn that an engine could not be told to fetch."""
        self._started.pop(name, None)

    def expire(self, now: float) -> list[str]:
        """Return the engines whose fetch took too long; they may go again."""
        timeout_seconds = self.timeout_seconds
        late = [
            name
            for name, started in self._started.items()
            if now - started > timeout_seconds
        ]
        for name in late:
            del self._started[name]
        if late:
            self._shrink()
        return late

    def keep(self, names: set[str]) -> None:
        """Forget the engines that are not among `names`."""
        for name in set(self._started) - names:
            del self._started[name]

    def _shrink(self) -> None:
        self._limit = max(self._limit / 2, MIN_LIMIT)
