"""An httpx transport whose cost does not grow with its connections.

httpcore's pool walks all of its connections at the start and at the end of
each request, and looks at each idle one's socket. At eight connections that
was a fifth of the processor time of a hop. Here each connection is a
transport of its own, and those not in use wait on a stack.
"""

import collections.abc
import functools
import socket
import ssl

import httpx

MAX_CONNECTIONS_PER_PEER = 1024
MAX_IDLE_CONNECTIONS = 64
KEEP_ALIVE_SECONDS = 60.0
# A connection that went silent, as behind a network partition, is found by
# probes after some three seconds.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
UNACKNOWLEDGED_MS = 3000
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


@functools.cache
def load_ssl_context() -> ssl.SSLContext:
    """Return the one context for all connections.

    Loading its certificates takes 30 ms of processor time.
    """
    return ssl.create_default_context()


class StackTransport(httpx.AsyncBaseTransport):
    """Sends each request on the connection that was last in use.

    Parameters
    ----------
    context : ssl.SSLContext
        For peers under https; the machine's authorities where it is None.
    """

    __slots__ = ('_context', '_idle', '_in_use')

    def __init__(self, context: ssl.SSLContext | None = None) -> None:
        self._context = context
        self._idle: list[httpx.AsyncHTTPTransport] = []
        self._in_use = 0

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; the response's stream must be closed.

        Raises
        ------
        httpx.PoolTimeout
            If too many requests of this peer are in flight.
        """
        if self._in_use >= MAX_CONNECTIONS_PER_PEER:
            raise httpx.PoolTimeout('too many connections', request=request)
        connection = self._idle.pop() if self._idle else self._connect()
        self._in_use += 1
        try:
            response = await connection.handle_async_request(request)
        except BaseException:
            self._in_use -= 1
            await connection.aclose()
            raise
        assert isinstance(response.stream, httpx.AsyncByteStream)
        response.stream = _ReturningStream(response.stream, connection, self)
        response.request = request
        return response

    def _connect(self) -> httpx.AsyncHTTPTransport:
        return httpx.AsyncHTTPTransport(
            verify=self._context or load_ssl_context(),
            trust_env=False,
            socket_options=SOCKET_OPTIONS,
            limits=httpx.Limits(
                max_connections=1,
                max_keepalive_connections=1,
                keepalive_expiry=KEEP_ALIVE_SECONDS,
            ),
        )

    async def put_back(self, connection: httpx.AsyncHTTPTransport) -> None:
        """Take back a connection whose response is closed."""
        self._in_use -= 1
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()


class _ReturningStream(httpx.AsyncByteStream):
    def __init__(
        self,
        stream: httpx.AsyncByteStream,
        connection: httpx.AsyncHTTPTransport,
        owner: StackTransport,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._owner: StackTransport | None = owner

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return aiter(self._stream)

    async def aclose(self) -> None:
        owner, self._owner = self._owner, None
        if owner is None:
            return
        try:
            await self._stream.aclose()
        finally:
            await owner.put_back(self._connection)
