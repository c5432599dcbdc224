"""What callers and the platform ask of this VM, over HTTP."""

import collections.abc
import contextlib
import http
import logging
import random
import time

import anyio
import starlette.requests
import starlette.responses
import starlette.types

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import configuration
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction.platform import _answers
from swiftjunction.platform import _batches
from swiftjunction.platform import _names
from swiftjunction.platform import _settings
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

Request = starlette.requests.Request
Response = starlette.responses.Response

# How long callers may keep the addresses that they were given.
ADDRESS_SECONDS = 2.0
MAX_WAIT_SECONDS = 1.0
# Without an answer by this part of the time, another server is tried.
ATTEMPT_SHARE = 0.5
MIN_ATTEMPT_SECONDS = 0.4


class Ingress:
    """Answers callers.

    Parameters
    ----------
    settings : VmSettings
        Which address is for what.
    active_routes : ActiveRoutes
        The routes in force.
    forwarder : Forwarder
        Calls plain services.
    streams : StreamForwarder
        Relays streams.
    admission : AdmissionController
        Which requests may start.
    archive : BatchArchive
        Keeps accepted batches.
    access : BatchAccess
        Reads and ends batches.
    members : MemberTable
        The VMs that callers may use.
    state : callable
        Returns ``starting``, ``live`` or ``draining``.
    rng : random.Random
        Draws services.
    metrics : Metrics
        Counts and times.
    """

    __slots__ = (
        '_access',
        '_admission',
        '_archive',
        '_active_routes',
        '_forwarder',
        '_members',
        '_metrics',
        '_rng',
        '_settings',
        '_state',
        '_streams',
    )

    def __init__(
        self,
        settings: _settings.VmSettings,
        active_routes: routes.ActiveRoutes,
        forwarder: requests.Forwarder,
        streams: requests.StreamForwarder,
        admission: requests.AdmissionController,
        archive: batches.BatchArchive,
        access: batches.BatchAccess,
        members: coordination.MemberTable,
        state: collections.abc.Callable[[], str],
        rng: random.Random,
        metrics: telemetry.Metrics,
    ) -> None:
        self._settings = settings
        self._active_routes = active_routes
        self._forwarder = forwarder
        self._streams = streams
        self._admission = admission
        self._archive = archive
        self._access = access
        self._members = members
        self._state = state
        self._rng = rng
        self._metrics = metrics

    async def serve(self, request: Request) -> Response:
        """Answer one request on any of this VM's addresses."""
        port = str(request.scope['server'][1])
        path = request.scope['raw_path'].decode('latin-1')
        if port == self._settings.readiness.rpartition(':')[2]:
            return self._answer_ready()
        if port == self._settings.directory.rpartition(':')[2]:
            return self._answer_resolve()
        response = await self._serve_caller(request, path)
        if self._state() == 'draining':
            response.headers['connection'] = 'close'
        return response

    def _answer_ready(self) -> Response:
        ready = self._state() == 'live'
        return Response(
            status_code=http.HTTPStatus.OK
            if ready
            else http.HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _answer_resolve(self) -> Response:
        fronts = self._members.list_fronts(self._state())
        if not fronts:
            return Response(status_code=http.HTTPStatus.SERVICE_UNAVAILABLE)
        lifetime = min(ADDRESS_SECONDS, self._settings.max_address_seconds)
        return _answers.respond_json({'addresses': fronts, 'ttl_s': lifetime})

    async def _serve_caller(self, request: Request, path: str) -> Response:
        started = time.monotonic()
        request_id = request.headers.get(_names.ATTEMPT_ID, '')
        telemetry.note_request(request_id, '')
        try:
            response = await self._dispatch(request, path, request_id)
            outcome = 'answered'
            self._note_answer(path, request_id, response, started)
        except errors.RequestError as error:
            response = _answers.respond_error(error)
            outcome = type(error).__name__
            LOG.info(
                'request refused: %s',
                error,
                extra={
                    'path': path,
                    'status': response.status_code,
                    'configuration_version': self._active_routes.version,
                    'seconds': round(time.monotonic() - started, 3),
                },
            )
        self._metrics.count('answers', outcome=outcome)
        if request_id:
            response.headers[_names.ATTEMPT_ID] = request_id
        return response

    def _note_answer(
        self, path: str, request_id: str, response: Response, started: float
    ) -> None:
        if not request_id:
            return
        LOG.info(
            'request answered',
            extra={
                'path': path,
                'status': response.status_code,
                'configuration_version': self._active_routes.version,
                'seconds': round(time.monotonic() - started, 3),
            },
        )

    async def _dispatch(
        self, request: Request, path: str, request_id: str
    ) -> Response:
        if path.startswith(_names.RESULTS_PREFIX):
            batch_id = path.removeprefix(_names.RESULTS_PREFIX)
            if request.method == 'DELETE':
                return await self._end_batch(batch_id)
            return await self._read_results(request, batch_id)
        if path.startswith(_names.BODIES_PREFIX):
            return await self._read_body(
                path.removeprefix(_names.BODIES_PREFIX),
                request.query_params.get('id', ''),
            )
        route = self._find_route(request.headers.get('host', ''), path)
        if route.kind is routes.RouteKind.BATCH and request.method == 'POST':
            return await self._submit(request, request_id, route)
        return await self._forward(request, path, request_id, route)

    def _find_route(self, host: str, path: str) -> routes.Route:
        table = self._active_routes.table
        if table is None:
            raise errors.NotRun(
                'this VM has just started and knows no routes yet',
                step='route',
            )
        route = table.find(host, path)
        if route is None:
            raise errors.RouteMissing(
                f'no route to {host}{path}', step='route'
            )
        return route

    async def _forward(
        self,
        request: Request,
        path: str,
        request_id: str,
        route: routes.Route,
    ) -> Response:
        arrived = anyio.current_time()
        body = await requests.read_body(request)
        remaining_seconds = _answers.read_timeout(request, route)
        idempotent = route.kind is routes.RouteKind.IDEMPOTENT
        settings = configuration.PathSettings(
            service=route.draw_service(self._rng), request_class='live'
        )
        call = requests.ForwardedCall(
            path=f'{route.host}{route.prefix}',
            settings=settings,
            service_call=backends.ServiceCall(
                request_id=request_id,
                method=request.method,
                path=path,
                query=request.scope['query_string'].decode('latin-1'),
                body=body,
                headers=[
                    (name, value)
                    for name, value in request.headers.items()
                    if name not in _answers.OWN_HEADERS
                ],
                timeout_seconds=0.0,
                host=route.host,
            ),
            deadline=arrived + remaining_seconds,
            idempotent=idempotent,
            max_attempts=max(route.max_attempts, 1),
            attempt_seconds=max(
                remaining_seconds * ATTEMPT_SHARE, MIN_ATTEMPT_SECONDS
            ),
        )

        async def work() -> Response:
            if route.kind is routes.RouteKind.STREAM:
                return await self._stream(request, call, route)
            return _answers.relay(await self._run(call))

        return await requests.run_while_connected(request, work)

    async def _stream(
        self,
        request: Request,
        call: requests.ForwardedCall,
        route: routes.Route,
    ) -> Response:
        after = _answers.read_number(
            request.headers.get(_names.LAST_EVENT_ID, ''), backends.NO_EVENT
        )
        with contextlib.ExitStack() as held:
            held.enter_context(self._admission.admit(call.path, call.settings))
            held.enter_context(
                self._metrics.measure(call.settings.service or '', 'stream')
            )
            stream = await self._streams.open(call, route.resumable, after)
            # Until the stream ends, it counts as one that is in flight.
            kept = held.pop_all()

        def finish(outcome: str) -> None:
            kept.close()
            self._metrics.count('streams', outcome=outcome)
            LOG.info(
                'stream ended',
                extra={
                    'request_id': call.service_call.request_id,
                    'outcome': outcome,
                },
            )

        response = requests.RelayedStreamResponse(stream, finish)
        _answers.copy_headers(stream.headers, response)
        return response

    async def _run(
        self, call: requests.ForwardedCall
    ) -> backends.ServiceResponse:
        with (
            self._admission.admit(call.path, call.settings),
            # A histogram takes 185 KB: one for each service, not each route.
            self._metrics.measure(call.settings.service or '', 'answer'),
            anyio.move_on_at(call.deadline),
        ):
            return await self._forwarder.forward(call)
        raise errors.RequestTimeout(
            'no answer within the time allowed', step='call'
        )

    async def _submit(
        self, request: Request, request_id: str, route: routes.Route
    ) -> Response:
        if self._state() == 'draining':
            raise errors.NotRun('this VM is about to stop', step='submit')
        body = await requests.read_body(request)
        service = route.draw_service(self._rng)
        batch = _batches.decode_submission(body, request_id, route, service)
        with self._metrics.measure(service, 'submit'):
            await _answers.translate(self._archive.create(batch))
        LOG.info(
            'batch accepted',
            extra={
                'batch': request_id,
                'route': route.name,
                'configuration_version': self._active_routes.version,
                'samples': batch.total,
            },
        )
        return Response(status_code=http.HTTPStatus.ACCEPTED)

    async def _read_results(self, request: Request, batch_id: str) -> Response:
        position = _answers.read_number(
            request.query_params.get('after', ''), 0
        )
        wait_ms = _answers.read_number(
            request.headers.get(_names.WAIT_MS, ''), 0
        )
        wait_seconds = min(wait_ms / _names.MS_PER_SECOND, MAX_WAIT_SECONDS)
        page = await _answers.translate(
            self._access.read_results(batch_id, position, wait_seconds)
        )
        return Response(
            _batches.encode_page(page), media_type='application/json'
        )

    async def _read_body(self, batch_id: str, item_id: str) -> Response:
        body = await _answers.translate(
            self._access.read_body(batch_id, item_id)
        )
        if body is None:
            raise errors.RouteMissing(
                f'batch {batch_id} has no open sample {item_id}', step='body'
            )
        return Response(body, media_type='application/octet-stream')

    async def _end_batch(self, batch_id: str) -> Response:
        await _answers.translate(self._access.end(batch_id))
        LOG.info('batch end accepted', extra={'batch': batch_id})
        return Response(status_code=http.HTTPStatus.OK)


class IngressApp:
    """The ASGI application around :class:`Ingress`."""

    __slots__ = ('_ingress',)

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Serve one request; lifespan events have no meaning here."""
        if scope['type'] != 'http':
            return
        request = Request(scope, receive)
        try:
            response = await self._ingress.serve(request)
        except Exception:
            LOG.exception('request failed here', extra={'path': scope['path']})
            response = Response(status_code=http.HTTPStatus.BAD_GATEWAY)
        await response(scope, receive, send)
