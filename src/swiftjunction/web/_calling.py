"""Builds the HTTP clients that daemons call their peers with."""

import functools
import ssl

import httpx

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_CONNECTIONS_PER_PEER = 512


@functools.cache
def _load_ssl_context() -> ssl.SSLContext:
    # Loading the certificates takes 30 ms of processor time, too long to do
    # for each client.
    return ssl.create_default_context()


def connect_client(
    base_url: str = '', timeout_seconds: float = 10.0
) -> httpx.AsyncClient:
    """Make a client that keeps its connections.

    Parameters
    ----------
    base_url : str
        Prefix of every URL; empty for a client of a few peers.
    timeout_seconds : float
        Longest wait for a read, a write or a free connection.
    """
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=httpx.Timeout(
            timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS
        ),
        limits=httpx.Limits(
            max_connections=MAX_CONNECTIONS_PER_PEER,
            max_keepalive_connections=MAX_CONNECTIONS_PER_PEER,
        ),
        verify=_load_ssl_context(),
        trust_env=False,
    )


class PeerClients:
    """One client for each peer.

    httpcore walks all connections of a pool at each request, which with one
    pool for all peers took half of a daemon's processor time.
    """

    __slots__ = ('_clients',)

    def __init__(self) -> None:
        self._clients: dict[str, httpx.AsyncClient] = {}

    def get(self, address: str) -> httpx.AsyncClient:
        """Return the client of the peer at ``ip:port``."""
        client = self._clients.get(address)
        if client is None:
            client = connect_client(f'http://{address}')
            self._clients[address] = client
        return client

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()
        self._clients.clear()
