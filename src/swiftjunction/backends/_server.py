"""State of a backend server as seen by one process."""

import collections.abc
import contextlib
import time

from swiftjunction.backends import _health
from swiftjunction.backends import _lateness
from swiftjunction.backends import _leaving
from swiftjunction.backends import _limit
from swiftjunction.backends import _rates
from swiftjunction.backends import _report

LATENCY_SMOOTHING_FACTOR = 0.2
# A latency decays unless it is measured again, so a server that was slow is
# eventually tried again.
LATENCY_HALF_LIFE_SECONDS = 5.0
LOAD_HALF_LIFE_SECONDS = 2.0


class BackendServer:
    """What this process knows of a backend server.

    It combines the reports on the server with the outcomes of the requests
    that this process sent to it.

    Parameters
    ----------
    report : _report.ServerReport
        The first report.
    clock : callable
        Returns monotonic time in seconds.
    on_release : callable, optional
        Called when a request to the server has ended.
    latency_tolerance : float
        The latency tolerance of its concurrency limit.
    loop_lag : LoopLag
        The lag of this process's event loop.
    leaving_servers : LeavingServers
        The instances that announced that they are leaving.
    rates : ServerRates
        The request limits that instances named.

    Attributes
    ----------
    report : _report.ServerReport
        The newest report.
    health : Health
        Its failures, ejection and slow start.
    limit : ConcurrencyLimit
        The limit of the requests of this process.
    in_flight : int
        The number of requests of this process in flight.
    weight_version : int
        The version that it last reported, or a later one that a response
        showed.
    leaving : bool
        Whether it accepts no new requests, because it was removed or its
        address belongs to another server.
    listed : bool
        Whether the directory still has this server.
    reserved : bool
        Whether it is reserved for an isolated request, which shares its
        server with no other request of this process.
    """

    __slots__ = (
        '_clock',
        '_latency_at',
        '_latency_seconds',
        '_leaving_servers',
        '_load',
        '_load_at',
        '_loop_lag',
        '_on_release',
        '_rates',
        '_timers',
        'health',
        'in_flight',
        'leaving',
        'limit',
        'listed',
        'report',
        'reserved',
        'weight_version',
    )

    def __init__(
        self,
        report: _report.ServerReport,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        on_release: collections.abc.Callable[[], None] | None = None,
        latency_tolerance: float = _limit.LIVE_LATENCY_TOLERANCE,
        loop_lag: _lateness.LoopLag | None = None,
        leaving_servers: _leaving.LeavingServers | None = None,
        rates: _rates.ServerRates | None = None,
    ) -> None:
        self.report = report
        self.health = _health.Health(clock)
        self.limit = _limit.ConcurrencyLimit(latency_tolerance)
        self.in_flight = 0
        self.weight_version = report.weight_version
        self.leaving = False
        self.listed = True
        self.reserved = False
        self._leaving_servers = (
            _leaving.LeavingServers(clock)
            if leaving_servers is None
            else leaving_servers
        )
        self._rates = _rates.ServerRates(clock) if rates is None else rates
        self._clock = clock
        self._on_release = on_release
        self._loop_lag = loop_lag or _lateness.LoopLag()
        self._load = 0.0
        self._load_at = clock()
        self._latency_seconds = 0.0
        self._latency_at = clock()
        # In the order of their start: the first one is the oldest.
        self._timers: dict[LatencyTimer, None] = {}

    @property
    def name(self) -> str:
        """Return the name of the server."""
        return self.report.name

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""
        return self.report.address

    @property
    def run(self) -> tuple[str, int]:
        """Return what identifies this run of the server."""
        return self.report.name, self.report.born_ms

    @property
    def software(self) -> str:
        """Return the version of its software; empty if not known."""
        return self.report.software

    @property
    def load(self) -> float:
        """Return the load that the last response reported.

        A load of 1 means at capacity. The load in `report` is not taken into
        account.
        """
        return self._load

    @load.setter
    def load(self, load: float) -> None:
        self._load = load
        self._load_at = self._clock()

    @property
    def decayed_load(self) -> float:
        """Return `load`, decayed by the time since the response."""
        age_seconds = self._clock() - self._load_at
        return self._load * 0.5 ** (age_seconds / LOAD_HALF_LIFE_SECONDS)

    @property
    def latency_seconds(self) -> float:
        """Return the average latency, decayed by its age.

        If the oldest pending request has waited for longer, its wait is
        returned, as a server that hangs gives no responses to measure.
        """
        now = self._clock()
        age_seconds = now - self._latency_at
        mean_seconds = self._latency_seconds * 0.5 ** (
            age_seconds / LATENCY_HALF_LIFE_SECONDS
        )
        for timer in self._timers:
            return max(mean_seconds, now - timer.started_at)
        return mean_seconds

    def accepts_requests(self) -> bool:
        """Return whether its report and responses show that it is live.

        The request that it is reserved for may still be sent to it.
        """
        return (
            self.report.state == 'live'
            and not self.leaving
            and not self._leaving_servers.contains(self.report)
        )

    def is_live(self) -> bool:
        """Return whether new requests may be routed to the server.

        They may not if its report or a response shows that it accepts none,
        or if this process has reserved it. An ejected server is still live.
        """
        return self.accepts_requests() and not self.reserved

    def is_available(self) -> bool:
        """Return whether the server is live and not ejected."""
        return self.is_live() and not self.health.ejected_seconds

    @property
    def max_in_flight(self) -> int:
        """Return how many requests this process may have in flight.

        That is its concurrency limit, but not more than the server runs
        concurrently: one that waits at the server cannot move to another
        server that becomes free first.
        """
        limit = self.limit.requests
        return min(limit, self.report.slots) if self.report.slots else limit

    def has_capacity(self) -> bool:
        """Return whether one more request may be sent to the server."""
        return self.in_flight < self.max_in_flight

    def update_report(self, report: _report.ServerReport) -> None:
        """Replace the report; begin a slow start if it is live again."""
        if report.state == 'live' and self.report.state != 'live':
            self.leaving = False
            self.health.begin_slow_start()
        self.report = report
        # The version may also decrease, for example if the engine restarted
        # with older weights.
        self.weight_version = report.weight_version

    def record_version(self, version: int) -> None:
        """Raise the version to one that a response showed.

        Responses are usually more recent than reports.
        """
        self.weight_version = max(self.weight_version, version)

    def is_rate_limited(self) -> bool:
        """Return whether each request needs a permit."""
        return self._rates.get(self.run) != _rates.UNLIMITED

    def get_blocked_seconds(self) -> float:
        """Return for how long no permit is to be had; 0 if one may be."""
        return self._rates.get_blocked_seconds(self.run)

    def read_rate_clock(self) -> float:
        """Return the time at which a request is sent, for its response."""
        return self._rates.now()

    def record_rate_limit(
        self, requests_per_second: float, sent_at: float
    ) -> None:
        """Record the request limit that a response named.

        Parameters
        ----------
        requests_per_second : float
            Infinity if the response named none.
        sent_at : float
            What :meth:`read_rate_clock` returned before the request.
        """
        self._rates.record(self.report, requests_per_second, sent_at)

    def start_latency_timer(self) -> 'LatencyTimer':
        """Start to measure the time to a response or to its first chunk."""
        timer = LatencyTimer(self, self._clock())
        self._timers[timer] = None
        return timer

    def stop_latency_timer(self, timer: 'LatencyTimer') -> None:
        """Record the elapsed time, also if the request failed."""
        del self._timers[timer]
        self.record_latency(self._clock() - timer.started_at)

    def record_latency(self, seconds: float) -> None:
        """Record a measured latency.

        It is the time to a response, to its first chunk or to the failure of
        the request, or the time between two events of a stream.
        """
        self.limit.record_latency(
            seconds,
            self.in_flight,
            self._clock(),
            self._loop_lag.distorts(seconds),
        )
        mean_seconds = self._latency_seconds
        self._latency_seconds = (
            mean_seconds + LATENCY_SMOOTHING_FACTOR * (seconds - mean_seconds)
            if mean_seconds
            else seconds
        )
        self._latency_at = self._clock()

    def record_success(self) -> None:
        """Record a complete response."""
        self.health.record_success()

    def record_failure(self) -> None:
        """Record a failure: ejects the server and lowers its limit."""
        self.health.record_failure()
        self.limit.record_failure()

    def clear_failures(self) -> None:
        """End an ejection, as the path to the server has failed, not it."""
        self.health.clear_failures()

    def mark_leaving(self) -> None:
        """Mark the server as no longer accepting new requests."""
        self.leaving = True

    def record_leaving(self, request_id: str, source: str) -> None:
        """Record that a response announced that the server is leaving.

        Unlike :meth:`mark_leaving`, this holds for the instance of the server,
        whatever is reported of it from now on.

        Parameters
        ----------
        request_id : str
            The id of the request; empty if it has none.
        source : str
            The kind of the request.
        """
        self._leaving_servers.record(
            self.report, request_id, source, self.listed
        )

    @contextlib.contextmanager
    def reserve(self) -> collections.abc.Iterator[None]:
        """Route no other request of this process to the server."""
        self.reserved = True
        try:
            yield
        finally:
            self.reserved = False

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Count a request as in flight within the context."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            if self._on_release is not None:
                self._on_release()


class LatencyTimer:
    """Measures the time from a request to its response or first chunk.

    Attributes
    ----------
    started_at : float
        The start time in seconds, on the clock of the server.
    """

    __slots__ = ('_server', 'started_at')

    def __init__(self, server: BackendServer, started_at: float) -> None:
        self._server: BackendServer | None = server
        self.started_at = started_at

    def stop(self) -> None:
        """Stop the timer; further calls have no effect."""
        if self._server is not None:
            self._server.stop_latency_timer(self)
            self._server = None
