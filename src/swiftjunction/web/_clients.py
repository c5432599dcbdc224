"""Builds the HTTP clients that daemons call their peers with."""

import collections.abc
import ssl

import httpx

from swiftjunction.web import _transport

CONNECT_TIMEOUT_SECONDS = 2.0
# What httpcore calls the moment before the first byte.
REQUEST_START_EVENT = 'http11.send_request_headers.started'

# Failures at which no byte of a request can have left.
UNSENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

Headers = collections.abc.Sequence[tuple[str, str]]


def create_client(
    base_url: str = '',
    timeout_seconds: float = 10.0,
    context: ssl.SSLContext | None = None,
) -> httpx.AsyncClient:
    """Make a client that keeps its connections.

    Parameters
    ----------
    base_url : str
        The one peer's URL.
    timeout_seconds : float
        Longest wait for a read, a write or a free connection.
    context : ssl.SSLContext
        For a peer under https.
    """
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=httpx.Timeout(
            timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS
        ),
        transport=_transport.StackTransport(context),
        trust_env=False,
    )


def _trace_start(
    check: collections.abc.Callable[[], None] | None,
) -> dict[str, object]:
    """Return the extension that calls `check` before the first byte."""
    if check is None:
        return {}

    async def trace(event: str, info: dict[str, object]) -> None:
        if event == REQUEST_START_EVENT:
            check()

    return {'trace': trace}


class DirectClient:
    """One peer on the hot path.

    A request goes to the transport without passing the layers of a client
    (redirects, cookies, authentication), which no peer of ours uses and which
    cost a fifth of the processor time of a hop.

    Parameters
    ----------
    address : str
        ``ip:port``.
    """

    __slots__ = ('_host', '_transport', '_url')

    def __init__(self, address: str) -> None:
        self._url = httpx.URL(f'http://{address}')
        self._host = address
        self._transport = _transport.StackTransport()

    async def send(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        content: bytes = b'',
        timeout_seconds: float = 10.0,
        host: str = '',
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
        check: collections.abc.Callable[[], None] | None = None,
    ) -> httpx.Response:
        """Send one request; the caller reads and closes the response.

        Parameters
        ----------
        method : str
            Of HTTP.
        target : str
            Path and query, encoded.
        timeout_seconds : float
            Longest wait for a read or a write.
        host : str
            The host to name, where it is not the peer's address.
        connect_seconds : float
            Longest wait for a new connection.
        check : callable
            Called when there is a connection and nothing stands between it
            and the first byte; what it raises keeps the request from leaving.
        """
        own = [('host', host or self._host)]
        if content:
            own.append(('content-length', str(len(content))))
        request = httpx.Request(
            method,
            self._url.copy_with(raw_path=target.encode()),
            # As bytes: a header may hold any character of Latin-1, and text
            # would have to be ASCII.
            headers=[
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in [*own, *headers]
            ],
            stream=httpx.ByteStream(content),
            extensions={
                'timeout': {
                    'connect': min(connect_seconds, timeout_seconds),
                    'read': timeout_seconds,
                    'write': timeout_seconds,
                    'pool': timeout_seconds,
                },
                **_trace_start(check),
            },
        )
        return await self._transport.handle_async_request(request)

    async def fetch(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        content: bytes = b'',
        timeout_seconds: float = 10.0,
    ) -> tuple[int, bytes]:
        """Send one request; return the status and the whole body."""
        response = await self.send(
            method,
            target,
            headers=headers,
            content=content,
            timeout_seconds=timeout_seconds,
        )
        try:
            body = b''.join([part async for part in response.aiter_raw()])
        finally:
            await response.aclose()
        return response.status_code, body

    async def close(self) -> None:
        """Close the idle connections."""
        await self._transport.aclose()


class PeerClients:
    """The clients of all peers, one or two for each.

    Parameters
    ----------
    context : ssl.SSLContext
        Where the peers are called over TLS.
    """

    __slots__ = ('_clients', '_context', '_peers')

    def __init__(self, context: ssl.SSLContext | None = None) -> None:
        self._context = context
        self._clients: dict[str, httpx.AsyncClient] = {}
        self._peers: dict[str, DirectClient] = {}

    def get(self, address: str) -> httpx.AsyncClient:
        """Return the client of the peer at ``ip:port``, for control."""
        client = self._clients.get(address)
        if client is None:
            scheme = 'http' if self._context is None else 'https'
            client = create_client(
                f'{scheme}://{address}', context=self._context
            )
            self._clients[address] = client
        return client

    def get_direct(self, address: str) -> DirectClient:
        """Return the peer at ``ip:port``, for requests of callers."""
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = DirectClient(address)
        return peer

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()
        for peer in self._peers.values():
            await peer.close()
        self._clients.clear()
        self._peers.clear()
