"""Chooses the path on which a request is sent to a server."""

import collections.abc
import logging

import anyio
import httpx

from swiftjunction.backends import _exchange
from swiftjunction.backends import _peer_paths
from swiftjunction.backends import _reachability
from swiftjunction.backends import _server
from swiftjunction import errors
from swiftjunction import web

LOG = logging.getLogger(__name__)

CHECK_TIMEOUT_SECONDS = 1.0

# Sends a request with a client, which determines the path.
Send = collections.abc.Callable[
    [web.DirectClient], collections.abc.Awaitable[httpx.Response]
]


class ServerPaths:
    """Sends requests directly, or through a peer if they cannot be sent.

    Parameters
    ----------
    peers : PeerClients
        Clients that reach servers directly.
    reachability : Reachability, optional
        Learns from each request whether the service is reachable.
    peer_paths : PeerPaths, optional
        Lead to servers of services that this VM does not reach.
    """

    __slots__ = ('_peer_paths', '_peers', 'reachability')

    def __init__(
        self,
        peers: web.PeerClients,
        reachability: _reachability.Reachability | None = None,
        peer_paths: _peer_paths.PeerPaths | None = None,
    ) -> None:
        self._peers = peers
        self._peer_paths = peer_paths or _peer_paths.NoPeerPaths()
        self.reachability = reachability or _reachability.Reachability(
            lambda service: ()
        )

    async def send(
        self,
        server: _server.BackendServer,
        exchange: _exchange.Exchange,
        request_id: str,
        send: Send,
    ) -> httpx.Response:
        """Send a request; through a peer if the service is cut off.

        Raises
        ------
        BackendUnreachable
            If neither this VM nor a peer reaches the server. Nothing was sent.
        """
        service = server.report.service
        if not self.reachability.is_cut_off(service):
            with exchange.connect():
                try:
                    return await send(self._peers.get_direct(server.address))
                except (*web.UNSENT_ERRORS, errors.PathAbandoned):
                    if not await self.reachability.confirm(service):
                        raise
        exchange.resume()
        for path in self._peer_paths.select(server):
            LOG.info(
                'sending the request through a peer',
                extra={
                    'request_id': request_id,
                    'server': server.name,
                    'via': path.peer,
                },
            )
            try:
                return await send(path.client)
            except web.UNSENT_ERRORS as error:
                LOG.info(
                    'the peer does not connect to the server: %s',
                    error,
                    extra={'server': server.name, 'via': path.peer},
                )
                path.record_failure()
            except (httpx.HTTPError, anyio.get_cancelled_exc_class()):
                # An attempt that times out is cancelled. The peer may have
                # been cut off, too.
                path.record_failure()
                raise
        raise errors.BackendUnreachable(
            'this VM is cut off from the service, and so are its peers',
            step='call',
            peer=server.name,
        )

    async def send_directly(
        self,
        server: _server.BackendServer,
        peers: web.PeerClients,
        send: Send,
    ) -> httpx.Response:
        """Send a request on a connection of `peers`, and on no other path."""
        try:
            return await send(peers.get_direct(server.address))
        except web.UNSENT_ERRORS:
            self.reachability.suspect(server.report.service)
            raise

    async def is_crashed(self, server: _server.BackendServer) -> bool:
        """Return whether, after a failed call, connections are refused.

        If this VM's are, a peer's must be, too, unless no peer can tell: they
        may have been refused on the way to the server.
        """
        try:
            host, port = web.parse_address(server.address)
            with anyio.fail_after(CHECK_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(host, port)
        except (TimeoutError, ValueError):
            return False
        except OSError:
            return await self._is_refused_by_peers(server)
        await stream.aclose()
        return False

    async def _is_refused_by_peers(
        self, server: _server.BackendServer
    ) -> bool:
        for path in self._peer_paths.select(server):
            is_refused = await path.is_refused()
            if is_refused is not None:
                return is_refused
        return not self.reachability.is_cut_off(server.report.service)
