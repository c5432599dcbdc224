"""The connections of clients to a listener."""

import asyncio
import ssl
import typing

import h11
import hypercorn.asyncio.run
import hypercorn.asyncio.tcp_server
import hypercorn.events

from swiftjunction.web import _client_policy
from swiftjunction.web import _http1
from swiftjunction.web import _memory

# What is read and written at once. A connection buffers some times as much.
READ_BYTES = 32 * 1024
WRITE_BYTES = 64 * 1024
# What a connection may have buffered of requests that are sent ahead.
READ_AHEAD_BYTES = 96 * 1024


class ClientConnection(hypercorn.asyncio.tcp_server.TCPServer):
    """Serves one connection within the limits of its listener.

    Nothing more of it is run or written once it is lost.
    """

    # Set by `_make_protocol`.
    protocol: _http1.Http1Protocol  # type: ignore[assignment]

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        # hypercorn's configuration is that of `HttpListener`.
        config: typing.Any = self.config
        policy: _client_policy.ClientPolicy = config.policy
        _, port, *_ = self.writer.get_extra_info('sockname')
        self._table = policy.get_table(port)
        self._account = policy.budget.open_account()
        self._ahead = self._account.open_hold()
        self._is_lost = False
        self._is_receiving = False
        self._received_at = self.loop.time()
        self._head_began_at: float | None = None
        self._writing_since: float | None = None
        self._ending: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        _memory.set_account(self._account)
        # Bounds what one read adds to the buffer.
        self.writer.transport.max_size = (  # type: ignore[attr-defined]
            READ_BYTES
        )
        try:
            await super().run()
        finally:
            self._table.remove(self)
            self._account.close()

    @property
    def descriptor(self) -> int:
        """Return the descriptor of the socket; -1 if it is closed."""
        return self.writer.get_extra_info('socket').fileno()

    @property
    def is_ahead(self) -> bool:
        """Return whether the client has sent requests ahead."""
        return self._ahead.size > 0

    @property
    def head_began_at(self) -> float | None:
        """Return when the first byte of an incomplete head came."""
        return self._head_began_at if self._is_receiving else None

    @property
    def writing_since(self) -> float | None:
        """Return since when the client has not read what is written."""
        return self._writing_since

    @property
    def stalled_since(self) -> float | None:
        """Return since when the client has held a body or response up."""
        if self._writing_since is not None:
            return self._writing_since
        state = self.protocol.connection.their_state
        if self._is_receiving and state is h11.SEND_BODY:
            return self._received_at
        return None

    def lose(self) -> None:
        """Abort the connection and stop its request."""
        self._is_lost = True
        self._account.close()
        self.writer.transport.abort()
        # Its own tasks may wait for one another.
        self._ending = self.loop.create_task(
            self.protocol.handle(hypercorn.events.Closed())
        )

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Write bytes, close the connection or note what it waits for."""
        if isinstance(event, hypercorn.events.RawData):
            await self._write(event.data)
        elif isinstance(event, _http1.ReadAhead):
            self._set_ahead(event.is_ahead)
        else:
            if isinstance(event, hypercorn.events.Updated):
                self._update_idle(event.idle)
            elif isinstance(event, hypercorn.events.Closed):
                self.protocol.end()
            await super().protocol_send(event)

    def _update_idle(self, is_idle: bool) -> None:
        self._table.set_idle(self, is_idle)
        if is_idle:
            # The response is written, and its request has ended.
            self._account.release_all()
            self._ahead = self._account.open_hold()

    def _set_ahead(self, is_ahead: bool) -> None:
        """Stop reading while there are requests ahead."""
        if not is_ahead:
            self._ahead.release()
            self._ahead = self._account.open_hold()
            self.writer.transport.resume_reading()  # type: ignore
            return
        self.writer.transport.pause_reading()  # type: ignore
        if not self._ahead.try_grow(READ_AHEAD_BYTES):
            self.lose()

    async def _read_data(self) -> None:
        self._table.add(self)
        while not self._is_lost and not self.reader.at_eof():
            self._is_receiving = True
            try:
                data = await self.reader.read(READ_BYTES)
            except (OSError, ssl.SSLError):
                break
            finally:
                self._is_receiving = False
            if data:
                self._received_at = self.loop.time()
                await self.protocol.handle(hypercorn.events.RawData(data))
                self._update_head()
        await self.protocol.handle(hypercorn.events.Closed())

    def _update_head(self) -> None:
        if not self.protocol.has_partial_head():
            self._head_began_at = None
        elif self._head_began_at is None:
            self._head_began_at = self._received_at

    async def _write(self, data: bytes) -> None:
        async with self.send_lock:
            if self._is_lost:
                return
            if not self._cover(len(data)):
                self.lose()
                return
            try:
                await self._write_parts(data)
            except (ConnectionError, RuntimeError):
                # asyncio raises the same exception for each later write, so
                # that its traceback would hold the frames of all of them.
                self._is_lost = True
                await self.protocol.handle(hypercorn.events.Closed())
            finally:
                self._writing_since = None

    def _cover(self, size: int) -> bool:
        """Hold what is written, unless it is held as it was received."""
        if size <= WRITE_BYTES:
            return True
        missing = size - self._account.held_bytes
        return missing <= 0 or self._account.open_hold().try_grow(missing)

    async def _write_parts(self, data: bytes) -> None:
        """Write bytes, copying only what the transport buffers."""
        view = memoryview(data)
        for start in range(0, len(data), WRITE_BYTES):
            self._writing_since = self.loop.time()
            self.writer.write(view[start : start + WRITE_BYTES])
            await self.writer.drain()

    async def _close(self) -> None:
        # What the client does not read would keep the connection open.
        if self._writing_since is None:
            self._writing_since = self.loop.time()
        if self._is_lost:
            self.writer.transport.abort()
        await super()._close()


def replace_connections() -> None:
    """Have hypercorn serve connections with the classes of this package."""
    run: typing.Any = hypercorn.asyncio.run
    run.TCPServer = ClientConnection
    tcp_server: typing.Any = hypercorn.asyncio.tcp_server
    tcp_server.ProtocolWrapper = _make_protocol


def _make_protocol(*arguments: typing.Any) -> _http1.Http1Protocol:
    """Return the protocol of a connection, whatever TLS agreed on."""
    *shared_arguments, _ = arguments
    return _http1.Http1Protocol(*shared_arguments)
