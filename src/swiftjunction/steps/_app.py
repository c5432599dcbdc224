"""The HTTP API of a rollout process for trainers."""

import logging
import math

import httpx
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.steps import _delivery
from swiftjunction.steps import _registry
from swiftjunction.steps import _step
from swiftjunction import web

LOG = logging.getLogger(__name__)

OWNER_PROBE_TIMEOUT_SECONDS = 1.0


class StepApp:
    """Handles trainers' requests for steps and their samples.

    Parameters
    ----------
    registry : StepRegistry
        The steps that this process owns.
    processes : ProcessList
        The known rollout processes.
    peers : PeerClients
        HTTP clients of the other rollout processes.
    """

    __slots__ = ('_peers', '_processes', '_registry')

    def __init__(
        self,
        registry: _registry.StepRegistry,
        processes: membership.ProcessList,
        peers: web.PeerClients,
    ) -> None:
        self._registry = registry
        self._processes = processes
        self._peers = peers

    async def list_addresses(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Return the addresses of the rollout processes."""
        addresses = [p.address for p in self._processes.select('rollout')]
        return web.respond_json({'addresses': sorted(addresses)})

    async def submit(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Open a step, or return its status if it is already open."""
        try:
            spec = decoding.decode_json(await request.body(), _step.StepSpec)
        except errors.ContentBroken as error:
            return _build_error_response(
                errors.RequestInvalid(
                    f'invalid step specification: {error}', step='submit'
                )
            )
        try:
            running = await self._registry.submit(spec)
        except errors.StepElsewhere:
            return await self._respond_with_status(spec.step_id)
        except errors.RequestError as error:
            return _build_error_response(error)
        return _build_status_response(running)

    async def get_status(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Return the progress of a step."""
        return await self._respond_with_status(request.path_params['step_id'])

    async def fetch_samples(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Return the samples that follow the cursor."""
        try:
            cursor = int(request.query_params.get('cursor', '0'))
            wait_seconds = float(request.query_params.get('wait_seconds', 0))
            if cursor < 0 or not math.isfinite(wait_seconds):
                raise ValueError(
                    'cursor is negative or wait_seconds is not finite'
                )
        except ValueError as error:
            return _build_error_response(
                errors.RequestInvalid(
                    f'invalid cursor or wait_seconds: {error}', step='draw'
                )
            )
        try:
            running = await self._find_step(
                request.path_params['step_id'], cursor
            )
            page = await running.fetch_samples(cursor, wait_seconds)
        except errors.RequestError as error:
            return _build_error_response(error)
        return web.respond_json(page)

    async def cancel(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Cancel a step."""
        try:
            running = await self._find_step(request.path_params['step_id'])
        except errors.RequestError as error:
            return _build_error_response(error)
        running.cancel()
        return _build_status_response(running)

    async def _respond_with_status(
        self, step_id: str
    ) -> starlette.responses.Response:
        try:
            return _build_status_response(await self._find_step(step_id))
        except errors.RequestError as error:
            return _build_error_response(error)

    async def _find_step(
        self, step_id: str, cursor: int = 0
    ) -> _delivery.RunningStep:
        """Return the step, and take it over if its owner is unreachable.

        A cursor beyond the last sequence number known here may come from a
        newer owner that took the step over while this process was paused.
        In that case the ledger is read to find the current owner.

        Raises
        ------
        StepElsewhere
            If another process owns the step and responds.
        StepEnded, StepIncomplete
            If the step has ended.
        RequestInvalid
            If the step does not exist.
        NotRun
            If the platform is unavailable.
        """
        try:
            running = self._registry.find(step_id)
            if running is not None and running.has_committed(cursor):
                return running
            if running is not None and await self._registry.verify_ownership(
                running
            ):
                return running
            owner = await self._registry.read_owner(step_id)
            address = await self._probe_owner(owner)
            if address:
                raise errors.StepElsewhere(
                    f'step {step_id} is owned by {owner}',
                    step='find',
                    peer=address,
                )
            return await self._registry.take_over(step_id)
        except errors.ObjectMissing as error:
            raise errors.RequestInvalid(
                f'step {step_id} does not exist', step='find'
            ) from error
        except errors.PlatformError as error:
            raise errors.NotRun(
                error.message, step='find', peer=error.peer
            ) from error

    async def _probe_owner(self, owner: str) -> str:
        """Return the owner's address, or an empty string if it is down.

        A take-over is safe even if an unresponsive owner still runs, because
        the conditional writes of the ledger let only one process continue.
        """
        if owner == self._registry.owner:
            # A previous run of this process owned the step.
            return ''
        process = self._processes.get(owner)
        if process is None or process.state == 'dead':
            return ''
        try:
            response = await self._peers.get(process.address).get(
                '/health', timeout=OWNER_PROBE_TIMEOUT_SECONDS
            )
        except httpx.HTTPError:
            return ''
        return process.address if response.is_success else ''


def build_app(
    step_app: StepApp, routes: list[starlette.routing.Route]
) -> starlette.applications.Starlette:
    """Build the ASGI application of a rollout process."""
    return starlette.applications.Starlette(
        exception_handlers=web.EXCEPTION_HANDLERS,
        routes=[
            starlette.routing.Route('/v1/rollouts', step_app.list_addresses),
            starlette.routing.Route(
                '/v1/steps', step_app.submit, methods=['POST']
            ),
            starlette.routing.Route(
                '/v1/steps/{step_id}', step_app.get_status
            ),
            starlette.routing.Route(
                '/v1/steps/{step_id}', step_app.cancel, methods=['DELETE']
            ),
            starlette.routing.Route(
                '/v1/steps/{step_id}/samples', step_app.fetch_samples
            ),
            *routes,
        ],
    )


def _build_status_response(
    running: _delivery.RunningStep,
) -> starlette.responses.Response:
    step = running.step
    return web.respond_json(
        {
            'step_id': step.spec.step_id,
            'total': step.total,
            'placed': len(step.order),
            'acknowledged': step.acknowledged,
            'expired': step.expired,
        }
    )


def _build_error_response(
    error: errors.RequestError,
) -> starlette.responses.Response:
    headers = {}
    if isinstance(error, errors.StepElsewhere):
        headers['x-step-owner'] = error.peer
    return web.respond_error(error, headers=headers)
