"""Paths to backend servers that lead through other VMs."""

import abc

from swiftjunction.backends import _server
from swiftjunction import web


class PeerPath(abc.ABC):
    """A path to one server, through one peer.

    Attributes
    ----------
    peer : str
        Name of the peer.
    client : DirectClient
        Sends requests to the server through the peer.
    """

    __slots__ = ('client', 'peer')

    def __init__(self, peer: str, client: web.DirectClient) -> None:
        self.peer = peer
        self.client = client

    @abc.abstractmethod
    async def is_refused(self) -> bool | None:
        """Return whether the server refuses connections of the peer.

        None if the peer cannot tell.
        """

    @abc.abstractmethod
    def record_failure(self) -> None:
        """Record that a request through the peer got no response."""


class PeerPaths(abc.ABC):
    """Finds paths through peers."""

    __slots__ = ()

    @abc.abstractmethod
    def select(self, server: _server.BackendServer) -> list[PeerPath]:
        """Return the paths to a server, in the order in which to try them."""


class NoPeerPaths(PeerPaths):
    """The paths of a process that has no peers."""

    __slots__ = ()

    def select(self, server: _server.BackendServer) -> list[PeerPath]:
        return []
