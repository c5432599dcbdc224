"""Sends an answer to its caller while it is being generated."""

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

# A caller that reads slower than its answer is generated holds up its own
# generation when so much waits for it, and nobody else's.
MAX_BUFFERED_CHUNKS = 64
# What a response to nobody is logged with.
CALLER_GONE_STATUS = 499

Frame = collections.abc.Callable[[backends.Chunk], bytes]
Finish = collections.abc.Callable[[str], None]


class CompletionStreamResponse(starlette.responses.Response):
    """An answer as server-sent events.

    One task reads the chunks and another one sends whatever has come since
    it last sent, as one event where the chunks are of one weight version. So
    the cost of sending falls as the load grows.

    Parameters
    ----------
    request_id : str
        Of the caller.
    chunks : async generator of Chunk
        The answer; closed at the end, also when the caller goes away.
    frame : callable
        Makes the event of a chunk.
    finish : callable
        Told the outcome when the answer has ended.
    """

    def __init__(
        self,
        request_id: str,
        first: backends.Chunk,
        chunks: collections.abc.AsyncGenerator[backends.Chunk, None],
        frame: Frame,
        finish: Finish,
    ) -> None:
        super().__init__(
            media_type='text/event-stream',
            headers={'x-request-id': request_id},
        )
        del self.headers['content-length']
        self._request_id = request_id
        self._chunks = chunks
        self._frame = frame
        self._finish = finish
        self._buffer = [first]
        self._error: errors.RequestError | None = None
        self._ended = False
        self._ready = anyio.Event()
        self._drained = anyio.Event()

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Send the answer; stop generating when the caller goes away."""
        await _send_start(send, self)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_at_disconnect, receive, tasks)
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
                    self._drained = anyio.Event()
                    await self._drained.wait()
        except errors.RequestError as error:
            self._error = error
        self._ended = True
        self._ready.set()

    async def _write(self, send: starlette.types.Send) -> None:
        while True:
            taken, self._buffer = self._buffer, []
            ended = self._ended
            self._ready = anyio.Event()
            self._drained.set()
            parts = [self._frame(chunk) for chunk in merge_chunks(taken)]
            if ended:
                parts.append(self._frame_end())
            await _send_part(send, b''.join(parts), more=not ended)
            if ended:
                return
            if not self._buffer and not self._ended:
                await self._ready.wait()

    def _frame_end(self) -> bytes:
        if self._error is None:
            self._finish('complete')
            return web.format_event(b'[DONE]')
        LOG.warning('stream %s ended early: %s', self._request_id, self._error)
        self._finish(self._error.outcome)
        body = web.describe_error(self._error, self._request_id)
        return web.format_event(msgspec.json.encode(body), name='error')


class RelayedStreamResponse(starlette.responses.Response):
    """A relayed stream; a connection that closes early says it broke off.

    Parameters
    ----------
    stream : RelayedStream
        What is sent on.
    finish : callable
        Told the outcome when the answer has ended.
    """

    def __init__(
        self, stream: _relaying.RelayedStream, finish: Finish
    ) -> None:
        super().__init__(status_code=stream.status)
        del self.headers['content-length']
        self._stream = stream
        self._finish = finish

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Send the stream; end it when the caller goes away."""
        await _send_start(send, self)
        outcome = 'caller_gone'
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_at_disconnect, receive, tasks)
                outcome = await self._relay(send)
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._stream.rest.aclose()
            self._finish(outcome)

    async def _relay(self, send: starlette.types.Send) -> str:
        """Send all events and return the outcome."""
        try:
            if self._stream.first is not None:
                await _send_part(send, self._stream.first.frame)
            async for event in self._stream.rest:
                await _send_part(send, event.frame)
        except errors.RequestError as error:
            # Without a last part, the server closes the connection.
            LOG.warning('stream broken off: %s', error)
            return error.outcome
        await _send_part(send, b'', more=False)
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


async def _send_part(
    send: starlette.types.Send, part: bytes, more: bool = True
) -> None:
    await send({'type': 'http.response.body', 'body': part, 'more_body': more})


def merge_chunks(
    chunks: collections.abc.Iterable[backends.Chunk],
) -> list[backends.Chunk]:
    """Join neighbouring chunks of one weight version."""
    merged: list[backends.Chunk] = []
    run: list[backends.Chunk] = []
    for chunk in chunks:
        if run and run[0].weight_version != chunk.weight_version:
            merged.append(_join(run))
            run = []
        run.append(chunk)
    if run:
        merged.append(_join(run))
    return merged


def _join(run: list[backends.Chunk]) -> backends.Chunk:
    if len(run) == 1:
        return run[0]
    return backends.Chunk(
        ''.join(chunk.text for chunk in run),
        run[0].offset,
        sum(chunk.tokens for chunk in run),
        run[0].weight_version,
        run[-1].finish_reason,
    )


async def _cancel_at_disconnect(
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
    """Return the response of `work`; cancel it when the caller goes away.

    Raises
    ------
    RequestError
        As `work` does.
    """
    response = starlette.responses.Response(status_code=CALLER_GONE_STATUS)
    failure: errors.RequestError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_at_disconnect, request.receive, tasks)
        try:
            response = await work()
        except errors.RequestError as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return response
