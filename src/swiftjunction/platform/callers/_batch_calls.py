"""Calls of trainers: submission, results, sample bodies and the end."""

import contextlib
import http
import logging
import random

import anyio
import starlette.requests
import starlette.responses

from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction.platform.callers import _batches
from swiftjunction.platform.callers import _caller_bodies
from swiftjunction.platform.callers import _caller_http
from swiftjunction.platform.callers import _keys
from swiftjunction import routes
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

Request = starlette.requests.Request
Response = starlette.responses.Response

MAX_RESULTS_WAIT_SECONDS = 1.0
# How long the body of a submission may take.
SUBMISSION_SECONDS = 30.0


class BatchCalls:
    """Handles the calls that concern batches.

    Parameters
    ----------
    active_routes : ActiveRoutes
        Routing table in effect.
    archive : BatchArchive
        Stores accepted batches.
    access : BatchAccess
        Reads the results of batches and ends batches.
    bodies : CallerBodies
        Reads the bodies of requests.
    rng : random.Random
        Selects the service of a split route.
    metrics : Metrics
        Latency histograms.
    """

    __slots__ = (
        '_access',
        '_active_routes',
        '_archive',
        '_bodies',
        '_metrics',
        '_rng',
    )

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        archive: batches.BatchArchive,
        access: batches.BatchAccess,
        bodies: _caller_bodies.CallerBodies,
        rng: random.Random,
        metrics: telemetry.Metrics,
    ) -> None:
        self._bodies = bodies
        self._active_routes = active_routes
        self._archive = archive
        self._access = access
        self._rng = rng
        self._metrics = metrics

    async def access(
        self, request: Request, path: str, owner: str | None
    ) -> Response:
        """Handle a call about a stored batch.

        Parameters
        ----------
        owner : str or None
            The organisation of the caller, empty for none; None if the
            configuration has no organisations.
        """
        if path.startswith(_names.BODIES_PATH_PREFIX):
            batch_id = path.removeprefix(_names.BODIES_PATH_PREFIX)
            sample_id = request.query_params.get('id', '')
            return await self._read_body(batch_id, sample_id, owner)
        batch_id = path.removeprefix(_names.RESULTS_PATH_PREFIX)
        if request.method == 'DELETE':
            return await self._end(batch_id, owner)
        return await self._read_results(request, batch_id, owner)

    async def submit(
        self,
        request: Request,
        request_id: str,
        route: routes.Route,
        caller: _keys.Caller,
    ) -> Response:
        """Store a batch; respond with 202 once it is stored."""
        with contextlib.ExitStack() as stack:
            deadline = anyio.current_time() + SUBMISSION_SECONDS
            body = await self._bodies.read(request, deadline, stack)
            return await self._accept(body, request_id, route, caller)

    async def _accept(
        self,
        body: bytes,
        request_id: str,
        route: routes.Route,
        caller: _keys.Caller,
    ) -> Response:
        service = route.draw_service(self._rng)
        batch = _batches.decode_submission(
            body, request_id, route, service, caller
        )
        if caller.check is not None:
            # The body may have taken long.
            caller.check()
        with self._metrics.measure(service, 'submit'):
            await _caller_http.translate_store_errors(
                self._archive.create(batch)
            )
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

    async def _read_results(
        self, request: Request, batch_id: str, owner: str | None
    ) -> Response:
        """Respond with the results from a position on."""
        position = _caller_http.parse_int(
            request.query_params.get('after', ''), 0
        )
        wait_ms = _caller_http.parse_int(
            request.headers.get(_names.WAIT_MS_HEADER, ''), 0
        )
        wait_seconds = min(
            wait_ms / _names.MS_PER_SECOND, MAX_RESULTS_WAIT_SECONDS
        )
        page = await _caller_http.translate_store_errors(
            self._access.read_results(batch_id, position, wait_seconds, owner)
        )
        return Response(
            _batches.encode_page(page), media_type='application/json'
        )

    async def _read_body(
        self, batch_id: str, sample_id: str, owner: str | None
    ) -> Response:
        """Respond with the request body of an unfinished sample."""
        body = await _caller_http.translate_store_errors(
            self._access.read_body(batch_id, sample_id, owner)
        )
        if body is None:
            raise errors.RouteMissing(
                f'batch {batch_id} has no unfinished sample {sample_id}',
                step='body',
            )
        return Response(body, media_type='application/octet-stream')

    async def _end(self, batch_id: str, owner: str | None) -> Response:
        """End a batch."""
        await _caller_http.translate_store_errors(
            self._access.end(batch_id, owner)
        )
        LOG.info('batch ended by caller', extra={'batch': batch_id})
        return Response(status_code=http.HTTPStatus.OK)
