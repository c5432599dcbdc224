"""An httpx transport with a constant cost per request.

httpcore's pool iterates over all of its connections at the start and at the
end of each request and polls the socket of each idle one. At eight
connections, that took a fifth of the CPU time of a forwarded request. Here
each connection is a transport of its own, and idle ones are kept on a stack.
"""

import collections.abc
import functools
import logging
import math
import socket
import ssl
import typing

import anyio
import httpcore
import httpx
import xxhash

from swiftjunction.web import _bodies
from swiftjunction.web import _heads

LOG = logging.getLogger(__name__)

MAX_CONNECTIONS_PER_SERVER = 1024
MAX_IDLE_CONNECTIONS = 64
# Bounds what a connection remembers of the ids of its requests.
MAX_IDS_PER_CONNECTION = 512
IDLE_EXPIRY_SECONDS = 60.0
# TCP detects a dead connection, for example behind a network partition, after
# about three seconds.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 3000
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_DATA_TIMEOUT_MS,
    ),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# The key of the request extension that holds the id of the request, if the
# server repeats it in its response.
REQUEST_ID_EXTENSION = 'request_id'
ID_DIGEST_BYTES = 8


@functools.cache
def load_ssl_context() -> ssl.SSLContext:
    """Return the shared TLS context of connections that were given none.

    Loading its CA certificates takes 30 ms of CPU time. It is needed for plain
    HTTP too, so it opens no file for keys, as `ssl.create_default_context`
    does if the environment names one: the file may not be writable.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_default_certs()
    return context


def _digest_id(request_id: str) -> bytes:
    return xxhash.xxh3_64_digest(request_id.encode())


class LifoTransport(httpx.AsyncBaseTransport):
    """An HTTP transport that reuses the most recently used connection.

    A server may send a response twice, the second time on a connection that
    is in use again. Where the request in progress has the same id as the one
    before, nothing tells the two responses apart. So no connection carries
    the same id twice.

    Parameters
    ----------
    context : ssl.SSLContext
        TLS context for https URLs; by default, one that trusts the CA
        certificates of the system.
    backend : AsyncNetworkBackend, optional
        Opens the connections; by default, directly.
    """

    __slots__ = ('_backend', '_context', '_idle', '_in_use', '_is_retired')

    def __init__(
        self,
        context: ssl.SSLContext | None = None,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._context = context
        self._backend = backend
        self._idle: list[_Connection] = []
        self._in_use = 0
        self._is_retired = False

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; the caller must close the response's stream.

        Raises
        ------
        httpx.PoolTimeout
            If all connections to the server are in use.
        httpx.ReadTimeout
            Also if the head takes longer in total than the timeouts of the
            connection, the request and a read together.
        """
        if self._in_use >= MAX_CONNECTIONS_PER_SERVER:
            raise httpx.PoolTimeout(
                'all connections to the server are in use', request=request
            )
        request_id = request.extensions.get(REQUEST_ID_EXTENSION, '')
        connection = self._take_idle(request_id) or self._connect()
        connection.record_id(request_id)
        self._in_use += 1
        try:
            response = await self._send(connection, request)
        except BaseException:
            self._in_use -= 1
            await connection.aclose()
            raise
        network_stream = response.extensions['network_stream']
        if isinstance(network_stream, _heads.HeadBoundStream):
            network_stream.end_head()
        response.request = request
        response.stream = _PooledStream(response, connection, self)
        return response

    async def _send(
        self, connection: '_Connection', request: httpx.Request
    ) -> httpx.Response:
        # The read timeout starts again with each byte.
        timeouts = request.extensions['timeout']
        seconds = [timeouts[name] for name in ('connect', 'write', 'read')]
        head_seconds = math.inf if None in seconds else sum(seconds)
        with anyio.move_on_after(head_seconds):
            return await connection.handle_async_request(request)
        raise httpx.ReadTimeout(
            f'no complete head within {head_seconds:.3f} s', request=request
        )

    def _take_idle(self, request_id: str) -> '_Connection | None':
        """Return the last used connection that has not carried the id."""
        for index in reversed(range(len(self._idle))):
            if not self._idle[index].has_carried(request_id):
                return self._idle.pop(index)
            LOG.info(
                'not reusing a connection that has carried this request id',
                extra={'request_id': request_id},
            )
        return None

    def _connect(self) -> '_Connection':
        return _Connection(self._context or load_ssl_context(), self._backend)

    async def release(self, connection: '_Connection') -> None:
        """Make the connection of a closed response available again."""
        self._in_use -= 1
        if (
            not self._is_retired
            and len(self._idle) < MAX_IDLE_CONNECTIONS
            and connection.may_carry_more()
            and not connection.has_surplus()
        ):
            self._idle.append(connection)
        else:
            await connection.aclose()

    async def retire(self) -> None:
        """Close the idle connections, and the others after their requests."""
        self._is_retired = True
        await self.aclose()

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()


class _Connection(httpx.AsyncHTTPTransport):
    """A pool of a single connection, which bounds heads."""

    def __init__(
        self,
        context: ssl.SSLContext,
        backend: httpcore.AsyncNetworkBackend | None,
    ) -> None:
        # The base class only makes its pool, without a network backend.
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=IDLE_EXPIRY_SECONDS,
            socket_options=SOCKET_OPTIONS,
            network_backend=_heads.HeadBoundBackend(backend),
        )
        # Concatenated. A false match is harmless: another connection is used.
        self._id_digests = bytearray()

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was sent on it."""
        return bool(request_id) and _digest_id(request_id) in self._id_digests

    def record_id(self, request_id: str) -> None:
        """Record that a request with this id, if it has one, is sent on it."""
        if request_id:
            self._id_digests += _digest_id(request_id)

    def may_carry_more(self) -> bool:
        """Return whether it may carry another request with an id."""
        return len(self._id_digests) < MAX_IDS_PER_CONNECTION * ID_DIGEST_BYTES

    def has_surplus(self) -> bool:
        """Return whether bytes were received after the last response.

        They would be taken for the response to the next request.
        """
        # httpcore does not check this itself, and has no method for it.
        connections: list[typing.Any] = [*self._pool.connections]
        return any(
            connection._connection._h11_state.trailing_data[0]
            for connection in connections
            if connection._connection is not None
        )


class _PooledStream(httpx.AsyncByteStream):
    def __init__(
        self,
        response: httpx.Response,
        connection: '_Connection',
        transport: LifoTransport,
    ) -> None:
        assert isinstance(response.stream, httpx.AsyncByteStream)
        self._stream = response.stream
        self._bounded = _bodies.bound_body(response.stream, response)
        self._connection = connection
        self._transport: LifoTransport | None = transport
        self._network_stream = response.extensions['network_stream']

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self._bounded

    async def aclose(self) -> None:
        transport, self._transport = self._transport, None
        if transport is None:
            return
        try:
            await self._stream.aclose()
            if isinstance(self._network_stream, _heads.HeadBoundStream):
                self._network_stream.end_exchange()
        finally:
            await transport.release(self._connection)
