"""HTTP interface of the edge process to callers and the platform."""

import collections.abc
import contextlib
import http
import logging
import math
import random
import time

import anyio
import starlette.requests
import starlette.responses
import starlette.types

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction.platform import _settings
from swiftjunction.platform.callers import _batch_calls
from swiftjunction.platform.callers import _caller_bodies
from swiftjunction.platform.callers import _caller_calls
from swiftjunction.platform.callers import _caller_http
from swiftjunction.platform.callers import _keys
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

Request = starlette.requests.Request
Response = starlette.responses.Response

# How long callers may cache the addresses that they resolve.
ADDRESS_TTL_SECONDS = 2.0
# A VM that starts has received what it needs within about this time.
START_RETRY_SECONDS = 0.3
# An idempotent request seldom takes longer than so many times what its route
# aims at.
OBJECTIVES_PER_REQUEST = 2.0


class Ingress:
    """Handles the HTTP requests that reach this VM.

    Parameters
    ----------
    settings : EdgeSettings
        Addresses of this VM and limits of the platform.
    active_routes : ActiveRoutes
        Routing table in effect.
    forwarder : Forwarder
        Forwards requests to plain services.
    stream_relay : StreamRelay
        Forwards requests for event streams.
    admission : AdmissionController
        Limits the requests in flight.
    batch_calls : BatchCalls
        Handles the calls of trainers.
    bodies : CallerBodies
        Reads the bodies of requests.
    callers : CallerIdentification
        Finds out which organisation sent a request.
    members : MemberTable
        Membership of the VMs.
    get_state : callable
        Returns the state of the process: ``starting``, ``live``,
        ``failing`` or ``draining``.
    is_cut_off : callable
        Returns whether this VM reaches no server of some service.
    grace : GracePeriod
        Tells which requests this VM may still accept when it is to stop.
    knows_crashes : callable
        Returns whether this VM has received the crashes that requests caused.
    rng : random.Random
        Selects the service of a split route.
    metrics : Metrics
        Counters and latency histograms.
    """

    __slots__ = (
        '_active_routes',
        '_admission',
        '_batch_calls',
        '_bodies',
        '_callers',
        '_forwarder',
        '_members',
        '_metrics',
        '_rng',
        '_settings',
        '_get_state',
        '_grace',
        '_is_cut_off',
        '_knows_crashes',
        '_stream_relay',
    )

    def __init__(
        self,
        settings: _settings.EdgeSettings,
        active_routes: routes.ActiveRoutes,
        forwarder: requests.Forwarder,
        stream_relay: requests.StreamRelay,
        admission: requests.AdmissionController,
        batch_calls: _batch_calls.BatchCalls,
        bodies: _caller_bodies.CallerBodies,
        callers: _keys.CallerIdentification,
        members: coordination.MemberTable,
        get_state: collections.abc.Callable[[], str],
        grace: requests.GracePeriod,
        is_cut_off: collections.abc.Callable[[], bool],
        knows_crashes: collections.abc.Callable[[], bool],
        rng: random.Random,
        metrics: telemetry.Metrics,
    ) -> None:
        self._settings = settings
        self._active_routes = active_routes
        self._forwarder = forwarder
        self._stream_relay = stream_relay
        self._admission = admission
        self._batch_calls = batch_calls
        self._bodies = bodies
        self._callers = callers
        self._members = members
        self._get_state = get_state
        self._grace = grace
        self._is_cut_off = is_cut_off
        self._knows_crashes = knows_crashes
        self._rng = rng
        self._metrics = metrics

    async def serve(self, request: Request) -> Response:
        """Handle one request on any of this VM's addresses."""
        port = str(request.scope['server'][1])
        path = request.scope['raw_path'].decode('latin-1')
        if port == self._settings.readiness.rpartition(':')[2]:
            return self._handle_readiness()
        if port == self._settings.directory.rpartition(':')[2]:
            return self._handle_resolve()
        response = await self._handle_caller(request, path)
        if self._get_state() == 'draining':
            response.headers['connection'] = 'close'
        return response

    def _handle_readiness(self) -> Response:
        is_ready = self._get_state() == 'live'
        return Response(
            status_code=http.HTTPStatus.OK
            if is_ready
            else http.HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _handle_resolve(self) -> Response:
        addresses = self._members.list_caller_addresses(
            self._get_state(), self._is_cut_off()
        )
        if not addresses:
            return Response(status_code=http.HTTPStatus.SERVICE_UNAVAILABLE)
        ttl_seconds = min(
            ADDRESS_TTL_SECONDS, self._settings.max_address_seconds
        )
        return _caller_http.build_json_response(
            {'addresses': addresses, 'ttl_s': ttl_seconds}
        )

    async def _handle_caller(self, request: Request, path: str) -> Response:
        started_at = time.monotonic()
        request_id = request.headers.get(_names.ATTEMPT_ID_HEADER, '')
        telemetry.set_request_context(request_id, '')
        try:
            response = await self._dispatch_in_time(request, path, request_id)
            outcome = 'answered'
            self._log_response(path, request_id, response, started_at)
        except errors.RequestError as error:
            response = _caller_http.build_error_response(error)
            outcome = type(error).__name__
            LOG.info(
                'request failed: %s',
                error,
                extra={
                    'path': path,
                    'status': response.status_code,
                    'configuration_version': self._active_routes.version,
                    'seconds': round(time.monotonic() - started_at, 3),
                },
            )
        self._metrics.count('answers', outcome=outcome)
        if request_id:
            response.headers[_names.ATTEMPT_ID_HEADER] = request_id
        return response

    def _log_response(
        self, path: str, request_id: str, response: Response, started_at: float
    ) -> None:
        if not request_id:
            return
        LOG.info(
            'request answered',
            extra={
                'path': path,
                'status': response.status_code,
                'configuration_version': self._active_routes.version,
                'seconds': round(time.monotonic() - started_at, 3),
            },
        )

    async def _dispatch_in_time(
        self, request: Request, path: str, request_id: str
    ) -> Response:
        """Return a response before a process that is to stop has to end.

        Raises
        ------
        RequestTimeout
            If there is none by then; the request may have run.
        """
        with self._grace.limit(math.inf):
            return await self._dispatch(request, path, request_id)
        raise errors.RequestTimeout(
            'this VM stops before there is a response', step='call'
        )

    async def _dispatch(
        self, request: Request, path: str, request_id: str
    ) -> Response:
        if path.startswith(_names.BATCH_PATH_PREFIXES):
            caller = await self._callers.identify_batch_caller(request)
            return await self._batch_calls.access(
                request, path, caller.batch_owner
            )
        route = self._find_route(request.headers.get('host', ''), path)
        caller = await self._callers.identify(request, route)
        if route.kind is routes.RouteKind.BATCH and request.method == 'POST':
            if self._get_state() == 'draining':
                raise errors.NotRun('this VM is shutting down', step='submit')
            return await self._batch_calls.submit(
                request, request_id, route, caller
            )
        return await self._forward(request, path, request_id, route, caller)

    def _find_route(self, host: str, path: str) -> routes.Route:
        table = self._active_routes.table
        if table is None:
            raise errors.NotRun(
                'this VM has not loaded its routing table yet',
                step='route',
            )
        route = table.find(host, path)
        if route is None:
            raise errors.RouteMissing(
                f'no route matches {host}{path}', step='route'
            )
        return route

    async def _forward(
        self,
        request: Request,
        path: str,
        request_id: str,
        route: routes.Route,
        caller: _keys.Caller,
    ) -> Response:
        if not self._knows_crashes():
            raise errors.NotRun(
                'this VM has not loaded the crashes of servers yet',
                step='route',
                retry_after_seconds=START_RETRY_SECONDS,
            )
        remaining_seconds = _caller_http.compute_timeout(request, route)
        deadline = anyio.current_time() + remaining_seconds
        self._grace.check(_estimate_end(route, deadline))
        with contextlib.ExitStack() as stack:
            body = await self._bodies.read(request, deadline, stack)
            self._bodies.check_room()
            # The grace period may have begun while the body was read.
            self._grace.check(_estimate_end(route, deadline))
            call = _caller_calls.build_call(
                request,
                path,
                request_id,
                route,
                caller,
                body,
                route.draw_service(self._rng),
                self._grace.cap(deadline),
                remaining_seconds,
            )

            async def process() -> Response:
                if route.kind is routes.RouteKind.STREAM:
                    return await self._stream(request, call, route, stack)
                response = await self._run(call)
                return _caller_http.build_relayed_response(response)

            return await requests.run_while_connected(request, process)

    async def _stream(
        self,
        request: Request,
        call: requests.ForwardedCall,
        route: routes.Route,
        stack: contextlib.ExitStack,
    ) -> Response:
        stack.enter_context(self._admission.admit(call.path, call.settings))
        stack.enter_context(
            self._metrics.measure(call.settings.service or '', 'stream')
        )
        try:
            stream = await self._stream_relay.open(
                call,
                route.resumable,
                _caller_http.parse_resume_point(request, route),
            )
        except errors.StreamNotResumable:
            self._metrics.count('streams', outcome='not_resumable')
            raise
        # The request counts as in flight until its stream ends.
        stream_stack = stack.pop_all()

        def end_stream(outcome: str) -> None:
            stream_stack.close()
            self._metrics.count('streams', outcome=outcome)
            LOG.info(
                'stream ended',
                extra={
                    'request_id': call.service_call.request_id,
                    'outcome': outcome,
                },
            )

        response = requests.RelayedStreamResponse(stream, end_stream)
        _caller_http.copy_headers(stream.headers, response)
        return response

    async def _run(
        self, call: requests.ForwardedCall
    ) -> backends.ServiceResponse:
        with (
            self._admission.admit(call.path, call.settings),
            # A histogram takes 185 KB, so there is one per service and not
            # one per route.
            self._metrics.measure(call.settings.service or '', 'answer'),
            self._grace.limit(call.deadline),
        ):
            return await self._forwarder.forward(call)
        raise errors.RequestTimeout(
            'no response before the deadline', step='call'
        )


def _estimate_end(route: routes.Route, deadline: float) -> float:
    """Return when a request ends, as a VM that is to stop must assume.

    That is its deadline, unless the caller may repeat the request: the time
    that the route aims at is then a better estimate.
    """
    if route.kind is not routes.RouteKind.IDEMPOTENT:
        return deadline
    if not route.objective_seconds:
        return deadline
    expected_seconds = route.objective_seconds * OBJECTIVES_PER_REQUEST
    return min(deadline, anyio.current_time() + expected_seconds)


class IngressApp:
    """ASGI application of :class:`Ingress`."""

    __slots__ = ('_ingress',)

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Serve one request; other events, such as lifespan, are ignored."""
        if scope['type'] != 'http':
            return
        request = Request(scope, receive)
        try:
            response = await self._ingress.serve(request)
        except Exception:
            LOG.exception(
                'unhandled error in request', extra={'path': scope['path']}
            )
            response = Response(status_code=http.HTTPStatus.BAD_GATEWAY)
        await response(scope, receive, send)
