"""The HTTP interface of an engine stand-in."""

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
from swiftjunction.standins import _texts
from swiftjunction import web

STATUS_CHECK_SECONDS = 0.05


class EngineStandin(_engine.Engine):
    """An engine that is called over HTTP."""

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return _build_app(self)


def _build_app(
    engine: _engine.Engine,
) -> starlette.applications.Starlette:
    """Return the application of `engine`."""
    app = _EngineApp(engine)
    route = starlette.routing.Route
    return starlette.applications.Starlette(
        routes=[
            route('/v1/completions', app.complete, methods=['POST']),
            route('/v1/completions/{request_id}', app.resume),
            route(
                '/v1/completions/{request_id}',
                app.cancel,
                methods=['DELETE'],
            ),
            route('/v1/kv/{request_id}', app.export_kv),
            route('/v1/kv/{request_id}', app.import_kv, methods=['PUT']),
            route('/orders', app.apply_order, methods=['POST']),
            route('/events', app.send_events),
            route('/health', app.show_health),
            route('/runs', app.show_runs),
            engine.faults.make_route(),
        ]
    )


class _EngineApp:
    def __init__(self, engine: _engine.Engine) -> None:
        self._engine = engine

    async def complete(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        body = msgspec.json.decode(await request.body())
        if not self._engine.accepts_work():
            self._engine.refused += 1
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._headers() | {'x-request-outcome': 'not-run'},
            )
        prompt, seed = body['prompt'], body.get('seed', 0)
        state = _generations.KeyValueState(
            body.get('model', ''),
            prompt,
            seed,
            _texts.count_tokens(prompt, seed, body['max_tokens']),
            body.get('generated_tokens', 0),
        )
        generation = self._engine.start(
            request.headers.get('x-request-id', ''),
            state,
            body.get('priority', 0),
        )
        return self._stream(generation, generation.position)

    async def resume(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        generation = self._engine.find(request.path_params['request_id'])
        if generation is None or generation.cancelled:
            return web.respond_json({'error': 'unknown'}, status=404)
        offset = int(request.query_params.get('offset', '0'))
        return self._stream(generation, offset)

    async def cancel(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        self._engine.cancel(request.path_params['request_id'])
        return web.respond_json({})

    async def export_kv(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        generation = self._engine.find(request.path_params['request_id'])
        if generation is None:
            return web.respond_json({'error': 'unknown'}, status=404)
        return web.respond_json(generation.export())

    async def import_kv(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        if not self._engine.accepts_work():
            self._engine.refused += 1
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._headers() | {'x-request-outcome': 'not-run'},
            )
        state = msgspec.json.decode(
            await request.body(), type=_generations.KeyValueState
        )
        self._engine.start(
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

    async def send_events(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.StreamingResponse(
            self._watch(), media_type='text/event-stream'
        )

    async def show_health(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        leaving = bool(self._engine.faults.get('leaving'))
        return web.respond_json({'leaving': leaving})

    async def show_runs(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json(
            {
                'runs': self._engine.started,
                'orders': self._engine.orders,
                'refused': self._engine.refused,
            }
        )

    def _headers(self) -> dict[str, str]:
        headers = {'x-load': f'{self._engine.report_load():.2f}'}
        if self._engine.faults.get('leaving'):
            headers['x-leaving'] = 'true'
        return headers

    def _stream(
        self, generation: _generations.Generation, offset: int
    ) -> starlette.responses.Response:
        return starlette.responses.StreamingResponse(
            self._frame(generation, offset),
            media_type='text/event-stream',
            headers=self._headers(),
        )

    async def _frame(
        self, generation: _generations.Generation, offset: int
    ) -> collections.abc.AsyncIterator[bytes]:
        index = 0
        while True:
            while index < len(generation.pieces):
                piece = generation.pieces[index]
                index += 1
                if piece.offset + piece.tokens <= offset and piece.tokens:
                    continue
                if self._engine.faults.consume('break_streams'):
                    raise ConnectionResetError('the stream breaks')
                last = (
                    index == len(generation.pieces)
                    and generation.position >= generation.state.total
                )
                yield _frame_piece(generation, piece, last)
                if last:
                    yield web.format_event(b'[DONE]')
                    return
            if generation.cancelled:
                raise ConnectionResetError('the generation was cancelled')
            if generation.finished:
                # Nothing was left to generate when the request came in.
                empty = _generations.PieceOfText(
                    generation.position, 0, self._engine.weight_version, ''
                )
                yield _frame_piece(generation, empty, True)
                yield web.format_event(b'[DONE]')
                return
            await generation.changed.wait()

    async def _watch(self) -> collections.abc.AsyncIterator[bytes]:
        sent = None
        sent_at = 0.0
        late: list[tuple[float, bytes]] = []
        sequence = 0
        faults = self._engine.faults
        while not faults.get('crashed'):
            now = anyio.current_time()
            status = self._engine.describe_status()
            if (
                status != sent
                or now - sent_at >= backends.STATUS_INTERVAL_SECONDS
            ):
                sent, sent_at = status, now
                yield web.format_event(
                    msgspec.json.encode(status), name='status'
                )
            changes = self._engine.cache.take_changes()
            if changes:
                sequence += 1
                event = _frame_changes(sequence, changes)
                if not faults.consume('cache_gaps'):
                    due = now + faults.get('cache_lag_seconds')
                    late.append((due, event))
            while late and late[0][0] <= now:
                yield late.pop(0)[1]
            await anyio.sleep(STATUS_CHECK_SECONDS)
        raise ConnectionResetError('the engine has crashed')


def _frame_changes(sequence: int, changes: list[tuple[str, bool]]) -> bytes:
    body = {
        'sequence': sequence,
        'added': [block for block, added in changes if added],
        'removed': [block for block, added in changes if not added],
    }
    return web.format_event(msgspec.json.encode(body), name='cache')


def _frame_piece(
    generation: _generations.Generation,
    piece: _generations.PieceOfText,
    last: bool,
) -> bytes:
    choice = {
        'index': 0,
        'text': piece.text,
        'finish_reason': 'stop' if last else None,
    }
    body = {
        'id': generation.request_id,
        'object': 'text_completion',
        'model': generation.state.model,
        'choices': [choice],
        'offset': piece.offset,
        'tokens': piece.tokens,
        'weight_version': piece.weight_version,
    }
    return web.format_event(msgspec.json.encode(body))
