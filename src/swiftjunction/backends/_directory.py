"""All backend servers that are known, by service."""

import collections.abc

import msgspec

from swiftjunction.backends import _server
from swiftjunction import links
from swiftjunction import membership

SERVER_PREFIX = 'server/'


class Directory:
    """The backend servers, kept from the shared records.

    Parameters
    ----------
    table : RecordTable
        The records of this daemon.
    """

    __slots__ = ('_by_service', '_servers')

    def __init__(self, table: membership.RecordTable) -> None:
        self._servers: dict[str, _server.BackendServer] = {}
        self._by_service: dict[str, dict[str, _server.BackendServer]] = {}
        table.listen(SERVER_PREFIX, self._learn)

    def _learn(self, record: links.Record) -> None:
        report = msgspec.msgpack.decode(
            record.value, type=_server.ServerReport
        )
        server = self._servers.get(report.name)
        if server is not None and server.report.service != report.service:
            self._by_service[server.report.service].pop(report.name, None)
        if server is None or server.address != report.address:
            server = _server.BackendServer(report)
            self._servers[report.name] = server
        server.report = report
        # The report is what the engine says now; an engine that restarted
        # with older weights must not keep the version of its earlier run.
        server.weight_version = report.weight_version
        group = self._by_service.setdefault(report.service, {})
        if report.state == 'gone':
            group.pop(report.name, None)
        else:
            group[report.name] = server

    def get(self, name: str) -> _server.BackendServer | None:
        """Return the server called `name`, if known."""
        return self._servers.get(name)

    def select(
        self, service: str
    ) -> collections.abc.Iterator[_server.BackendServer]:
        """Yield the servers of a model or plain service."""
        yield from list(self._by_service.get(service, {}).values())

    def summarize(self) -> dict[str, dict[str, object]]:
        """Return the state of each server, for a dump."""
        return {
            name: {
                'address': server.address,
                'service': server.report.service,
                'state': server.report.state,
                'weight_version': server.weight_version,
                'in_flight': server.in_flight,
                'load': server.load,
                'available': server.is_available(),
            }
            for name, server in self._servers.items()
        }
