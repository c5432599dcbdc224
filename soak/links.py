"""A loopback proxy that simulates network faults."""

import contextlib
import enum
import re
import socket
import struct

import anyio
import anyio.abc

CHUNK_BYTES = 65_536
HOLD_CHECK_INTERVAL_SECONDS = 0.02
REQUEST_ID_PATTERN = re.compile(
    rb'\r\nswiftjunction-attempt-id: *([^\r]+)', re.IGNORECASE
)
# Value of SO_LINGER with which closing a socket resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class LinkMode(enum.Enum):
    """How a link handles connections and data.

    Attributes
    ----------
    OPEN
        Forwards all data.
    DELAYED
        Delays each chunk of data.
    SILENT
        Holds all data back; connections stay open.
    ONE_WAY
        Holds back the data from the server to the client.
    REFUSING
        Closes new connections at once.
    """

    OPEN = 'open'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSING = 'refusing'


class LinkProxy:
    """Forwards connections from a port of its own to a target address.

    Parameters
    ----------
    target : str
        Address as ``ip:port``.

    Attributes
    ----------
    mode : LinkMode
        Fault to simulate; may change at any time.
    delay_seconds : float
        Delay of each chunk of data if the mode is ``DELAYED``.
    address : str
        Address of the proxy as ``ip:port``.
    arrivals : list of (str, float)
        Id of each request, and when the client sent it to the proxy, on the
        clock of the event loop in seconds.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = LinkMode.OPEN
        self.delay_seconds = 0.1
        self.arrivals: list[tuple[str, float]] = []
        self._sockets: set[anyio.abc.SocketStream] = set()
        self._server = socket.socket()
        self._server.bind(('127.0.0.1', 0))
        self._server.listen(512)
        self._server.setblocking(False)
        self.address = f'127.0.0.1:{self._server.getsockname()[1]}'

    async def run(self) -> None:
        """Forward until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self._server)
        async with listener:
            await listener.serve(self._serve)

    def reset(self) -> None:
        """Reset all current connections."""
        for stream in list(self._sockets):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            with contextlib.suppress(OSError):
                # The peer may have closed the connection already.
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                raw.shutdown(socket.SHUT_RDWR)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        async with client:
            if self.mode is LinkMode.REFUSING:
                return
            host, _, port = self.target.rpartition(':')
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with server:
                await self._forward_both_ways(client, server)

    async def _forward_both_ways(
        self,
        client: anyio.abc.SocketStream,
        server: anyio.abc.SocketStream,
    ) -> None:
        self._sockets |= {client, server}
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, client, server, False, tasks)
                tasks.start_soon(self._forward, server, client, True, tasks)
        finally:
            self._sockets -= {client, server}

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_response: bool,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if not is_response:
                    self._record_arrivals(data)
                await self._apply_mode(is_response)
                await sink.send(data)
        except (anyio.EndOfStream, OSError, anyio.BrokenResourceError):
            tasks.cancel_scope.cancel()

    def _record_arrivals(self, data: bytes) -> None:
        now = anyio.current_time()
        self.arrivals += [
            (request_id.decode('latin-1'), now)
            for request_id in REQUEST_ID_PATTERN.findall(data)
        ]

    async def _apply_mode(self, is_response: bool) -> None:
        if self.mode is LinkMode.DELAYED:
            await anyio.sleep(self.delay_seconds)
        while self.mode is LinkMode.SILENT or (
            self.mode is LinkMode.ONE_WAY and is_response
        ):
            await anyio.sleep(HOLD_CHECK_INTERVAL_SECONDS)
