"""HTTP clients for calls to other daemons and to backend servers."""

import collections.abc
import contextlib
import logging
import ssl

import httpcore
import httpx

from swiftjunction import errors
from swiftjunction.web import _addresses
from swiftjunction.web import _bodies
from swiftjunction.web import _sending
from swiftjunction.web import _transport

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 2.0
UNENCODED = 'identity'
# The trace events of httpcore just before the first byte of a request is sent,
# and just before the first byte of its body. Other tasks may run in between.
REQUEST_START_EVENT = 'http11.send_request_headers.started'
BODY_START_EVENT = 'http11.send_request_body.started'

# Errors that are raised only before the first byte of a request is sent.
UNSENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    errors.AddressInvalid,
)

Headers = collections.abc.Sequence[tuple[str, str]]

# A server that reads slowly gets no more than this after a failed check, and
# what the buffers of the system hold.
BODY_CHUNK_BYTES = 64 * 1024


def create_client(
    base_url: str = '',
    timeout_seconds: float = 10.0,
    context: ssl.SSLContext | None = None,
) -> httpx.AsyncClient:
    """Return a client that keeps idle connections open for reuse.

    It refuses encoded responses, as bounds on bodies go by the bytes that are
    received: 64 KB of gzip can become 64 MB.

    Parameters
    ----------
    base_url : str
        Prefix of the relative URLs that the client is called with.
    timeout_seconds : float
        Timeout of a read, of a write and of getting a connection.
    context : ssl.SSLContext
        TLS context for https URLs; by default, one that trusts the CA
        certificates of the system.
    """
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=httpx.Timeout(
            timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS
        ),
        transport=_transport.LifoTransport(context),
        trust_env=False,
        headers={'accept-encoding': UNENCODED},
        event_hooks={'response': [_refuse_encoded]},
    )


async def _refuse_encoded(response: httpx.Response) -> None:
    encoding = response.headers.get('content-encoding', UNENCODED)
    if encoding.strip().lower() != UNENCODED:
        raise httpx.DecodingError(
            f'unexpected content encoding {encoding!r}',
            request=response.request,
        )


def _make_trace_extension(
    check: collections.abc.Callable[[], None] | None,
    check_body: collections.abc.Callable[[], None] | None,
) -> dict[str, object]:
    """Return the httpx extension that calls the checks before sending."""
    checks = {REQUEST_START_EVENT: check, BODY_START_EVENT: check_body}
    if not any(checks.values()):
        return {}

    async def trace(event: str, info: dict[str, object]) -> None:
        check_now = checks.get(event)
        if check_now is not None:
            check_now()

    return {'trace': trace}


class _ChunkedBody(httpx.AsyncByteStream):
    """A body that is checked before each chunk.

    A chunk is copied only once the server has read most of those before it.
    """

    def __init__(
        self,
        content: bytes,
        check: collections.abc.Callable[[], None] | None,
    ) -> None:
        self._content = content
        self._check = check

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        for start in range(0, len(self._content), BODY_CHUNK_BYTES):
            if self._check is not None:
                self._check()
            yield self._content[start : start + BODY_CHUNK_BYTES]


def _make_body(
    content: bytes, check: collections.abc.Callable[[], None] | None
) -> httpx.AsyncByteStream:
    if len(content) <= BODY_CHUNK_BYTES:
        return httpx.ByteStream(content)
    return _ChunkedBody(content, check)


def _parse_address(address: str) -> httpx.URL:
    """Return the URL of a server; ``AddressInvalid`` if there is none."""
    try:
        url = httpx.URL(f'http://{address}')
        port = int(address.rpartition(':')[2])
        if not url.host or not 0 < port <= _addresses.MAX_PORT:
            raise ValueError('there is no host or no valid port')
        if url.userinfo or url.raw_path != b'/':
            raise ValueError('there is more than a host and a port')
        return url
    except (httpx.InvalidURL, ValueError) as error:
        raise errors.AddressInvalid(
            f'invalid address: {error}', step='connect', peer=ascii(address)
        ) from error


@contextlib.contextmanager
def _translate_errors(
    request: httpx.Request,
) -> collections.abc.Iterator[None]:
    """Raise what the libraries did not expect as an error of the exchange.

    The connection is closed by then, so that nothing else depends on it.
    """
    try:
        yield
    except (errors.SwiftjunctionError, httpx.HTTPError, httpx.StreamError):
        raise
    except Exception as error:
        LOG.exception(
            'unexpected error in a request', extra={'server': request.url.host}
        )
        raise httpx.TransportError(
            f'unexpected {type(error).__name__}', request=request
        ) from error


class DirectClient:
    """A lightweight HTTP client for the requests of callers to one server.

    It passes requests directly to the transport. The layers of
    `httpx.AsyncClient` for redirects, cookies and authentication are not
    needed here, and took a fifth of the CPU time of a forwarded request.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    backend : AsyncNetworkBackend, optional
        Opens the connections; by default, directly.

    Raises
    ------
    AddressInvalid
        If the address has no host or no valid port.
    """

    __slots__ = ('_host', '_transport', '_url')

    def __init__(
        self,
        address: str,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._url = _parse_address(address)
        self._host = address
        self._transport = _transport.LifoTransport(backend=backend)

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
        check_body: collections.abc.Callable[[], None] | None = None,
        request_id: str = '',
        is_stream: bool = False,
    ) -> httpx.Response:
        """Send a request and return the response, which must be closed.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Percent-encoded path and query, which are sent as they are.
        timeout_seconds : float
            Timeout of a read and of a write.
        host : str
            Value of the ``host`` header; the server's address by default.
        connect_seconds : float
            Timeout of opening a connection.
        check : callable
            Called once a connection is open, just before the first byte is
            sent. If it raises, the request is not sent.
        check_body : callable
            Called just before the first byte of the body is sent, and before
            each further chunk of a long one. If it raises, the server gets no
            more of the body, and the connection is reset.
        request_id : str
            The id by which the response is recognized; empty if by none.
        is_stream : bool
            Whether an event stream is expected, of any length.

        Raises
        ------
        RequestUnsendable
            If no server can get this request.
        httpx.HTTPError
            If the exchange with the server failed.
        """
        _sending.check_request(target, host, headers)
        framing_headers = [('host', host or self._host)]
        if content:
            framing_headers.append(('content-length', str(len(content))))
        request = httpx.Request(
            method,
            self._url,
            # Encoded here, as httpx accepts only ASCII in a str value while
            # HTTP headers may contain any Latin-1 character.
            headers=[
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in [*framing_headers, *headers]
            ],
            stream=_make_body(content, check_body),
            extensions={
                # A URL would remove dot segments and encode characters.
                'target': target.encode(),
                'timeout': {
                    'connect': min(connect_seconds, timeout_seconds),
                    'read': timeout_seconds,
                    'write': timeout_seconds,
                    'pool': timeout_seconds,
                },
                _transport.REQUEST_ID_EXTENSION: request_id,
                **(_bodies.UNBOUNDED_STREAM if is_stream else {}),
                **_make_trace_extension(check, check_body),
            },
        )
        with _translate_errors(request):
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
        """Send a request; return the status and the complete body."""
        response = await self.send(
            method,
            target,
            headers=headers,
            content=content,
            timeout_seconds=timeout_seconds,
        )
        try:
            body = b''.join([chunk async for chunk in response.aiter_raw()])
        finally:
            await response.aclose()
        return response.status_code, body

    async def retire(self) -> None:
        """Close the idle connections, and the others after their requests."""
        await self._transport.retire()

    async def close(self) -> None:
        """Close the idle connections."""
        await self._transport.aclose()


class PeerClients:
    """HTTP clients by address, created on first use and then reused.

    Parameters
    ----------
    context : ssl.SSLContext
        TLS context of the clients that :meth:`get` returns; without it, they
        use plain HTTP.
    """

    __slots__ = ('_clients', '_context', '_direct_clients')

    def __init__(self, context: ssl.SSLContext | None = None) -> None:
        self._context = context
        self._clients: dict[str, httpx.AsyncClient] = {}
        self._direct_clients: dict[str, DirectClient] = {}

    def get(self, address: str) -> httpx.AsyncClient:
        """Return the general-purpose client of the server at ``ip:port``."""
        client = self._clients.get(address)
        if client is None:
            _parse_address(address)
            scheme = 'http' if self._context is None else 'https'
            client = create_client(
                f'{scheme}://{address}', context=self._context
            )
            self._clients[address] = client
        return client

    def get_direct(self, address: str) -> DirectClient:
        """Return the lightweight client of the server at ``ip:port``.

        It always uses plain HTTP.
        """
        client = self._direct_clients.get(address)
        if client is None:
            client = self._direct_clients[address] = DirectClient(address)
        return client

    async def retire(self, address: str) -> None:
        """Close the connections of the lightweight client of an address.

        The next use of the address opens new ones.
        """
        client = self._direct_clients.pop(address, None)
        if client is not None:
            await client.retire()

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()
        for direct_client in self._direct_clients.values():
            await direct_client.close()
        self._clients.clear()
        self._direct_clients.clear()
