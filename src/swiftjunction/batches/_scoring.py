"""Scores complete samples."""

import abc
import collections.abc
import logging
import random

import anyio

from swiftjunction import backends
from swiftjunction.batches import _batch
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import web

LOG = logging.getLogger(__name__)

# Timeout of one scoring call with all of its attempts; a call that times out
# is repeated.
SCORE_TIMEOUT_SECONDS = 6.0
# A scorer that exceeds the latency objective of its route by this factor is
# considered unresponsive.
ATTEMPT_TIMEOUT_FACTOR = 3.0
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.5
MIN_RETRY_DELAY_SECONDS = 0.25
# The retry delay of a refusal is the expected time until the queue is empty,
# which spreads the retries of callers. A sample is incomplete until its score.
MAX_RETRY_DELAY_SECONDS = 2.0


class SampleScorer(abc.ABC):
    """Interface for scoring samples."""

    __slots__ = ()

    @abc.abstractmethod
    async def score(
        self,
        request: _batch.ScoreRequest,
        check_may_send: collections.abc.Callable[[], None],
    ) -> str:
        """Have a sample scored; return the signature of the scorer's response.

        Parameters
        ----------
        check_may_send : callable
            Raises ``BatchEnded`` if the score is no longer needed, and
            ``EndUnconfirmed`` if that is unknown, in which case the call is
            repeated later. Called before each attempt, and again just before
            it is sent.

        Raises
        ------
        SampleFailed
            If the scorer failed as often as its route allows.
        BatchEnded
            If the score is no longer needed. Unlike elsewhere, the scorer may
            have run the request.
        RequestUnsendable
            If no scorer can get the request.
        """


class RoutedScorer(SampleScorer):
    """Sends score requests along the same routes as requests of callers.

    Parameters
    ----------
    active_routes : ActiveRoutes
        The current routes.
    forwarder : Forwarder
        Sends the requests.
    rng : random.Random
        Chooses among the services of a route.
    """

    __slots__ = ('_active_routes', '_forwarder', '_rng')

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        forwarder: requests.Forwarder,
        rng: random.Random,
    ) -> None:
        self._active_routes = active_routes
        self._forwarder = forwarder
        self._rng = rng

    async def score(
        self,
        request: _batch.ScoreRequest,
        check_may_send: collections.abc.Callable[[], None],
    ) -> str:
        # Before the search for a route, which a request that cannot be sent
        # may never have.
        web.check_request(request.path, request.host, [])
        failures = 0
        while True:
            try:
                check_may_send()
                route = self._find_route(request)
                response = await self._call(request, route, check_may_send)
            except (errors.BatchEnded, errors.RequestUnsendable):
                raise
            except errors.RequestError as error:
                LOG.info(
                    'score request failed, retrying: %s',
                    error,
                    extra={'request_id': request.request_id},
                )
                await anyio.sleep(_choose_retry_delay(error))
                continue
            if response.is_success and response.signature:
                return response.signature
            failures += 1
            LOG.info(
                'scorer failed',
                extra={
                    'request_id': request.request_id,
                    'status': response.status,
                    'failures': failures,
                },
            )
            if failures >= route.max_attempts:
                raise errors.SampleFailed(
                    f'the scorer failed {failures} times', step='score'
                )

    def _find_route(self, request: _batch.ScoreRequest) -> routes.Route:
        table = self._active_routes.table
        path = request.path.partition('?')[0]
        route = None if table is None else table.find(request.host, path)
        if route is None:
            # Retried: a later configuration may have a route again.
            raise errors.NotRun(
                f'no route matches scorer path {request.path}', step='score'
            )
        return route

    async def _call(
        self,
        request: _batch.ScoreRequest,
        route: routes.Route,
        check_may_send: collections.abc.Callable[[], None],
    ) -> backends.ServiceResponse:
        path, mark, query = request.path.partition('?')
        call = requests.ForwardedCall(
            path=f'{route.host}{route.prefix}',
            settings=configuration.PathSettings(
                service=route.draw_service(self._rng),
                request_class='internal',
            ),
            service_call=backends.ServiceCall(
                request_id=request.request_id,
                method='POST',
                path=path,
                query=query if mark else None,
                body=request.body,
                headers=[],
                timeout_seconds=0.0,
                host=request.host,
                check=check_may_send,
            ),
            deadline=anyio.current_time() + SCORE_TIMEOUT_SECONDS,
            idempotent=True,
            max_attempts=max(route.max_attempts, 1),
            attempt_seconds=max(
                route.objective_seconds * ATTEMPT_TIMEOUT_FACTOR,
                MIN_ATTEMPT_TIMEOUT_SECONDS,
            ),
            deferred=True,
        )
        return await self._forwarder.forward(call)


def _choose_retry_delay(error: errors.RequestError) -> float:
    """Return the delay before a refused call is repeated, in seconds."""
    return min(
        max(error.retry_after_seconds, MIN_RETRY_DELAY_SECONDS),
        MAX_RETRY_DELAY_SECONDS,
    )
