"""A plain service and an engine, as they speak on the platform."""

import collections.abc
import typing

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _faults
from swiftjunction import web

Request = starlette.requests.Request
Response = starlette.responses.Response

SILENCE_SECONDS = 60.0
EVENTS = 6
EVENT_SECONDS = 0.005
LOAD_SECONDS = 0.05
METHODS = ['GET', 'POST', 'PUT', 'DELETE']


class PlatformServiceStandin:
    """Answers each request with its own body, signed.

    Attributes
    ----------
    faults : FaultSwitches
        ``shed`` refuses so many requests, ``fail`` answers them with 500,
        ``silent`` never answers them, ``unsigned`` leaves the signature out,
        ``foreign`` answers with the id of another request, ``unnamed`` with
        none.
    runs : list of (str, str)
        Id and target of each request that ran.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = _faults.FaultSwitches(
            'crashed',
            'shed',
            'fail',
            'silent',
            'unsigned',
            'foreign',
            'unnamed',
        )
        self.runs: list[tuple[str, str]] = []
        self.headers: list[dict[str, str]] = []

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                starlette.routing.Route(
                    '/{path:path}', self._serve, methods=METHODS
                )
            ]
        )

    async def _serve(self, request: Request) -> Response:
        refusal = _check(request, self.name, self.faults)
        if refusal is not None:
            return refusal
        request_id = request.headers.get('swiftjunction-attempt-id', '')
        self.runs.append((request_id, _read_target(request)))
        self.headers.append(dict(request.headers))
        if self.faults.consume('silent'):
            await anyio.sleep(SILENCE_SECONDS)
        failed = self.faults.consume('fail')
        headers = _sign(request_id)
        if self.faults.consume('unsigned'):
            del headers['swiftjunction-response-signature']
        if self.faults.consume('foreign'):
            headers['swiftjunction-attempt-id'] = 'another'
        if self.faults.consume('unnamed'):
            del headers['swiftjunction-attempt-id']
        return Response(
            await request.body(),
            status_code=500 if failed else 200,
            headers=headers,
        )


class PlatformEngineStandin:
    """Generates numbered events, and takes orders to change its version.

    Attributes
    ----------
    faults : FaultSwitches
        ``shed`` refuses so many samples, ``fail`` answers them with 500,
        ``never`` with 422, ``cut`` breaks so many streams off in the middle
        of an event, ``stall`` goes silent within so many streams,
        ``lost_orders`` carries out so many orders and never answers,
        ``late_orders`` never answers so many and carries them out later.
    versions : dict of str to int
        Of each model.
    runs : list of (str, int)
        Id of each sample that ran, and the event it was resumed after.
    made : dict of str to set of (int, int)
        For each sample, the events that were made, and under which version;
        a sample may run more than once.
    orders : list of dict
        The bodies of all orders that were accepted.
    """

    def __init__(
        self,
        name: str,
        versions: dict[str, int],
        event_seconds: float = EVENT_SECONDS,
    ) -> None:
        self.name = name
        self.made: dict[str, set[tuple[int, int]]] = {}
        self._event_seconds = event_seconds
        self.faults = _faults.FaultSwitches(
            'crashed',
            'shed',
            'fail',
            'never',
            'cut',
            'stall',
            'lost_orders',
            'late_orders',
        )
        self.versions = dict(versions)
        self.runs: list[tuple[str, int]] = []
        self.orders: list[dict[str, typing.Any]] = []
        self.refused_orders = 0
        self.max_concurrent_samples = 0
        self._running = 0
        self._fence = 0
        self._busy_until = 0.0

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route('/report', self._report),
                route('/order', self._order, methods=['POST']),
                route('/{path:path}', self._generate, methods=['POST']),
            ]
        )

    async def _report(self, request: Request) -> Response:
        return web.respond_json(
            {
                'stage': 'both',
                'models': [
                    {'name': name, 'version': version, 'adapters': []}
                    for name, version in self.versions.items()
                ],
                'busy': self._is_busy(),
                'sequence': len(self.orders),
            }
        )

    def _is_busy(self) -> bool:
        return anyio.current_time() < self._busy_until

    async def _order(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        if self.faults.consume('late_orders'):
            await anyio.sleep(2 * LOAD_SECONDS)
            self._apply_order(order)
            await anyio.sleep(SILENCE_SECONDS)
        status = self._apply_order(order)
        if self.faults.consume('lost_orders'):
            await anyio.sleep(SILENCE_SECONDS)
        return Response(status_code=status)

    def _apply_order(self, order: dict[str, typing.Any]) -> int:
        if order['fencing_token'] < self._fence:
            self.refused_orders += 1
            return 412
        self._fence = order['fencing_token']
        if self.versions.get(order['model'], 0) == order['version']:
            return 200
        wanted = order.get('expected', len(self.orders))
        if self._is_busy() or wanted != len(self.orders):
            self.refused_orders += 1
            return 409
        self.orders.append(order)
        self._busy_until = anyio.current_time() + LOAD_SECONDS
        self.versions[order['model']] = order['version']
        return 202

    async def _generate(self, request: Request) -> Response:
        refusal = _check(request, self.name, self.faults)
        if refusal is not None:
            return refusal
        if self._is_busy():
            return _refuse()
        request_id = request.headers['swiftjunction-attempt-id']
        after = int(request.headers.get('last-event-id', '-1'))
        self.runs.append((request_id, after))
        if self.faults.consume('fail'):
            return Response(status_code=500, headers=_sign(request_id))
        if self.faults.consume('never'):
            return Response(status_code=422, headers=_sign(request_id))
        model = request.headers['swiftjunction-model']
        version = self.versions[model]
        return starlette.responses.StreamingResponse(
            self._make_events(request_id, after, model),
            media_type='text/event-stream',
            headers={
                **_sign(request_id),
                'swiftjunction-weight-versions': str(version),
            },
        )

    async def _make_events(
        self, request_id: str, after: int, model: str
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        known = self.versions[model]
        made = self.made.setdefault(request_id, set())
        self._running += 1
        self.max_concurrent_samples = max(
            self.max_concurrent_samples, self._running
        )
        try:
            for number in range(after + 1, EVENTS):
                await anyio.sleep(self._event_seconds)
                event = f'id: {number}\ndata: {request_id} {number}\n\n'
                made.add((number, self.versions[model]))
                if self.versions[model] != known:
                    # The run went on under other weights.
                    known = self.versions[model]
                    event = f'swiftjunction-weight-versions:{known}\n{event}'
                if number == EVENTS // 2 and self.faults.consume('cut'):
                    yield event[:8].encode()
                    raise ConnectionAbortedError
                if number == EVENTS // 2 and self.faults.consume('stall'):
                    await anyio.sleep(SILENCE_SECONDS)
                yield event.encode()
        finally:
            self._running -= 1


def make_platform_text(item_id: str) -> str:
    """Return the whole text of a sample of an engine stand-in."""
    return '\n'.join(f'{item_id} {number}' for number in range(EVENTS))


def _check(
    request: Request, name: str, faults: _faults.FaultSwitches
) -> Response | None:
    expected = request.headers.get('swiftjunction-expect-instance', name)
    if expected != name:
        return Response(
            status_code=421, headers={'swiftjunction-instance-id': name}
        )
    return _refuse() if faults.consume('shed') else None


def _refuse() -> Response:
    return Response(
        status_code=503, headers={'swiftjunction-not-executed': '1'}
    )


def _sign(request_id: str) -> dict[str, str]:
    return {
        'swiftjunction-attempt-id': request_id,
        'swiftjunction-response-signature': f'signed.{request_id}',
    }


def _read_target(request: Request) -> str:
    path = request.scope['raw_path'].decode()
    query = request.scope['query_string'].decode()
    return f'{path}?{query}' if query else path
