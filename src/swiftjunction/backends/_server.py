"""One backend server as one process of ours sees it."""

import collections.abc
import contextlib
import time

import msgspec

from swiftjunction.backends import _health
from swiftjunction.backends import _limit
from swiftjunction.backends import _loop_lag

LATENCY_WEIGHT = 0.2
# How fast a latency that is not renewed loses its meaning. A server that was
# slow is so tried again in time.
LATENCY_HALF_LIFE_SECONDS = 5.0
LOAD_HALF_LIFE_SECONDS = 2.0


class ServerReport(msgspec.Struct, frozen=True):
    """What the conductor that watches a backend server says of it.

    Attributes
    ----------
    service : str
        The model or the plain service that it serves.
    state : str
        ``live``, ``leaving`` or ``gone``.
    weight_version : int
        The version that an engine last said was active; 0 if not known.
    staged_version : int
        The newest version that an engine said it could activate at once.
    load : float
        Of an engine, smoothed and rounded; 1 where its batch is full.
    listed_service : str
        What the VM list says that it serves.
    model_versions : dict of str to int
        Of an engine with several models, the version of each.
    slots : int
        How many requests it runs at once; 0 where that is not known.
    born_ms : int
        When it started, in Unix milliseconds; 0 where that is not known. A
        server with the same name and another start knows nothing of before.
    """

    name: str
    address: str
    service: str
    data_center: str
    region: str = ''
    state: str = 'live'
    weight_version: int = 0
    staged_version: int = 0
    load: float = 0.0
    listed_service: str = ''
    model_versions: dict[str, int] = {}
    slots: int = 0
    born_ms: int = 0


class BackendServer:
    """A backend server: the shared report and what was seen here.

    Parameters
    ----------
    report : ServerReport
        The first report.
    clock : callable
        Returns seconds.
    on_release : callable, optional
        Called when a request has left the server.
    latency_tolerance : float
        Of its concurrency limit.
    loop_lag : LoopLag
        Of this process's event loop.

    Attributes
    ----------
    report : ServerReport
        The newest report.
    health : Health
        Its failures and how it comes back from them.
    limit : ConcurrencyLimit
        How many requests of this process it may have.
    in_flight : int
        Requests that this process has on it now.
    reserved : bool
        Whether a request that must run alone has it.
    """

    __slots__ = (
        '_clock',
        '_loop_lag',
        '_latency_at',
        '_latency_seconds',
        '_load',
        '_load_at',
        '_on_release',
        '_timers',
        'health',
        'in_flight',
        'left',
        'limit',
        'report',
        'reserved',
        'weight_version',
    )

    def __init__(
        self,
        report: ServerReport,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        on_release: collections.abc.Callable[[], None] | None = None,
        latency_tolerance: float = _limit.LIVE_LATENCY_TOLERANCE,
        loop_lag: _loop_lag.LoopLag | None = None,
    ) -> None:
        self.report = report
        self.health = _health.Health(clock)
        self.limit = _limit.ConcurrencyLimit(latency_tolerance)
        self.in_flight = 0
        self.weight_version = report.weight_version
        self.left = False
        self.reserved = False
        self._clock = clock
        self._on_release = on_release
        self._loop_lag = loop_lag or _loop_lag.LoopLag()
        self._load = 0.0
        self._load_at = clock()
        self._latency_seconds = 0.0
        self._latency_at = clock()
        # In the order in which they began: the first one is the oldest.
        self._timers: dict[LatencyTimer, None] = {}

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.report.name

    @property
    def address(self) -> str:
        """Return its ``ip:port``."""
        return self.report.address

    @property
    def load(self) -> float:
        """Return the load it last reported, from 0 to 1 and above."""
        return self._load

    @load.setter
    def load(self, load: float) -> None:
        self._load = load
        self._load_at = self._clock()

    @property
    def recent_load(self) -> float:
        """Return the reported load, less the older the report is."""
        age_seconds = self._clock() - self._load_at
        return self._load * 0.5 ** (age_seconds / LOAD_HALF_LIFE_SECONDS)

    @property
    def latency_seconds(self) -> float:
        """Return the mean latency of late, less the older it is.

        A request that has waited for longer than that counts too: a server
        that hangs gives no answers to learn from.
        """
        now = self._clock()
        age_seconds = now - self._latency_at
        mean_seconds = self._latency_seconds * 0.5 ** (
            age_seconds / LATENCY_HALF_LIFE_SECONDS
        )
        for timer in self._timers:
            return max(mean_seconds, now - timer.started_at)
        return mean_seconds

    def is_live(self) -> bool:
        """Tell whether it takes new work, as far as is known."""
        return (
            self.report.state == 'live' and not self.left and not self.reserved
        )

    def is_available(self) -> bool:
        """Tell whether it may get new work now."""
        return self.is_live() and not self.health.ejected_seconds

    def has_capacity(self) -> bool:
        """Tell whether its concurrency limit lets one more request in."""
        return self.in_flight < self.limit.requests

    def update_report(self, report: ServerReport) -> None:
        """Replace the report; a server that is live again starts slowly."""
        if report.state == 'live' and self.report.state != 'live':
            self.left = False
            self.health.record_start()
        self.report = report
        # The report is what the engine says now; an engine that restarted
        # with older weights must not keep the version of its earlier run.
        self.weight_version = report.weight_version

    def record_version(self, version: int) -> None:
        """Learn the version from an answer, which is newer than a report."""
        self.weight_version = max(self.weight_version, version)

    def start_latency_timer(self) -> 'LatencyTimer':
        """Begin to wait for an answer, or for its first chunk."""
        timer = LatencyTimer(self, self._clock())
        self._timers[timer] = None
        return timer

    def stop_latency_timer(self, timer: 'LatencyTimer') -> None:
        """Learn how long it took, also where no answer came."""
        del self._timers[timer]
        self.record_latency(self._clock() - timer.started_at)

    def record_latency(self, seconds: float) -> None:
        """Learn how long an answer, or its first chunk, took."""
        self.limit.record_latency(
            seconds,
            self.in_flight,
            self._clock(),
            self._loop_lag.distorts(seconds),
        )
        held = self._latency_seconds
        self._latency_seconds = (
            held + LATENCY_WEIGHT * (seconds - held) if held else seconds
        )
        self._latency_at = self._clock()

    def record_success(self) -> None:
        """Learn that an answer was whole."""
        self.health.record_success()

    def record_failure(self) -> None:
        """Learn of a failure: no new work for a while, longer each time."""
        self.health.record_failure()
        self.limit.record_failure()

    def mark_leaving(self) -> None:
        """Learn from the server itself that it takes no new work."""
        self.left = True

    @contextlib.contextmanager
    def reserve(self) -> collections.abc.Iterator[None]:
        """Give the server no other request of this process in the body."""
        self.reserved = True
        try:
            yield
        finally:
            self.reserved = False

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Count a request as in flight during the body."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            if self._on_release is not None:
                self._on_release()


class LatencyTimer:
    """One request's wait for the first that a server answers.

    Attributes
    ----------
    started_at : float
        On the server's clock, in seconds.
    """

    __slots__ = ('_server', 'started_at')

    def __init__(self, server: BackendServer, started_at: float) -> None:
        self._server: BackendServer | None = server
        self.started_at = started_at

    def stop(self) -> None:
        """End it; a second time has no effect."""
        if self._server is not None:
            self._server.stop_latency_timer(self)
            self._server = None
