"""Closes connections to backend servers that are gone.

Another server may get the address of one that is gone. A connection that was
kept open would then fail the next request, or bring a late response of the
former server.
"""

import anyio

from swiftjunction.backends import _directory
from swiftjunction.backends import _report
from swiftjunction import web


class ConnectionCleaner:
    """Closes the idle connections to each server that is removed.

    Those in use are closed at the end of their requests.

    Parameters
    ----------
    directory : Directory
        Tells which servers are gone.
    clients : PeerClients
        Keeps the connections.
    """

    __slots__ = ('_addresses', '_clients', '_directory', '_has_addresses')

    def __init__(
        self, directory: _directory.Directory, clients: web.PeerClients
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._addresses: set[str] = set()
        self._has_addresses = anyio.Event()
        directory.listen_gone(self._note)

    def _note(self, report: _report.ServerReport) -> None:
        self._addresses.add(report.address)
        self._has_addresses.set()

    async def run(self) -> None:
        """Close the connections to servers that are gone, until cancelled."""
        while True:
            await self._has_addresses.wait()
            self._has_addresses = anyio.Event()
            while self._addresses:
                await self._clients.retire(self._addresses.pop())
