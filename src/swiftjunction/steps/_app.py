"""The HTTP interface of a rollout process, for trainers."""

import logging
import math

import httpx
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.steps import _delivery
from swiftjunction.steps import _registry
from swiftjunction.steps import _step
from swiftjunction import web

LOG = logging.getLogger(__name__)

PROBE_TIMEOUT_SECONDS = 1.0


class StepApp:
    """Serves trainers.

    Parameters
    ----------
    registry : StepRegistry
        The steps of this process.
    processes : ProcessList
        Knows the other rollout processes.
    peers : PeerClients
        Their HTTP clients.
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
        """Answer which rollout processes there are."""
        addresses = [p.address for p in self._processes.select('rollout')]
        return web.respond_json({'addresses': sorted(addresses)})

    async def submit(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Open a step."""
        try:
            spec = msgspec.json.decode(
                await request.body(), type=_step.StepSpec
            )
        except msgspec.MsgspecError as error:
            return _refuse(
                errors.RequestInvalid(
                    f'step not understood: {error}', step='submit'
                )
            )
        try:
            running = await self._registry.submit(spec)
        except errors.StepElsewhere:
            return await self._find_and_answer(spec.step_id)
        except errors.RequestError as error:
            return _refuse(error)
        return _describe(running)

    async def show(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Answer how far a step is."""
        return await self._find_and_answer(request.path_params['step_id'])

    async def fetch_samples(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Hand over samples."""
        try:
            cursor = int(request.query_params.get('cursor', '0'))
            wait_seconds = float(request.query_params.get('wait_seconds', 0))
            if cursor < 0 or not math.isfinite(wait_seconds):
                raise ValueError('out of range')
        except ValueError as error:
            return _refuse(
                errors.RequestInvalid(
                    f'cursor or wait_seconds: {error}', step='draw'
                )
            )
        try:
            running = await self._find(request.path_params['step_id'], cursor)
            page = await running.fetch_samples(cursor, wait_seconds)
        except errors.RequestError as error:
            return _refuse(error)
        return web.respond_json(page)

    async def cancel(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """End a step early."""
        try:
            running = await self._find(request.path_params['step_id'])
        except errors.RequestError as error:
            return _refuse(error)
        running.cancel()
        return _describe(running)

    async def _find_and_answer(
        self, step_id: str
    ) -> starlette.responses.Response:
        try:
            return _describe(await self._find(step_id))
        except errors.RequestError as error:
            return _refuse(error)

    async def _find(
        self, step_id: str, cursor: int = 0
    ) -> _delivery.RunningStep:
        """Return the step, taking it over where its owner is gone.

        A trainer whose cursor is not known here may have it from a newer
        owner: then this process was paused and has to look who that is.

        Raises
        ------
        StepElsewhere
            If its owner answers.
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
            address = await self._probe(owner)
            if address:
                raise errors.StepElsewhere(
                    f'step {step_id} is owned by {owner}',
                    step='find',
                    peer=address,
                )
            return await self._registry.take_over(step_id)
        except errors.ObjectMissing as error:
            raise errors.RequestInvalid(
                f'there is no step {step_id}', step='find'
            ) from error
        except errors.PlatformError as error:
            raise errors.NotRun(
                error.message, step='find', peer=error.peer
            ) from error

    async def _probe(self, owner: str) -> str:
        """Return the owner's address if it answers.

        Where it does not, taking over is safe even if it still runs: the
        ledger lets only one of the two go on.
        """
        if owner == self._registry.owner:
            # An earlier run of this process.
            return ''
        process = self._processes.get(owner)
        if process is None or process.state == 'dead':
            return ''
        try:
            response = await self._peers.get(process.address).get(
                '/health', timeout=PROBE_TIMEOUT_SECONDS
            )
        except httpx.HTTPError:
            return ''
        return process.address if response.is_success else ''


def build_app(
    steps: StepApp, routes: list[starlette.routing.Route]
) -> starlette.applications.Starlette:
    """Assemble the application of a rollout process."""
    return starlette.applications.Starlette(
        exception_handlers=web.EXCEPTION_HANDLERS,
        routes=[
            starlette.routing.Route('/v1/rollouts', steps.list_addresses),
            starlette.routing.Route(
                '/v1/steps', steps.submit, methods=['POST']
            ),
            starlette.routing.Route('/v1/steps/{step_id}', steps.show),
            starlette.routing.Route(
                '/v1/steps/{step_id}', steps.cancel, methods=['DELETE']
            ),
            starlette.routing.Route(
                '/v1/steps/{step_id}/samples', steps.fetch_samples
            ),
            *routes,
        ],
    )


def _describe(
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


def _refuse(error: errors.RequestError) -> starlette.responses.Response:
    headers = {}
    if isinstance(error, errors.StepElsewhere):
        headers['x-step-owner'] = error.peer
    return web.respond_error(error, headers=headers)
