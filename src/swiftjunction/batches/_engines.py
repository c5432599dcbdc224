"""Tracks the state of each engine in the process that runs batches."""

import collections.abc
import contextlib
import statistics

from swiftjunction import backends

# Backoff after a failure of an engine, doubled with each consecutive one.
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
# If an engine does not report the ordered version within this time, the order
# may have been lost.
LOAD_TIMEOUT_SECONDS = 4.0
# An engine whose latency exceeds the median by this factor is slow and gets
# samples last.
SLOW_FACTOR = 1.7
# Samples leave an engine that has been slow for this long. A shorter pause
# costs them less than another connection, and prompts processed again.
MIN_SLOW_SECONDS = 0.7

Clock = collections.abc.Callable[[], float]


class EngineState:
    """The state of one engine from its start until it stops or restarts.

    Attributes
    ----------
    orders : int
        Number of orders that it has accepted; -1 if unknown.
    expected_tokens : float
        Sum of the expected tokens of the samples that it generates.
    refused_token : int
        The highest fencing token that it has refused as too low; -1 if none.
    update_delay_seconds : float
        How long its last update of a weight version was put off after an
        unexpected error; 0 if it had none.
    awaiting_permit : str
        The sample that waits for a permit, as the engine named a limit; empty
        if none does. Another one is sent when this one has got it.
    """

    __slots__ = (
        '_clock',
        '_load_deadlines',
        '_observed_versions',
        '_backoff_ends_at',
        '_backoff_seconds',
        'awaiting_permit',
        'expected_tokens',
        'orders',
        'refused_token',
        'server',
        'update_delay_seconds',
    )

    def __init__(self, server: backends.BackendServer, clock: Clock) -> None:
        self.server = server
        self.orders = -1
        self.expected_tokens = 0.0
        self.awaiting_permit = ''
        self.refused_token = -1
        self.update_delay_seconds = 0.0
        self._clock = clock
        self._backoff_seconds = 0.0
        self._backoff_ends_at = 0.0
        self._observed_versions: dict[str, int] = {}
        self._load_deadlines: dict[str, float] = {}

    def get_version(self, model: str) -> int:
        """Return the newest known version of a model; 0 for none.

        Versions on an engine never decrease, so an outdated report can only
        give too low a version, which is safe.
        """
        reported = self.server.report.model_versions.get(model, 0)
        return max(reported, self._observed_versions.get(model, 0))

    def record_version(self, model: str, version: int) -> None:
        """Record a version that an event or a report of the engine named."""
        if version > self._observed_versions.get(model, 0):
            self._observed_versions[model] = version

    def mark_loading(self, model: str) -> None:
        """Record that the engine may be loading a version of `model`."""
        self._load_deadlines[model] = self._clock() + LOAD_TIMEOUT_SECONDS

    def clear_loading(self, model: str) -> None:
        """Record that the engine is not loading a version of `model`."""
        self._load_deadlines.pop(model, None)

    def is_loading(self, model: str) -> bool:
        """Return whether the engine may be loading a version of `model`."""
        return self._load_deadlines.get(model, 0.0) > self._clock()

    def count_loads(self) -> int:
        """Return the number of models whose weights it may be loading."""
        now = self._clock()
        return sum(
            1 for deadline in self._load_deadlines.values() if deadline > now
        )

    def record_failure(self) -> None:
        """Send the engine no new samples until its backoff ends."""
        self._backoff_seconds = min(
            max(self._backoff_seconds * 2, MIN_BACKOFF_SECONDS),
            MAX_BACKOFF_SECONDS,
        )
        self._backoff_ends_at = self._clock() + self._backoff_seconds

    def record_success(self) -> None:
        """Reset the backoff."""
        self._backoff_seconds = 0.0
        self._backoff_ends_at = 0.0

    def can_run(self, model: str, min_version: int) -> bool:
        """Return whether the engine may be sent a sample of `model` now."""
        return (
            self.server.is_live()
            and not self.awaiting_permit
            and not self.server.get_blocked_seconds()
            and self._backoff_ends_at <= self._clock()
            and not self.is_loading(model)
            and self.get_version(model) >= min_version
            and self.server.in_flight < self.slots
        )

    @contextlib.contextmanager
    def reserve_slot(self, tokens: float) -> collections.abc.Iterator[None]:
        """Occupy a slot with a sample of `tokens` expected tokens."""
        self.expected_tokens += tokens
        try:
            with self.server.track():
                yield
        finally:
            self.expected_tokens -= tokens

    def end_permit_wait(self, sample_id: str) -> None:
        """Let another sample wait for a permit, if this one did."""
        if self.awaiting_permit == sample_id:
            self.awaiting_permit = ''

    @property
    def slots(self) -> int:
        """Return the number of samples that it can generate concurrently."""
        return self.server.report.slots or 1


class EngineRegistry:
    """Holds the states of all known engines.

    Parameters
    ----------
    directory : Directory
        Lists the known backend servers.
    clock : callable
        Returns the time of a monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_directory', '_states')

    def __init__(self, directory: backends.Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._states: dict[str, EngineState] = {}

    def list_engines(self, service: str) -> list[EngineState]:
        """Return the engines of a service, sorted by name."""
        servers = sorted(self._directory.select(service), key=lambda s: s.name)
        return [self.get(server) for server in servers]

    def get(self, server: backends.BackendServer) -> EngineState:
        """Return the state of an engine; after its restart, a new state."""
        state = self._states.get(server.name)
        if state is None or state.server is not server:
            state = EngineState(server, self._clock)
            self._states[server.name] = state
        return state

    def remove_departed(self) -> None:
        """Remove the states of engines that left the directory."""
        for name in list(self._states):
            if self._directory.get(name) is None:
                del self._states[name]


def find_slow_engines(engines: list[EngineState]) -> set[str]:
    """Return the names of engines much slower than the median."""
    latencies = {
        engine.server.name: engine.server.latency_seconds
        for engine in engines
        if engine.server.latency_seconds
    }
    if len(latencies) < 2:
        return set()
    median_seconds = statistics.median_low(latencies.values())
    return {
        name
        for name, seconds in latencies.items()
        if seconds > median_seconds * SLOW_FACTOR
    }


def find_withdrawn_software(engines: list[EngineState]) -> set[str]:
    """Return the software versions of which an engine is leaving."""
    return {
        engine.server.software
        for engine in engines
        if not engine.server.accepts_requests()
    }


class SlowEngines:
    """Tells which engines have been slow for some time."""

    __slots__ = ('_slow_since',)

    def __init__(self) -> None:
        self._slow_since: dict[str, float] = {}

    def update(self, engines: list[EngineState], now: float) -> set[str]:
        """Return the engines that have been slow for `MIN_SLOW_SECONDS`.

        Parameters
        ----------
        engines : list of EngineState
            All engines of a service.
        now : float
            Time of a monotonic clock in seconds.
        """
        slow = find_slow_engines(engines)
        for engine in engines:
            name = engine.server.name
            if name in slow:
                self._slow_since.setdefault(name, now)
            else:
                self._slow_since.pop(name, None)
        return {
            name
            for name in slow
            if now - self._slow_since[name] >= MIN_SLOW_SECONDS
        }
