"""Directory of the known backend servers by service."""

import collections.abc
import time


from swiftjunction.backends import _lateness
from swiftjunction.backends import _leaving
from swiftjunction.backends import _limit
from swiftjunction.backends import _rates
from swiftjunction.backends import _report
from swiftjunction.backends import _server
from swiftjunction import decoding
from swiftjunction import links
from swiftjunction import membership

SERVER_PREFIX = 'server/'

Listener = collections.abc.Callable[[str], None]
EndListener = collections.abc.Callable[[_report.ServerReport], None]


class Directory:
    """The known backend servers, updated from the replicated records.

    Parameters
    ----------
    table : RecordTable
        The table of replicated records of this process.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    loop_lag : LoopLag
        The lag of the event loop; its ``run`` must run in a task.
    leaving_servers : LeavingServers
        The instances that announced that they are leaving.
    rates : ServerRates
        The request limits that servers named.
    latency_tolerance : float
        The ratio of mean latency to baseline above which a server's
        concurrency limit falls. A change applies to servers added later.
    """

    __slots__ = (
        '_by_service',
        '_clock',
        '_end_listeners',
        '_gone_listeners',
        '_listeners',
        '_servers',
        'latency_tolerance',
        'leaving_servers',
        'loop_lag',
        'rates',
    )

    def __init__(
        self,
        table: membership.RecordTable,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self.loop_lag = _lateness.LoopLag()
        self.leaving_servers = _leaving.LeavingServers(clock)
        self.rates = _rates.ServerRates(clock)
        self.latency_tolerance = _limit.LIVE_LATENCY_TOLERANCE
        self._listeners: list[Listener] = []
        self._end_listeners: list[EndListener] = []
        self._gone_listeners: list[EndListener] = []
        self._servers: dict[str, _server.BackendServer] = {}
        self._by_service: dict[str, dict[str, _server.BackendServer]] = {}
        # Requests that wait for the server need not wait any longer.
        self.leaving_servers.listen(
            lambda report, _: self._notify(report.service)
        )
        table.listen(SERVER_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        report = decoding.decode_msgpack(record.value, _report.ServerReport)
        self.update(report)

    def update(self, report: _report.ServerReport) -> None:
        """Add, update or remove a server according to its newest report."""
        if report.state == 'gone':
            self.remove(report.name)
            return
        server = self._servers.get(report.name)
        if server is not None and server.report.service != report.service:
            self._by_service[server.report.service].pop(report.name, None)
        self.leaving_servers.update_listed(report)
        if server is None or _is_restart(server.report, report):
            if server is not None:
                server.listed = False
                # What waits for the former run must not reach this one.
                server.mark_leaving()
                self._notify_end(server)
                self._notify_gone(server)
            server = self._add(report)
        elif server.report.address != report.address:
            self._notify_gone(server)
        server.update_report(report)
        self._by_service.setdefault(report.service, {})[report.name] = server
        self._notify(report.service)

    def remove(self, name: str) -> None:
        """Remove a server from the directory."""
        server = self._servers.pop(name, None)
        if server is not None:
            if server.accepts_requests():
                self._notify_end(server)
            server.mark_leaving()
            server.listed = False
            self.leaving_servers.update_unlisted(server.report)
            self._by_service[server.report.service].pop(name, None)
            self._notify_gone(server)

    def _add(self, report: _report.ServerReport) -> _server.BackendServer:
        server = _server.BackendServer(
            report,
            self._clock,
            lambda: self._notify(server.report.service),
            self.latency_tolerance,
            self.loop_lag,
            self.leaving_servers,
            self.rates,
        )
        self._servers[report.name] = server
        return server

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)

    def listen(self, listener: Listener) -> None:
        """Call `listener` with a service when capacity may have become free.

        This is after a new report of one of its servers, and after the end of
        a request to one.
        """
        self._listeners.append(listener)

    def listen_ends(self, listener: EndListener) -> None:
        """Call `listener` with the last report on a server that has ended.

        This is one that has started anew, or one that is no longer listed
        though it had not been leaving.
        """
        self._end_listeners.append(listener)

    def listen_gone(self, listener: EndListener) -> None:
        """Call `listener` with the last report on a server that is gone.

        This is each one that is removed, that has started anew, or that has
        another address now.
        """
        self._gone_listeners.append(listener)

    def _notify_gone(self, server: _server.BackendServer) -> None:
        for listener in self._gone_listeners:
            listener(server.report)

    def _notify_end(self, server: _server.BackendServer) -> None:
        for listener in self._end_listeners:
            listener(server.report)

    def get(self, name: str) -> _server.BackendServer | None:
        """Return the server with this name, if known."""
        return self._servers.get(name)

    def find_address(self, address: str) -> _server.BackendServer | None:
        """Return the server that is listed at ``ip:port``, if one is."""
        for server in self._servers.values():
            if server.address == address:
                return server
        return None

    def select(
        self, service: str
    ) -> collections.abc.Iterator[_server.BackendServer]:
        """Yield the servers of a model or of a plain service."""
        yield from list(self._by_service.get(service, {}).values())

    def iter_servers(
        self,
    ) -> collections.abc.Iterator[_server.BackendServer]:
        """Yield all known servers."""
        for servers in list(self._by_service.values()):
            yield from list(servers.values())

    def summarize(self) -> dict[str, dict[str, object]]:
        """Return the state of each server, for the state dump."""
        return {
            name: {
                'address': server.address,
                'service': server.report.service,
                'state': server.report.state,
                'software': server.software,
                'weight_version': server.weight_version,
                'in_flight': server.in_flight,
                'load': server.load,
                'latency_seconds': round(server.latency_seconds, 4),
                'limit': server.limit.requests,
                'requests_per_second': self.rates.get(server.run),
                'failures': server.health.failures,
                'ejected_seconds': round(server.health.ejected_seconds, 1),
                'available': server.is_available(),
                'leaving': self.leaving_servers.contains(server.report),
            }
            for name, server in self._servers.items()
        }


def _is_restart(old: _report.ServerReport, new: _report.ServerReport) -> bool:
    """Return whether a report shows that a server restarted or moved."""
    return (
        old.address != new.address
        or old.born_ms != new.born_ms
        or old.software != new.software
    )
