"""The HTTP interface of the engine stand-in."""

import collections.abc

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import backends
from swiftjunction.standins import _engine
from swiftjunction.standins import _generations
from swiftjunction.standins import _stream_forms
from swiftjunction.standins import _texts
from swiftjunction import web

EVENT_CHECK_INTERVAL_SECONDS = 0.05


class EngineStandin(_engine.Engine):
    """A simulated engine that serves requests over HTTP."""

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return _build_app(self)


def _build_app(
    engine: _engine.Engine,
) -> starlette.applications.Starlette:
    """Return the HTTP application of `engine`."""
    app = _EngineApp(engine)
    route = starlette.routing.Route
    return starlette.applications.Starlette(
        routes=[
            route('/v1/completions', app.create_completion, methods=['POST']),
            route('/v1/completions/{request_id}', app.resume_completion),
            route(
                '/v1/completions/{request_id}',
                app.cancel_completion,
                methods=['DELETE'],
            ),
            route('/v1/kv/{request_id}', app.export_kv),
            route('/v1/kv/{request_id}', app.import_kv, methods=['PUT']),
            route('/orders', app.apply_order, methods=['POST']),
            route('/events', app.stream_events),
            route('/health', app.get_health),
            route('/runs', app.get_runs),
            engine.faults.make_route(),
        ]
    )


class _EngineApp:
    def __init__(self, engine: _engine.Engine) -> None:
        self._engine = engine

    async def create_completion(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        body = msgspec.json.decode(await request.body())
        if not self._engine.accepts_work():
            self._engine.refusal_count += 1
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._make_headers()
                | {'x-request-outcome': 'not-run'},
            )
        prompt, seed = body['prompt'], body.get('seed', 0)
        state = _generations.KvCacheState(
            body.get('model', ''),
            prompt,
            seed,
            _texts.count_tokens(prompt, seed, body['max_tokens']),
            body.get('generated_tokens', 0),
        )
        generation = self._engine.enqueue(
            request.headers.get('x-request-id', ''),
            state,
            body.get('priority', 0),
        )
        return self._make_stream_response(generation, generation.position)

    async def resume_completion(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        generation = self._engine.find_generation(
            request.path_params['request_id']
        )
        if generation is None or generation.cancelled:
            return web.respond_json({'error': 'unknown'}, status=404)
        offset = int(request.query_params.get('offset', '0'))
        return self._make_stream_response(generation, offset)

    async def cancel_completion(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        self._engine.cancel(request.path_params['request_id'])
        return web.respond_json({})

    async def export_kv(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        generation = self._engine.find_generation(
            request.path_params['request_id']
        )
        if generation is None:
            return web.respond_json({'error': 'unknown'}, status=404)
        return web.respond_json(generation.export_state())

    async def import_kv(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        if not self._engine.accepts_work():
            self._engine.refusal_count += 1
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._make_headers()
                | {'x-request-outcome': 'not-run'},
            )
        state = msgspec.json.decode(
            await request.body(), type=_generations.KvCacheState
        )
        self._engine.enqueue(
            request.path_params['request_id'],
            state,
            int(request.query_params.get('priority', '0')),
            prefilled=True,
        )
        return web.respond_json({}, status=201)

    async def apply_order(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        order = msgspec.json.decode(await request.body(), type=backends.Order)
        try:
            self._engine.apply_order(order)
        except Exception as error:
            refused = getattr(error, 'refused', False)
            return web.respond_json(
                {'error': str(error)}, status=409 if refused else 500
            )
        return web.respond_json({}, status=202)

    async def stream_events(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.StreamingResponse(
            self._iter_events(), media_type='text/event-stream'
        )

    async def get_health(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        leaving = bool(self._engine.faults.get('leaving'))
        return web.respond_json({'leaving': leaving})

    async def get_runs(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json(
            {
                'runs': self._engine.runs,
                'orders': self._engine.orders,
                'refused': self._engine.refusal_count,
            }
        )

    def _make_headers(self) -> dict[str, str]:
        headers = {'x-load': f'{self._engine.report_load():.2f}'}
        if self._engine.faults.get('leaving'):
            headers['x-leaving'] = 'true'
        return headers

    def _make_stream_response(
        self, generation: _generations.Generation, offset: int
    ) -> starlette.responses.Response:
        events = self._iter_chunk_events(generation, offset)
        if self._engine.varies_streams:
            form = _stream_forms.choose_form(generation.request_id)
            events = form.apply(events)
        return starlette.responses.StreamingResponse(
            events,
            media_type='text/event-stream',
            headers=self._make_headers(),
        )

    async def _iter_chunk_events(
        self, generation: _generations.Generation, offset: int
    ) -> collections.abc.AsyncIterator[bytes]:
        index = 0
        while True:
            while index < len(generation.chunks):
                chunk = generation.chunks[index]
                index += 1
                if chunk.offset + chunk.tokens <= offset and chunk.tokens:
                    continue
                if self._engine.faults.consume('break_streams'):
                    raise ConnectionResetError('injected stream failure')
                is_last = (
                    index == len(generation.chunks)
                    and generation.position >= generation.state.total
                )
                yield _format_chunk(generation, chunk, is_last)
                if is_last:
                    yield web.format_event(b'[DONE]')
                    return
            if generation.cancelled:
                raise ConnectionResetError('the generation was cancelled')
            if generation.finished:
                # The request was complete when it started, or the client
                # already has the complete text.
                empty_chunk = _generations.TextChunk(
                    generation.position, 0, self._engine.weight_version, ''
                )
                yield _format_chunk(generation, empty_chunk, True)
                yield web.format_event(b'[DONE]')
                return
            await generation.changed.wait()

    async def _iter_events(self) -> collections.abc.AsyncIterator[bytes]:
        last_status = None
        sent_at = 0.0
        delayed_events: list[tuple[float, bytes]] = []
        sequence = 0
        faults = self._engine.faults
        while not faults.get('crashed'):
            now = anyio.current_time()
            status = self._engine.describe_status()
            if (
                status != last_status
                or now - sent_at >= backends.STATUS_INTERVAL_SECONDS
            ):
                last_status, sent_at = status, now
                yield web.format_event(
                    msgspec.json.encode(status), name='status'
                )
            changes = self._engine.cache.pop_changes()
            if changes:
                sequence += 1
                event = _format_cache_event(sequence, changes)
                if not faults.consume('cache_gaps'):
                    due_at = now + faults.get('cache_lag_seconds')
                    delayed_events.append((due_at, event))
            while delayed_events and delayed_events[0][0] <= now:
                yield delayed_events.pop(0)[1]
            await anyio.sleep(EVENT_CHECK_INTERVAL_SECONDS)
        raise ConnectionResetError('the engine has crashed')


def _format_cache_event(
    sequence: int, changes: list[tuple[str, bool]]
) -> bytes:
    body = {
        'sequence': sequence,
        'added': [block for block, added in changes if added],
        'removed': [block for block, added in changes if not added],
    }
    return web.format_event(msgspec.json.encode(body), name='cache')


def _format_chunk(
    generation: _generations.Generation,
    chunk: _generations.TextChunk,
    is_last: bool,
) -> bytes:
    choice = {
        'index': 0,
        'text': chunk.text,
        'finish_reason': 'stop' if is_last else None,
    }
    body = {
        'id': generation.request_id,
        'object': 'text_completion',
        'model': generation.state.model,
        'choices': [choice],
        'offset': chunk.offset,
        'tokens': chunk.tokens,
        'weight_version': chunk.weight_version,
    }
    return web.format_event(msgspec.json.encode(body))
