"""Paths to backend servers through peers that reach them."""

import collections
import collections.abc
import random
import time

from swiftjunction import backends
from swiftjunction.coordination import _members
from swiftjunction import tunnels
from swiftjunction import web

MAX_PEERS_TRIED = 2
# Each has the idle connections to one server through one peer.
MAX_CLIENTS = 512
PROBE_TIMEOUT_SECONDS = 0.4
# By then a peer that is cut off itself says so in its status.
AVOIDANCE_SECONDS = 2.0


class TunnelPath(backends.PeerPath):
    """A path through the tunnel of a peer."""

    __slots__ = ('_paths', '_server_address', '_tunnel_address')

    def __init__(
        self,
        paths: 'TunnelPaths',
        peer: str,
        tunnel_address: str,
        server_address: str,
    ) -> None:
        super().__init__(
            peer, paths.get_client(tunnel_address, server_address)
        )
        self._paths = paths
        self._tunnel_address = tunnel_address
        self._server_address = server_address

    async def is_refused(self) -> bool | None:
        outcome = await self.probe()
        if outcome is tunnels.TunnelOutcome.REFUSED:
            return True
        return False if outcome is tunnels.TunnelOutcome.CONNECTED else None

    async def probe(self) -> tunnels.TunnelOutcome | None:
        """Return what becomes of a connection of the peer to the server."""
        return await tunnels.probe(
            self._tunnel_address, self._server_address, PROBE_TIMEOUT_SECONDS
        )

    def record_failure(self) -> None:
        self._paths.avoid(self.peer)


class TunnelPaths(backends.PeerPaths):
    """Selects peers that reach a server, and keeps connections through them.

    Parameters
    ----------
    members : MemberTable
        The peers, with the services that each one cannot reach.
    rng : random.Random
        Spreads the tunnels over the peers.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_avoided_until',
        '_choices',
        '_clients',
        '_clock',
        '_members',
        '_rng',
    )

    def __init__(
        self,
        members: _members.MemberTable,
        rng: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._members = members
        self._rng = rng
        self._clock = clock
        # Peers through which a request failed, and until when to avoid them.
        self._avoided_until: dict[str, float] = {}
        # The peer last chosen for the server at an address: connections
        # through it may be open.
        self._choices: dict[str, str] = {}
        self._clients: collections.OrderedDict[
            tuple[str, str], web.DirectClient
        ] = collections.OrderedDict()

    def select(
        self, server: backends.BackendServer
    ) -> list[backends.PeerPath]:
        return list(self.list_paths(server.report.service, server.address))

    def list_paths(
        self, service: str, server_address: str
    ) -> list[TunnelPath]:
        """Return the paths to a server at an address, the best one first."""
        candidates = self._members.list_tunnels(service)
        self._rng.shuffle(candidates)
        chosen = self._choices.get(server_address, '')
        own = self._members.own
        # Peers of this data centre are more likely to be cut off as well.
        candidates.sort(
            key=lambda tunnel: (
                self._is_avoided(tunnel.member.name),
                tunnel.member.name != chosen,
                tunnel.member.region != own.region,
                tunnel.member.data_center == own.data_center,
            )
        )
        if candidates:
            self._choices[server_address] = candidates[0].member.name
        return [
            TunnelPath(
                self, tunnel.member.name, tunnel.address, server_address
            )
            for tunnel in candidates[:MAX_PEERS_TRIED]
        ]

    def avoid(self, peer: str) -> None:
        """Choose other peers for a while, if there are any."""
        now = self._clock()
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if until > now
        }
        self._avoided_until[peer] = now + AVOIDANCE_SECONDS

    def _is_avoided(self, peer: str) -> bool:
        return self._avoided_until.get(peer, 0.0) > self._clock()

    def get_client(
        self, tunnel_address: str, server_address: str
    ) -> web.DirectClient:
        """Return the client of a server through a tunnel."""
        key = tunnel_address, server_address
        client = self._clients.get(key)
        if client is None:
            client = self._clients[key] = web.DirectClient(
                server_address, tunnels.TunnelBackend(tunnel_address)
            )
        self._clients.move_to_end(key)
        if len(self._clients) > MAX_CLIENTS:
            # Its idle connections are closed as they are collected.
            self._clients.popitem(last=False)
        return client
