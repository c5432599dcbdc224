"""What the process that runs batches knows of each engine."""

import collections.abc
import contextlib
import statistics

from swiftjunction import backends

# An engine that refused is left alone for so long, twice as long each time
# in a row.
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
# A load that is not seen to end within this time may have been lost.
LOAD_TIMEOUT_SECONDS = 4.0
# Slower than the median by this factor, an engine gets work last.
SLOW_FACTOR = 1.7

Clock = collections.abc.Callable[[], float]


class EngineState:
    """One engine, from its start to its end.

    Attributes
    ----------
    orders : int
        How many orders it has accepted; -1 where that is not known.
    expected_tokens : float
        Of the samples that run there.
    """

    __slots__ = (
        '_clock',
        '_failures',
        '_learnt',
        '_loading',
        '_paused_until',
        'expected_tokens',
        'orders',
        'server',
    )

    def __init__(self, server: backends.BackendServer, clock: Clock) -> None:
        self.server = server
        self.orders = -1
        self.expected_tokens = 0.0
        self._clock = clock
        self._failures = 0
        self._paused_until = 0.0
        self._learnt: dict[str, int] = {}
        self._loading: dict[str, float] = {}

    def version(self, model: str) -> int:
        """Return the newest version known of a model; 0 for none.

        An engine only moves forward, so that an old report errs on the safe
        side.
        """
        reported = self.server.report.model_versions.get(model, 0)
        return max(reported, self._learnt.get(model, 0))

    def learn_version(self, model: str, version: int) -> None:
        """Take note of what an answer or a report of the engine said."""
        if version > self._learnt.get(model, 0):
            self._learnt[model] = version

    def note_order(self, model: str) -> None:
        """Take note that a load of `model` may have begun."""
        self._loading[model] = self._clock() + LOAD_TIMEOUT_SECONDS

    def note_loaded(self, model: str) -> None:
        """Take note that no load of `model` is going on."""
        self._loading.pop(model, None)

    def is_loading(self, model: str) -> bool:
        """Tell whether a load of `model` may be going on."""
        return self._loading.get(model, 0.0) > self._clock()

    def count_loads(self) -> int:
        """Return how many loads may be going on."""
        now = self._clock()
        return sum(1 for until in self._loading.values() if until > now)

    def note_refusal(self) -> None:
        """Leave the engine alone for a moment."""
        self._failures += 1
        pause_seconds = min(
            FIRST_PAUSE_SECONDS * 2 ** (self._failures - 1), MAX_PAUSE_SECONDS
        )
        self._paused_until = self._clock() + pause_seconds

    def note_success(self) -> None:
        """Take note that the engine works."""
        self._failures = 0
        self._paused_until = 0.0

    def may_run(self, model: str, min_version: int) -> bool:
        """Tell whether it may get a sample now."""
        return (
            self.server.is_live()
            and self._paused_until <= self._clock()
            and not self.is_loading(model)
            and self.version(model) >= min_version
            and self.server.in_flight < self.slots
        )

    @contextlib.contextmanager
    def hold_place(self, tokens: float) -> collections.abc.Iterator[None]:
        """Count a sample of so many expected tokens during the body."""
        self.expected_tokens += tokens
        try:
            with self.server.track():
                yield
        finally:
            self.expected_tokens -= tokens

    @property
    def slots(self) -> int:
        """Return how many samples it runs at once."""
        return self.server.report.slots or 1


class EngineRegistry:
    """The states of all engines of a service.

    Parameters
    ----------
    directory : Directory
        The servers that are known.
    clock : callable
        Returns seconds of a monotonic clock.
    """

    __slots__ = ('_clock', '_directory', '_states')

    def __init__(self, directory: backends.Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._states: dict[str, EngineState] = {}

    def list_engines(self, service: str) -> list[EngineState]:
        """Return the engines of a service, by name."""
        servers = sorted(self._directory.select(service), key=lambda s: s.name)
        return [self.get(server) for server in servers]

    def get(self, server: backends.BackendServer) -> EngineState:
        """Return the state of an engine; a new one after its restart."""
        state = self._states.get(server.name)
        if state is None or state.server is not server:
            state = EngineState(server, self._clock)
            self._states[server.name] = state
        return state

    def forget_gone(self) -> None:
        """Drop the states of engines that are gone."""
        for name in list(self._states):
            if self._directory.get(name) is None:
                del self._states[name]


def find_slow(engines: list[EngineState]) -> set[str]:
    """Return the names of engines that are much slower than most."""
    known = {
        engine.server.name: engine.server.latency_seconds
        for engine in engines
        if engine.server.latency_seconds
    }
    if len(known) < 2:
        return set()
    usual_seconds = statistics.median_low(known.values())
    return {
        name
        for name, seconds in known.items()
        if seconds > usual_seconds * SLOW_FACTOR
    }
