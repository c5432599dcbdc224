"""The connections of clients to a listener."""

import typing

import hypercorn.asyncio.run
import hypercorn.asyncio.tcp_server
import hypercorn.events

from swiftjunction.web import _http1


class ClientConnection(hypercorn.asyncio.tcp_server.TCPServer):
    """Serves one connection, and nothing more of it once it is lost."""

    _is_lost = False

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Write bytes, close the connection or note whether it is idle."""
        if not isinstance(event, hypercorn.events.RawData):
            await super().protocol_send(event)
            return
        async with self.send_lock:
            if self._is_lost:
                return
            try:
                self.writer.write(event.data)
                await self.writer.drain()
            except (ConnectionError, RuntimeError):
                # asyncio raises the same exception for each later write, so
                # that its traceback would hold the frames of all of them.
                self._is_lost = True
                await self.protocol.handle(hypercorn.events.Closed())


def replace_connections() -> None:
    """Have hypercorn serve connections with the classes of this package."""
    # mypy takes an assignment to a class for a redefinition.
    hypercorn.asyncio.run.TCPServer = ClientConnection  # type: ignore[misc]
    tcp_server: typing.Any = hypercorn.asyncio.tcp_server
    tcp_server.ProtocolWrapper = _make_protocol


def _make_protocol(*arguments: typing.Any) -> _http1.Http1Protocol:
    """Return the protocol of a connection, whatever TLS agreed on."""
    *shared_arguments, _ = arguments
    return _http1.Http1Protocol(*shared_arguments)
