"""Stand-ins for the backend servers of the platform."""

import collections.abc
import typing

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _announcing
from swiftjunction.standins import _faults
from swiftjunction.standins import _platform_texts
from swiftjunction.standins import _server_exchange
from swiftjunction.standins import _software
from swiftjunction.standins import _stream_forms
from swiftjunction import web

Request = starlette.requests.Request
Response = starlette.responses.Response

EVENT_INTERVAL_SECONDS = 0.005
VERSION_LOAD_SECONDS = 0.05
METHODS = ['GET', 'POST', 'PUT', 'DELETE']
POISON_MARKER = _server_exchange.POISON_MARKER
FAILURE_BODY = b'{"error": "out of memory"}'
# Headers that name another engine whose memory a request reads or fills.
MEMORY_HEADERS = ('kv-fetch', 'kv-from', 'swiftjunction-kv-backup')


class PlatformServiceStandin:
    """Echoes the body of each request, with a signature.

    Attributes
    ----------
    faults : FaultSwitches
        Each value is a number of requests, but for ``crashed``: seconds for
        which connections are refused.
        ``poison``: seconds for which a request with `POISON_MARKER` in its
        body makes the server crash.
        ``shed``: refused with 503 and not executed.
        ``fail``: executed, but fail with 500.
        ``silent``: executed without a response.
        ``unsigned``: the response has no signature.
        ``foreign``: the response has the id of another request.
        ``unnamed``: the response has no request id.
        ``leaving``: not a number; if set, all responses announce it.
        ``limit``: requests a second that all responses name as the limit.
    software : str
        Version of its software.
    server_runs : ServerRuns
        The starts of the server, and the requests that reached each run.
    runs : list of (str, str)
        Id and target of each executed request.
    headers : list of dict
        Headers of each executed request.
    poison_runs : int
        Number of requests that made it crash.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.software = _software.DEFAULT_SOFTWARE
        self.faults = _faults.FaultSwitches(
            'crashed',
            'poison',
            'shed',
            'fail',
            'silent',
            'unsigned',
            'foreign',
            'unnamed',
            'leaving',
            'limit',
        )
        self.server_runs = _announcing.ServerRuns(name)
        self.runs: list[tuple[str, str]] = []
        self.headers: list[dict[str, str]] = []
        self.poison_runs = 0

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                starlette.routing.Route(
                    '/{path:path}', self._serve, methods=METHODS
                )
            ],
            middleware=_announcing.make_middleware(
                self.faults, self.server_runs
            ),
        )

    async def _serve(self, request: Request) -> Response:
        refusal = _server_exchange.check_request(
            request, self.name, self.faults
        )
        if refusal is not None:
            return refusal
        request_id = request.headers.get('swiftjunction-attempt-id', '')
        self.runs.append((request_id, _server_exchange.format_target(request)))
        self.headers.append(dict(request.headers))
        if await _server_exchange.is_poisoned(request, self.faults):
            self.poison_runs += 1
            await _server_exchange.crash(self.faults)
        if self.faults.consume('silent'):
            await anyio.sleep(_server_exchange.UNANSWERED_SECONDS)
        fails = self.faults.consume('fail')
        headers = _server_exchange.make_signature_headers(request_id)
        if self.faults.consume('unsigned'):
            del headers['swiftjunction-response-signature']
        if self.faults.consume('foreign'):
            headers['swiftjunction-attempt-id'] = 'another'
        if self.faults.consume('unnamed'):
            del headers['swiftjunction-attempt-id']
        return Response(
            await request.body(),
            status_code=500 if fails else 200,
            headers=headers,
        )


class PlatformEngineStandin:
    """Streams numbered events, and accepts orders to load a version.

    Attributes
    ----------
    faults : FaultSwitches
        Each value is a number of requests, but for ``crashed``: seconds for
        which connections are refused.
        ``poison``: seconds for which a request with `POISON_MARKER` in its
        body makes the engine crash.
        ``shed``: samples that are refused with 503 and not executed.
        ``fail``: samples that fail with 500.
        ``fail_resumed``: the same, of those that go on after an event.
        ``never``: samples that fail with 422.
        ``silent``: samples that are executed without a response.
        ``cut``: streams that break off in the middle of an event.
        ``stall``: streams that hang after half of the events.
        ``skip``, ``repeat``: streams that leave out the event in the middle,
        or send it twice.
        ``lost_orders``: orders that are applied without a response.
        ``late_orders``: orders that are applied after a delay, without a
        response.
        ``leaving``: not a number; if set, all responses announce it.
        ``limit``: requests a second that all responses name as the limit.
    versions : dict of str to int
        Active version of each model.
    software : str
        Version of its software; a test that changes it restarts the engine.
    varies_streams : bool
        Send streams in several forms: with comments, end marks, CRLF or CR.
    server_runs : ServerRuns
        The starts of the server, and the requests that reached each run.
    targets : list of str
        The path and query of each run.
    runs : list of (str, int)
        Id of each executed sample, and the event after which it resumed; -1
        if it started from the beginning.
    generated : dict of str to set of (int, int)
        For each sample, the generated events with their versions. A sample
        may run more than once.
    memory_sources : list of (str, str)
        Id of each request that read the memory of another engine, and what
        it named.
    poison_runs : int
        Number of requests that made it crash.
    headers : list of dict
        Headers of each executed sample.
    orders : list of dict
        Bodies of the orders that changed a version.
    refused_orders : int
        Number of refused orders.
    max_concurrent_samples : int
        Largest number of samples that ran at the same time.
    """

    def __init__(
        self,
        name: str,
        versions: dict[str, int],
        event_interval_seconds: float = EVENT_INTERVAL_SECONDS,
        software: str = _software.DEFAULT_SOFTWARE,
    ) -> None:
        self.name = name
        self.software = software
        self.varies_streams = False
        self.memory_sources: list[tuple[str, str]] = []
        self.generated: dict[str, set[tuple[int, int]]] = {}
        self._event_interval_seconds = event_interval_seconds
        self.faults = _faults.FaultSwitches(
            'crashed',
            'poison',
            'shed',
            'fail',
            'fail_resumed',
            'never',
            'silent',
            'cut',
            'stall',
            'skip',
            'repeat',
            'lost_orders',
            'late_orders',
            'leaving',
            'limit',
        )
        self.versions = dict(versions)
        self.server_runs = _announcing.ServerRuns(name)
        self.runs: list[tuple[str, int]] = []
        self.targets: list[str] = []
        self.headers: list[dict[str, str]] = []
        self.orders: list[dict[str, typing.Any]] = []
        self.poison_runs = 0
        self.refused_orders = 0
        self.max_concurrent_samples = 0
        self._running_count = 0
        self._highest_fencing_token = 0
        self._busy_until = 0.0

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route('/report', self._get_report),
                route('/order', self._receive_order, methods=['POST']),
                route('/{path:path}', self._generate, methods=['POST']),
            ],
            middleware=_announcing.make_middleware(
                self.faults, self.server_runs
            ),
        )

    async def _get_report(self, request: Request) -> Response:
        return web.respond_json(
            {
                'stage': 'both',
                'models': [
                    {'name': name, 'version': version, 'adapters': []}
                    for name, version in self.versions.items()
                ],
                'busy': self._is_busy(),
                'sequence': len(self.orders),
                'born': self.server_runs.count,
            }
        )

    def _is_busy(self) -> bool:
        return anyio.current_time() < self._busy_until

    async def _receive_order(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        if self.faults.consume('late_orders'):
            await anyio.sleep(2 * VERSION_LOAD_SECONDS)
            self._apply_order(order)
            await anyio.sleep(_server_exchange.UNANSWERED_SECONDS)
        status = self._apply_order(order)
        if self.faults.consume('lost_orders'):
            await anyio.sleep(_server_exchange.UNANSWERED_SECONDS)
        return Response(status_code=status)

    def _apply_order(self, order: dict[str, typing.Any]) -> int:
        if order['fencing_token'] < self._highest_fencing_token:
            self.refused_orders += 1
            return 412
        self._highest_fencing_token = order['fencing_token']
        if self.versions.get(order['model'], 0) == order['version']:
            return 200
        expected_sequence = order.get('expected', len(self.orders))
        if self._is_busy() or expected_sequence != len(self.orders):
            self.refused_orders += 1
            return 409
        self.orders.append(order)
        self._busy_until = anyio.current_time() + VERSION_LOAD_SECONDS
        self.versions[order['model']] = order['version']
        return 202

    async def _generate(self, request: Request) -> Response:
        refusal = _server_exchange.check_request(
            request, self.name, self.faults
        )
        if refusal is not None:
            return refusal
        if self._is_busy():
            return _server_exchange.make_refusal()
        request_id = request.headers['swiftjunction-attempt-id']
        after = int(request.headers.get('last-event-id', '-1'))
        self.runs.append((request_id, after))
        self.targets.append(_server_exchange.format_target(request))
        self.headers.append(dict(request.headers))
        for header in MEMORY_HEADERS:
            if header in request.headers:
                source = request.headers[header]
                self.memory_sources.append((request_id, source))
        if await _server_exchange.is_poisoned(request, self.faults):
            self.poison_runs += 1
            await _server_exchange.crash(self.faults)
        if self.faults.consume('silent'):
            await anyio.sleep(_server_exchange.UNANSWERED_SECONDS)
        if self._consume_failure(after):
            return Response(
                FAILURE_BODY,
                status_code=500,
                headers=_server_exchange.make_signature_headers(request_id),
            )
        if self.faults.consume('never'):
            return Response(
                status_code=422,
                headers=_server_exchange.make_signature_headers(request_id),
            )
        model = request.headers['swiftjunction-model']
        version = self.versions[model]
        return starlette.responses.StreamingResponse(
            self._iter_events(request_id, after, model, version),
            media_type='text/event-stream',
            headers={
                **_server_exchange.make_signature_headers(request_id),
                'swiftjunction-weight-versions': str(version),
            },
        )

    def _consume_failure(self, after: int) -> bool:
        return self.faults.consume('fail') or (
            after >= 0 and self.faults.consume('fail_resumed')
        )

    async def _iter_events(
        self, request_id: str, after: int, model: str, header_version: int
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        known_version = header_version
        form = (
            _stream_forms.choose_form(request_id)
            if self.varies_streams
            else _stream_forms.StreamForm()
        )
        generated = self.generated.setdefault(request_id, set())
        self._running_count += 1
        self.max_concurrent_samples = max(
            self.max_concurrent_samples, self._running_count
        )
        try:
            for number in range(after + 1, _platform_texts.EVENT_COUNT):
                await anyio.sleep(self._event_interval_seconds)
                data = _software.make_event_data(
                    request_id, number, self.software
                )
                event = f'id: {number}\ndata: {data}\n\n'
                generated.add((number, self.versions[model]))
                if self.versions[model] != known_version:
                    # Another version became active during the run.
                    known_version = self.versions[model]
                    event = (
                        f'swiftjunction-weight-versions:{known_version}\n'
                        f'{event}'
                    )
                if form.comment:
                    yield form.encode(form.comment)
                if (
                    number == _platform_texts.EVENT_COUNT // 2
                    and self.faults.consume('cut')
                ):
                    yield form.encode(event)[:8]
                    raise ConnectionAbortedError
                if (
                    number == _platform_texts.EVENT_COUNT // 2
                    and self.faults.consume('stall')
                ):
                    await anyio.sleep(_server_exchange.UNANSWERED_SECONDS)
                if (
                    number == _platform_texts.EVENT_COUNT // 2
                    and self.faults.consume('skip')
                ):
                    continue
                yield form.encode(event)
                if (
                    number == _platform_texts.EVENT_COUNT // 2
                    and self.faults.consume('repeat')
                ):
                    yield form.encode(event)
            if form.end_mark:
                yield form.encode(form.end_mark)
        finally:
            self._running_count -= 1
