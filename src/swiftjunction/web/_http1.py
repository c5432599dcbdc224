"""HTTP/1.1 on one connection of a client, on hypercorn's protocol.

Requests that a client sends ahead are started one after the other, each once
the response before it is written. None is started once the connection is lost.
"""

import h11
import hypercorn.events
import hypercorn.protocol.events
import hypercorn.protocol.h11
import hypercorn.protocol.http_stream

STREAM_ID = hypercorn.protocol.h11.STREAM_ID


class Http1Protocol(hypercorn.protocol.h11.H11Protocol):
    """Reads requests and writes responses until the connection is lost."""

    _is_closed = False

    async def handle(self, event: hypercorn.events.Event) -> None:
        """Handle received bytes, or the loss of the connection."""
        if isinstance(event, hypercorn.events.Closed):
            self._is_closed = True
            await super().handle(event)
            # Whoever waits for the response to be written need not any more.
            await self.can_read.set()
        elif not self._is_closed:
            await super().handle(event)

    async def stream_send(
        self, event: hypercorn.protocol.events.Event
    ) -> None:
        """Write a part of a response; ignored once the connection is lost."""
        if not self._is_closed:
            await super().stream_send(event)

    async def _handle_events(self) -> None:
        while not self._is_closed:
            if self.connection.they_are_waiting_for_100_continue:
                await self._send_h11_event(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse(error)
                return
            if event is h11.PAUSED:
                await self.can_read.clear()
                await self.can_read.wait()
            elif not await self._handle_event(event):
                return

    async def _handle_event(self, event: object) -> bool:
        """Handle an event of the parser; return whether more may follow."""
        if isinstance(event, h11.Request):
            await self.send(hypercorn.events.Updated(idle=False))
            await self._check_protocol(event)
            await self._create_stream(event)
            return True
        if self.stream is None:
            return False
        if isinstance(event, (h11.Data, hypercorn.protocol.events.Data)):
            await self.stream.handle(
                hypercorn.protocol.events.Body(
                    stream_id=STREAM_ID, data=event.data
                )
            )
            return True
        if isinstance(event, h11.EndOfMessage):
            await self.stream.handle(
                hypercorn.protocol.events.EndBody(stream_id=STREAM_ID)
            )
            return True
        return False

    async def _refuse(self, error: h11.RemoteProtocolError) -> None:
        """Answer bytes that are no request, and close the connection."""
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(error.error_status_hint)
        await self.send(hypercorn.events.Closed())
