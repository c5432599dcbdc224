"""A stand-in for a model engine."""

import collections
import collections.abc
import logging

import anyio
import anyio.abc
import httpx
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import backends
from swiftjunction.standins import _faults
from swiftjunction.standins import _texts
from swiftjunction import web

LOG = logging.getLogger(__name__)

BASE_TICK_SECONDS = 0.010
TICK_SECONDS_PER_REQUEST = 0.0004
TOKENS_PER_TICK = 4
MAX_BATCH = 32
MAX_QUEUE = 256
STATUS_CHECK_SECONDS = 0.05
KEPT_FINISHED = 512


class _Generation:
    """One request on the engine."""

    def __init__(self, request_id: str, body: dict, offset: int) -> None:
        self.request_id = request_id
        self.prompt: str = body['prompt']
        self.seed: int = body.get('seed', 0)
        self.priority: int = body.get('priority', 0)
        self.model: str = body.get('model', '')
        self.total = _texts.count_tokens(
            self.prompt, self.seed, body['max_tokens']
        )
        self.position = offset
        self.chunks: list[tuple[int, int, int, str]] = []
        self.changed = anyio.Event()
        self.cancelled = False

    @property
    def finished(self) -> bool:
        return self.position >= self.total or self.cancelled

    def advance(self, tokens: int, weight_version: int) -> None:
        end = min(self.position + tokens, self.total)
        text = ''.join(
            _texts.make_token(self.prompt, self.seed, position)
            for position in range(self.position, end)
        )
        self.chunks.append(
            (self.position, end - self.position, weight_version, text)
        )
        self.position = end
        self.notify()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


class EngineStandin:
    """Batches requests; its token rate falls as the batch grows.

    Parameters
    ----------
    name : str
        The engine.
    model : str
        What it serves.
    weights : httpx.AsyncClient
        The weight store.
    checks_fencing : bool
        Whether it refuses orders with an old fencing token.

    Faults
    ------
    crashed : connections break and nothing runs.
    slow_factor : how many times slower each tick is.
    break_streams : so many streams break off in the middle.
    refuse : every request is refused and not run.
    fail_orders : so many orders fail.
    leaving : the engine says that it leaves, and refuses new work.
    hide_versions : chunks do not name their version.

    Attributes
    ----------
    orders : list of Order
        What it was told, for tests.
    """

    def __init__(
        self,
        name: str,
        model: str,
        weights: httpx.AsyncClient,
        *,
        checks_fencing: bool = True,
    ) -> None:
        self.name = name
        self.model = model
        self.weight_version = 0
        self.staged_version = 0
        self.role = 'generate'
        self.orders: list[backends.Order] = []
        self.started: collections.Counter[str] = collections.Counter()
        self.faults = _faults.FaultSwitches(
            'crashed',
            'slow_factor',
            'break_streams',
            'refuse',
            'fail_orders',
            'leaving',
            'hide_versions',
        )
        self._weights = weights
        self._checks_fencing = checks_fencing
        self._highest_token = 0
        self._running: dict[str, _Generation] = {}
        self._waiting: list[_Generation] = []
        self._known: collections.OrderedDict[str, _Generation] = (
            collections.OrderedDict()
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    def build_app(self) -> collections.abc.Callable:
        """Return the HTTP application."""
        route = starlette.routing.Route
        app = starlette.applications.Starlette(
            routes=[
                route('/v1/completions', self._complete, methods=['POST']),
                route('/v1/completions/{request_id}', self._resume),
                route(
                    '/v1/completions/{request_id}',
                    self._cancel,
                    methods=['DELETE'],
                ),
                route('/orders', self._take_order, methods=['POST']),
                route('/events', self._send_events),
                route('/health', self._show_health),
                self.faults.route(),
            ]
        )

        async def serve(scope: dict, receive: object, send: object) -> None:
            if self.faults.get('crashed') and scope.get('path') != '/faults':
                raise ConnectionResetError('the engine has crashed')
            await app(scope, receive, send)  # type: ignore[arg-type]

        return serve

    async def run(self) -> None:
        """Generate until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await self._tick()

    @property
    def load(self) -> float:
        """Return how full the batch is; above 1 there is a queue."""
        return (len(self._running) + len(self._waiting)) / MAX_BATCH

    async def _tick(self) -> None:
        seconds = BASE_TICK_SECONDS + TICK_SECONDS_PER_REQUEST * len(
            self._running
        )
        await anyio.sleep(seconds * max(self.faults.get('slow_factor'), 1))
        if self.faults.get('crashed'):
            self._forget_all()
            return
        self._waiting.sort(key=lambda g: -g.priority)
        while self._waiting and len(self._running) < MAX_BATCH:
            generation = self._waiting.pop(0)
            self._running[generation.request_id] = generation
        version = (
            0 if self.faults.get('hide_versions') else self.weight_version
        )
        for generation in list(self._running.values()):
            if not generation.finished:
                generation.advance(TOKENS_PER_TICK, version)
            if generation.finished:
                del self._running[generation.request_id]

    def _forget_all(self) -> None:
        for generation in [*self._running.values(), *self._waiting]:
            generation.cancelled = True
            generation.notify()
        self._running.clear()
        self._waiting.clear()
        self._known.clear()
        self.weight_version = self.staged_version = 0

    async def _complete(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        body = msgspec.json.decode(await request.body())
        if (
            self.faults.get('refuse')
            or self.faults.get('leaving')
            or len(self._waiting) >= MAX_QUEUE
            or not self.weight_version
        ):
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._headers() | {'x-request-outcome': 'not-run'},
            )
        request_id = request.headers.get('x-request-id', '')
        generation = _Generation(
            request_id, body, body.get('generated_tokens', 0)
        )
        self.started[request_id] += 1
        self._known[request_id] = generation
        while len(self._known) > KEPT_FINISHED:
            self._known.popitem(last=False)
        self._waiting.append(generation)
        return self._stream(generation, generation.position)

    async def _resume(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        generation = self._known.get(request.path_params['request_id'])
        if generation is None or generation.cancelled:
            return web.respond_json({'error': 'unknown'}, status=404)
        offset = int(request.query_params.get('offset', '0'))
        return self._stream(generation, offset)

    async def _cancel(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        generation = self._known.get(request.path_params['request_id'])
        if generation is not None:
            generation.cancelled = True
            if generation in self._waiting:
                self._waiting.remove(generation)
            generation.notify()
        return web.respond_json({})

    def _stream(
        self, generation: _Generation, offset: int
    ) -> starlette.responses.Response:
        return starlette.responses.StreamingResponse(
            self._frame(generation, offset),
            media_type='text/event-stream',
            headers=self._headers(),
        )

    async def _frame(
        self, generation: _Generation, offset: int
    ) -> collections.abc.AsyncIterator[bytes]:
        index = 0
        while True:
            while index < len(generation.chunks):
                first, tokens, version, text = generation.chunks[index]
                index += 1
                if first + tokens <= offset and tokens:
                    continue
                if self.faults.take('break_streams'):
                    raise ConnectionResetError('the stream breaks')
                last = (
                    index == len(generation.chunks)
                    and generation.position >= generation.total
                )
                yield _frame_chunk(
                    generation, first, tokens, version, text, last
                )
                if last:
                    yield web.format_event(b'[DONE]')
                    return
            if generation.cancelled:
                raise ConnectionResetError('the generation was cancelled')
            if generation.finished:
                # Nothing was left to generate when the request came in.
                yield _frame_chunk(
                    generation,
                    generation.position,
                    0,
                    self.weight_version,
                    '',
                    True,
                )
                yield web.format_event(b'[DONE]')
                return
            await generation.changed.wait()

    async def _take_order(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        order = msgspec.json.decode(await request.body(), type=backends.Order)
        if self._checks_fencing and order.fencing_token < self._highest_token:
            return web.respond_json(
                {'error': f'fencing token below {self._highest_token}'},
                status=409,
            )
        self._highest_token = max(self._highest_token, order.fencing_token)
        if self.faults.take('fail_orders'):
            return web.respond_json({'error': 'failed'}, status=500)
        self.orders.append(order)
        if order.kind == 'stage' and self._tasks is not None:
            self._tasks.start_soon(self._stage, order)
        elif order.kind == 'activate':
            if order.weight_version > self.staged_version:
                return web.respond_json({'error': 'not staged'}, status=409)
            self.weight_version = order.weight_version
        elif order.kind == 'role':
            self.role = order.argument
        return web.respond_json({}, status=202)

    async def _stage(self, order: backends.Order) -> None:
        if order.weight_version <= self.staged_version:
            return
        try:
            response = await self._weights.get(
                f'/weights/{order.model}/{order.weight_version}'
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            LOG.info('%s could not stage: %s', self.name, error)
            return
        self.staged_version = max(self.staged_version, order.weight_version)

    async def _send_events(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.StreamingResponse(
            self._watch_status(), media_type='text/event-stream'
        )

    async def _watch_status(self) -> collections.abc.AsyncIterator[bytes]:
        sent = None
        sent_at = 0.0
        while not self.faults.get('crashed'):
            status = backends.EngineStatus(
                self.model,
                self.weight_version,
                self.staged_version,
                round(self.load, 1),
                bool(self.faults.get('leaving')),
                self.role,
            )
            now = anyio.current_time()
            if (
                status != sent
                or now - sent_at >= backends.STATUS_INTERVAL_SECONDS
            ):
                sent, sent_at = status, now
                yield web.format_event(
                    msgspec.json.encode(status), name='status'
                )
            await anyio.sleep(STATUS_CHECK_SECONDS)
        raise ConnectionResetError('the engine has crashed')

    async def _show_health(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json({'leaving': bool(self.faults.get('leaving'))})

    def _headers(self) -> dict[str, str]:
        headers = {'x-load': f'{self.load:.2f}'}
        if self.faults.get('leaving'):
            headers['x-leaving'] = 'true'
        return headers


def _frame_chunk(
    generation: _Generation,
    offset: int,
    tokens: int,
    weight_version: int,
    text: str,
    last: bool,
) -> bytes:
    return web.format_event(
        msgspec.json.encode(
            {
                'id': generation.request_id,
                'object': 'text_completion',
                'model': generation.model,
                'choices': [
                    {
                        'index': 0,
                        'text': text,
                        'finish_reason': 'stop' if last else None,
                    }
                ],
                'offset': offset,
                'tokens': tokens,
                'weight_version': weight_version,
            }
        )
    )
