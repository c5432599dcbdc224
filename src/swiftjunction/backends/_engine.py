"""Client of the model engines."""

import collections.abc
import contextlib
import typing

import anyio
import httpx
import msgspec

from swiftjunction.backends import _http
from swiftjunction.backends import _orders
from swiftjunction.backends import _pacing
from swiftjunction.backends import _server
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import web

CANCEL_TIMEOUT_SECONDS = 2.0
# The renewal interval, the renewal timeout and this must together be shorter
# than a lease.
ORDER_TIMEOUT_SECONDS = 3.0
# Chunks that follow each other faster were returned by the same read.
SAME_READ_SECONDS = 0.002
# Maximum time to wait for the end of a stream after its last chunk.
STREAM_END_TIMEOUT_SECONDS = 0.05


class EngineCall(msgspec.Struct, frozen=True):
    """A request to an engine to generate text.

    Attributes
    ----------
    generated : str
        The text generated so far, which the engine continues.
    generated_tokens : int
        The number of tokens in `generated`.
    priority : int
        Requests of a higher priority run first.
    timeout_seconds : float
        The time that remains until the deadline.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int = 0
    generated: str = ''
    generated_tokens: int = 0
    priority: int = 0
    timeout_seconds: float = 30.0


class Chunk(msgspec.Struct, frozen=True):
    """A part of a completion, of one or more tokens.

    Attributes
    ----------
    offset : int
        The index of the first token in the whole completion.
    tokens : int
        The number of tokens.
    weight_version : int
        The version that generated them; 0 if the engine did not report it.
    finish_reason : str
        Empty except in the last chunk.
    """

    text: str
    offset: int
    tokens: int
    weight_version: int
    finish_reason: str = ''


class _WireChoice(msgspec.Struct):
    text: str = ''
    finish_reason: str | None = None


class _WireChunk(msgspec.Struct):
    choices: list[_WireChoice]
    offset: int
    tokens: int
    weight_version: int = 0
    id: str = ''


_chunk_decoder = msgspec.json.Decoder(_WireChunk)


class EngineClient:
    """Calls model engines.

    Parameters
    ----------
    peers : PeerClients
        The HTTP clients by address.
    """

    __slots__ = ('_pacing', '_peers')

    def __init__(self, peers: web.PeerClients) -> None:
        self._peers = peers
        self._pacing = _pacing.ReadPacing()

    async def stream(
        self, server: _server.BackendServer, call: EngineCall
    ) -> collections.abc.AsyncGenerator[Chunk, None]:
        """Start a generation and yield its chunks.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If the generation did not run.
        AnswerBroken
            If the stream ended before the last chunk.
        """
        body = {
            'model': call.model,
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'seed': call.seed,
            'stream': True,
            'priority': call.priority,
            'generated': call.generated,
            'generated_tokens': call.generated_tokens,
        }
        request = self._peers.get_direct(server.address).send(
            'POST',
            '/v1/completions',
            content=msgspec.json.encode(body),
            headers=[
                ('content-type', 'application/json'),
                ('x-request-id', call.request_id),
                ('x-timeout-seconds', f'{call.timeout_seconds:.3f}'),
            ],
            timeout_seconds=call.timeout_seconds,
            request_id=call.request_id,
            is_stream=True,
        )
        async for chunk in self._read_chunks(server, call, request):
            yield chunk

    async def resume(
        self,
        server: _server.BackendServer,
        call: EngineCall,
        offset: int,
    ) -> collections.abc.AsyncGenerator[Chunk, None]:
        """Yield the chunks of a running generation from token `offset` on."""
        request = self._peers.get_direct(server.address).send(
            'GET',
            f'/v1/completions/{call.request_id}?offset={offset}',
            timeout_seconds=call.timeout_seconds,
            request_id=call.request_id,
            is_stream=True,
        )
        async for chunk in self._read_chunks(server, call, request):
            yield chunk

    async def _read_chunks(
        self,
        server: _server.BackendServer,
        call: EngineCall,
        request: collections.abc.Coroutine[
            typing.Any, typing.Any, httpx.Response
        ],
    ) -> collections.abc.AsyncGenerator[Chunk, None]:
        step, peer = 'generate', server.name
        with _http.translate_errors(step, peer):
            response = await request
        _http.update_from_headers(response, server, call.request_id, step)
        try:
            _check_response(response, server, step)
            bounded = web.bound_events(response, call.timeout_seconds)
            with (
                self._pacing.count_stream(),
                _http.translate_errors(step, peer),
            ):
                started_at = read_at = anyio.current_time()
                # Chunks that repeat known tokens are no progress.
                end = 0
                events = web.read_events(response)
                async for event in events:
                    if event.data == '[DONE]':
                        break
                    chunk = _decode_chunk(event.data, call, peer)
                    if chunk.offset + chunk.tokens > end:
                        end = chunk.offset + chunk.tokens
                        bounded.record_event()
                    if chunk.finish_reason:
                        await _read_to_end(events)
                        yield chunk
                        return
                    yield chunk
                    # Buffered chunks follow without a wait; a longer time
                    # since the last read means that the socket was read.
                    now = anyio.current_time()
                    if now - read_at > SAME_READ_SECONDS:
                        pause_seconds = self._pacing.compute_pause(
                            now - started_at
                        )
                        await anyio.sleep(pause_seconds)
                        read_at = anyio.current_time()
        finally:
            await response.aclose()
        raise errors.AnswerBroken(
            'stream ended before the last chunk', step=step, peer=peer
        )

    async def cancel(
        self, server: _server.BackendServer, request_id: str
    ) -> None:
        """Cancel a generation whose completion is no longer needed."""
        url = f'/v1/completions/{request_id}'
        client = self._peers.get(server.address)
        with _http.translate_errors('cancel', server.name):
            try:
                with anyio.fail_after(CANCEL_TIMEOUT_SECONDS):
                    await client.delete(
                        url,
                        timeout=CANCEL_TIMEOUT_SECONDS,
                        extensions=web.SHORT_BODY,
                    )
            except TimeoutError as error:
                raise errors.AnswerBroken(
                    'timed out waiting for the end of the response',
                    step='cancel',
                    peer=server.name,
                ) from error

    async def send_order(
        self,
        address: str,
        order: _orders.Order,
        check_lease: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Send an order to the engine at `address`.

        Parameters
        ----------
        check_lease : callable
            Called when the connection is established, just before the first
            byte is sent; if it raises an exception, nothing is sent.

        Raises
        ------
        BackendUnreachable
            If nothing was sent.
        BackendRefused
            If the engine refused the order, for example because of an old
            fencing token.
        AnswerBroken
            If it is unknown whether the engine accepted the order.
        """

        async def trace(event: str, info: dict[str, typing.Any]) -> None:
            if check_lease is not None and event == web.REQUEST_START_EVENT:
                check_lease()

        with _http.translate_errors('order', address):
            response = await self._peers.get(address).post(
                '/orders',
                content=msgspec.json.encode(order),
                timeout=ORDER_TIMEOUT_SECONDS,
                extensions={'trace': trace, **web.SHORT_BODY},
            )
        if response.status_code == 409:
            raise errors.BackendRefused(
                f'engine refused the order: {response.text[:200]}',
                step='order',
                peer=address,
            )
        if not response.is_success:
            raise errors.AnswerBroken(
                f'engine responded with status {response.status_code}',
                step='order',
                peer=address,
            )

    async def watch(
        self, address: str
    ) -> collections.abc.AsyncIterator[_orders.EngineStatus]:
        """Yield the status of the engine now and after each change."""
        with _http.translate_errors('watch', address):
            async with self._peers.get(address).stream(
                'GET',
                '/events',
                headers={'accept': web.EVENT_STREAM_TYPE},
                timeout=_orders.STATUS_TIMEOUT_SECONDS,
                extensions=web.UNBOUNDED_STREAM,
            ) as response:
                _check_event_stream(response, 'watch', address)
                bounded = web.bound_events(
                    response, _orders.STATUS_TIMEOUT_SECONDS
                )
                async for event in web.read_events(response):
                    bounded.record_event()
                    if event.name == 'status':
                        yield _orders.decode_status(event.data, address)


async def _read_to_end(
    events: collections.abc.AsyncIterator[web.ServerEvent],
) -> None:
    """Read the rest of the stream, so that the connection can be reused.

    Errors are ignored, as the completion has already arrived.
    """
    with (
        anyio.move_on_after(STREAM_END_TIMEOUT_SECONDS),
        contextlib.suppress(httpx.HTTPError, httpx.StreamError),
    ):
        async for _ in events:
            pass


def _check_response(
    response: httpx.Response, server: _server.BackendServer, step: str
) -> None:
    _http.check_refusal(response, step, server.name)
    if response.status_code == httpx.codes.NOT_FOUND:
        raise errors.ServerCrashed(
            'engine responded with status 404 and may have restarted',
            step=step,
            peer=server.name,
        )
    if not response.is_success:
        raise errors.AnswerBroken(
            f'engine responded with status {response.status_code}',
            step=step,
            peer=server.name,
        )
    _check_event_stream(response, step, server.name)


def _check_event_stream(
    response: httpx.Response, step: str, peer: str
) -> None:
    content_type = response.headers.get('content-type', '')
    if not content_type.startswith(web.EVENT_STREAM_TYPE):
        raise errors.AnswerBroken(
            f'content type is {content_type!r} instead of an event stream',
            step=step,
            peer=peer,
        )


def _decode_chunk(data: str, call: EngineCall, peer: str) -> Chunk:
    try:
        wire = decoding.decode(_chunk_decoder.decode, data)
    except errors.ContentBroken as error:
        raise errors.AnswerBroken(
            f'invalid chunk: {error}', step='generate', peer=peer
        ) from error
    if not wire.choices or wire.id != call.request_id:
        raise errors.AnswerBroken(
            f'chunk has no choices or another request id: {wire.id!r}',
            step='generate',
            peer=peer,
        )
    if wire.offset + wire.tokens > call.max_tokens or wire.tokens < 0:
        raise errors.AnswerBroken(
            f'chunk exceeds the {call.max_tokens} tokens requested',
            step='generate',
            peer=peer,
        )
    choice: typing.Any = wire.choices[0]
    if choice.text and not wire.tokens:
        raise errors.AnswerBroken(
            'chunk has text without tokens', step='generate', peer=peer
        )
    return Chunk(
        choice.text,
        wire.offset,
        wire.tokens,
        wire.weight_version,
        choice.finish_reason or '',
    )
