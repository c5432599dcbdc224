"""HTTP/1.1 on one connection of a client, on hypercorn's protocol.

Requests that a client sends ahead are started one after the other, each once
the response before it is written. None is started once the connection is lost.

HTTP/2 is refused, as one connection could begin many requests at once, and
upgrades are ignored: a client that asks for one gets a response over HTTP/1.1.
"""

import dataclasses
import http
import typing

import h11
import hypercorn.events
import hypercorn.protocol.events
import hypercorn.protocol.h11

from swiftjunction.web import _memory
from swiftjunction.web import _targets

STREAM_ID = hypercorn.protocol.h11.STREAM_ID
VERSIONS = frozenset({b'1.0', b'1.1'})


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAhead(hypercorn.events.Event):
    """There are requests that wait for a response, or none any more."""

    is_ahead: bool


class Http1Protocol(hypercorn.protocol.h11.H11Protocol):
    """Reads requests and writes responses until the connection is lost."""

    _is_closed = False
    # The body of the request that is read; None if nothing counts it here.
    _body_hold: _memory.MemoryHold | None = None

    async def handle(self, event: hypercorn.events.Event) -> None:
        """Handle received bytes, or the loss of the connection."""
        if isinstance(event, hypercorn.events.Closed):
            self._is_closed = True
            await super().handle(event)
            # Whoever waits for the response to be written need not any more.
            await self.can_read.set()
        elif not self._is_closed:
            await super().handle(event)

    def end(self) -> None:
        """Start nothing more, as the connection is closed."""
        self._is_closed = True

    def has_partial_head(self) -> bool:
        """Return whether the client has sent a part of a head."""
        is_idle = self.connection.their_state is h11.IDLE
        return is_idle and bool(self.connection.trailing_data[0])

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
                await self._refuse(error.error_status_hint)
                return
            if event is h11.PAUSED:
                await self.can_read.clear()
                await self.send(ReadAhead(True))
                await self.can_read.wait()
                await self.send(ReadAhead(False))
            elif not await self._handle_event(event):
                return

    async def _handle_event(self, event: object) -> bool:
        """Handle an event of the parser; return whether more may follow."""
        if isinstance(event, h11.Request):
            if event.http_version not in VERSIONS:
                await self._refuse(http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
                return False
            await self.send(hypercorn.events.Updated(idle=False))
            self._open_body()
            await self._create_stream(event)
            return True
        if self.stream is None:
            return False
        if isinstance(event, h11.Data):
            if not self._hold_body(len(event.data)):
                await self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
                return False
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

    async def _create_stream(self, request: h11.Request) -> None:
        """Start a request, also one that asks for an upgrade."""
        self.stream = _targets.TargetStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            hypercorn.protocol.events.Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode('ascii').upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    def _hold_body(self, size: int) -> bool:
        """Hold a part of a body; return whether there is room."""
        return self._body_hold is None or self._body_hold.try_grow(size)

    def _open_body(self) -> None:
        """Count the body of a new request, if nothing else does."""
        # hypercorn's configuration is that of `HttpListener`.
        config: typing.Any = self.config
        account = _memory.get_account()
        if account is not None and config.policy.counts_bodies:
            self._body_hold = account.open_hold()

    async def _refuse(self, status: int) -> None:
        """Answer what is no complete request, and close the connection."""
        # The application stops, and whatever it still sends is dropped.
        await self._close_stream()
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(status)
        await self.send(hypercorn.events.Closed())
