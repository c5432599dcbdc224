"""A loopback proxy whose connections can be disturbed."""

import contextlib
import enum
import socket
import struct

import anyio
import anyio.abc

CHUNK_BYTES = 65_536
HOLD_CHECK_SECONDS = 0.02
# Closes a socket with a reset in place of an orderly end.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What the link does with bytes."""

    OPEN = 'open'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSING = 'refusing'


class Link:
    """Forwards connections from a port of its own to a target.

    Parameters
    ----------
    target : str
        ``ip:port``.

    Attributes
    ----------
    delay_seconds : float
        Of each piece of data while the mode is ``DELAYED``.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.OPEN
        self.delay_seconds = 0.1
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
        """Reset all connections that there are now."""
        for stream in list(self._sockets):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            with contextlib.suppress(OSError):
                # Its other end may have closed it a moment ago.
                raw.shutdown(socket.SHUT_RDWR)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        async with client:
            if self.mode is Mode.REFUSING:
                return
            host, _, port = self.target.rpartition(':')
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with server:
                await self._join(client, server)

    async def _join(
        self,
        client: anyio.abc.SocketStream,
        server: anyio.abc.SocketStream,
    ) -> None:
        self._sockets |= {client, server}
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, client, server, False, tasks)
                tasks.start_soon(self._pump, server, client, True, tasks)
        finally:
            self._sockets -= {client, server}

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        answers: bool,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._hold(answers)
                await sink.send(data)
        except (anyio.EndOfStream, OSError, anyio.BrokenResourceError):
            tasks.cancel_scope.cancel()

    async def _hold(self, answers: bool) -> None:
        if self.mode is Mode.DELAYED:
            await anyio.sleep(self.delay_seconds)
        while self.mode is Mode.SILENT or (
            self.mode is Mode.ONE_WAY and answers
        ):
            await anyio.sleep(HOLD_CHECK_SECONDS)
