"""Streamed responses, sent while they are being produced."""

import collections.abc
import logging
import typing

import anyio
import anyio.abc
import msgspec
import starlette.requests
import starlette.responses
import starlette.types

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _relaying
from swiftjunction import web

LOG = logging.getLogger(__name__)

# A caller that reads too slowly pauses only its own generation, once this many
# chunks are buffered.
MAX_BUFFERED_CHUNKS = 64
# The status that nginx logs for a client that disconnected. A handler has to
# return some response, but nobody receives this one.
CALLER_DISCONNECTED_STATUS = 499

FormatChunk = collections.abc.Callable[[backends.Chunk], bytes]
ReportOutcome = collections.abc.Callable[[str], None]


class CompletionStreamResponse(starlette.responses.Response):
    """A completion as a response of server-sent events.

    One task reads chunks into a buffer while another task sends the buffered
    chunks, merging consecutive chunks of one weight version into one event.
    The cost of sending a chunk thus falls as the load grows.

    Parameters
    ----------
    request_id : str
        The id of the request, as the caller knows it.
    first : Chunk
        The first chunk.
    chunks : async generator of Chunk
        The other chunks; closed at the end, also when the caller disconnects.
    format_chunk : callable
        Formats a chunk as an event.
    on_end : callable
        Called with the outcome when the stream ends; not called if the caller
        disconnects before.
    """

    def __init__(
        self,
        request_id: str,
        first: backends.Chunk,
        chunks: collections.abc.AsyncGenerator[backends.Chunk, None],
        format_chunk: FormatChunk,
        on_end: ReportOutcome,
    ) -> None:
        super().__init__(
            media_type='text/event-stream',
            headers={'x-request-id': request_id},
        )
        del self.headers['content-length']
        self._request_id = request_id
        self._chunks = chunks
        self._format_chunk = format_chunk
        self._on_end = on_end
        self._buffer = [first]
        self._error: errors.RequestError | None = None
        self._ended = False
        self._ready = anyio.Event()
        self._buffer_emptied = anyio.Event()

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Send the response; stop generating if the caller disconnects."""
        await _send_start(send, self)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks)
                tasks.start_soon(self._read)
                await self._write(send)
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._chunks.aclose()

    async def _read(self) -> None:
        try:
            async for chunk in self._chunks:
                self._buffer.append(chunk)
                self._ready.set()
                if len(self._buffer) >= MAX_BUFFERED_CHUNKS:
                    self._buffer_emptied = anyio.Event()
                    await self._buffer_emptied.wait()
        except errors.RequestError as error:
            self._error = error
        self._ended = True
        self._ready.set()

    async def _write(self, send: starlette.types.Send) -> None:
        while True:
            chunks, self._buffer = self._buffer, []
            ended = self._ended
            self._ready = anyio.Event()
            self._buffer_emptied.set()
            parts = [
                self._format_chunk(chunk) for chunk in merge_chunks(chunks)
            ]
            if ended:
                parts.append(self._format_end())
            await _send_body(send, b''.join(parts), more=not ended)
            if ended:
                return
            if not self._buffer and not self._ended:
                await self._ready.wait()

    def _format_end(self) -> bytes:
        if self._error is None:
            self._on_end('complete')
            return web.format_event(b'[DONE]')
        LOG.warning('stream %s ended early: %s', self._request_id, self._error)
        self._on_end(self._error.outcome)
        body = web.describe_error(self._error, self._request_id)
        return web.format_event(msgspec.json.encode(body), name='error')


class RelayedStreamResponse(starlette.responses.Response):
    """A relayed stream as a response.

    If the stream fails, the connection closes before the end of the response,
    which tells the caller that it is incomplete.

    Parameters
    ----------
    stream : RelayedStream
        The stream to send.
    on_end : callable
        Called with the outcome when the response ends, also if the caller
        disconnects.
    """

    def __init__(
        self, stream: _relaying.RelayedStream, on_end: ReportOutcome
    ) -> None:
        super().__init__(status_code=stream.status)
        del self.headers['content-length']
        self._stream = stream
        self._on_end = on_end

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Send the stream; close it if the caller disconnects."""
        await _send_start(send, self)
        outcome = 'caller_gone'
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks)
                outcome = await self._relay(send)
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._stream.rest.aclose()
            self._on_end(outcome)

    async def _relay(self, send: starlette.types.Send) -> str:
        """Send all events and return the outcome."""
        try:
            if self._stream.first is not None:
                await _send_body(send, self._stream.first.frame)
            async for event in self._stream.rest:
                await _send_body(send, event.frame)
        except errors.RequestError as error:
            # Without the final message, the HTTP server closes the connection.
            LOG.warning('relayed stream ended early: %s', error)
            return error.outcome
        await _send_body(send, b'', more=False)
        return 'complete'


async def _send_start(
    send: starlette.types.Send, response: starlette.responses.Response
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': response.status_code,
            'headers': response.raw_headers,
        }
    )


async def _send_body(
    send: starlette.types.Send, part: bytes, more: bool = True
) -> None:
    await send({'type': 'http.response.body', 'body': part, 'more_body': more})


def merge_chunks(
    chunks: collections.abc.Iterable[backends.Chunk],
) -> list[backends.Chunk]:
    """Merge consecutive chunks of the same weight version."""
    merged: list[backends.Chunk] = []
    same_version: list[backends.Chunk] = []
    for chunk in chunks:
        if (
            same_version
            and same_version[0].weight_version != chunk.weight_version
        ):
            merged.append(_merge(same_version))
            same_version = []
        same_version.append(chunk)
    if same_version:
        merged.append(_merge(same_version))
    return merged


def _merge(same_version: list[backends.Chunk]) -> backends.Chunk:
    if len(same_version) == 1:
        return same_version[0]
    return backends.Chunk(
        ''.join(chunk.text for chunk in same_version),
        same_version[0].offset,
        sum(chunk.tokens for chunk in same_version),
        same_version[0].weight_version,
        same_version[-1].finish_reason,
    )


async def _cancel_on_disconnect(
    receive: starlette.types.Receive, tasks: anyio.abc.TaskGroup
) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            tasks.cancel_scope.cancel()
            return


async def run_while_connected(
    request: starlette.requests.Request,
    work: collections.abc.Callable[
        [],
        collections.abc.Coroutine[
            typing.Any, typing.Any, starlette.responses.Response
        ],
    ],
) -> starlette.responses.Response:
    """Return the response of `work`; cancel it if the caller disconnects.

    Raises
    ------
    RequestError
        If `work` raises it.
    """
    response = starlette.responses.Response(
        status_code=CALLER_DISCONNECTED_STATUS
    )
    request_error: errors.RequestError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, request.receive, tasks)
        try:
            response = await work()
        except errors.RequestError as error:
            request_error = error
        tasks.cancel_scope.cancel()
    if request_error is None:
        return response
    try:
        raise request_error
    finally:
        # Its traceback refers to this frame: the cycle would keep the body of
        # the request until the next garbage collection.
        del request_error
