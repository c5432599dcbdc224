"""Scores finished samples."""

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

LOG = logging.getLogger(__name__)

# Within this time a score is had, over all attempts; then it is begun anew.
SCORE_SECONDS = 6.0
# A scorer that takes so many times what its route aims at is taken to hang.
HANG_FACTOR = 3.0
MIN_ATTEMPT_SECONDS = 0.5
RETRY_SECONDS = 0.25


class SampleScorer(abc.ABC):
    """Has samples scored."""

    __slots__ = ()

    @abc.abstractmethod
    async def score(
        self,
        scorer: _batch.ScoreRequest,
        may_go_on: collections.abc.Callable[[], bool],
    ) -> str:
        """Return the signature of the scorer's answer.

        Raises
        ------
        SampleFailed
            If the scorer failed as often as its route allows.
        NotRun
            If `may_go_on` says that the score is not wanted any more.
        """


class RoutedScorer(SampleScorer):
    """Sends scoring calls through the routes that callers use.

    Parameters
    ----------
    book : RouteBook
        The routes in force.
    forwarder : Forwarder
        Runs the calls.
    rng : random.Random
        Draws services.
    """

    __slots__ = ('_book', '_forwarder', '_rng')

    def __init__(
        self,
        book: routes.RouteBook,
        forwarder: requests.Forwarder,
        rng: random.Random,
    ) -> None:
        self._book = book
        self._forwarder = forwarder
        self._rng = rng

    async def score(
        self,
        scorer: _batch.ScoreRequest,
        may_go_on: collections.abc.Callable[[], bool],
    ) -> str:
        failures = 0
        while may_go_on():
            try:
                route = self._find_route(scorer)
                answer = await self._call(scorer, route)
            except errors.RequestError as error:
                LOG.info(
                    'score is asked for again: %s',
                    error,
                    extra={'request_id': scorer.request_id},
                )
                await anyio.sleep(
                    max(error.retry_after_seconds, RETRY_SECONDS)
                )
                continue
            if answer.is_success and answer.signature:
                return answer.signature
            failures += 1
            LOG.info(
                'scorer failed',
                extra={
                    'request_id': scorer.request_id,
                    'status': answer.status,
                    'failures': failures,
                },
            )
            if failures >= route.max_attempts:
                raise errors.SampleFailed(
                    f'the scorer failed {failures} times', step='score'
                )
        raise errors.NotRun('the score is not wanted any more', step='score')

    def _find_route(self, scorer: _batch.ScoreRequest) -> routes.Route:
        table = self._book.table
        path = scorer.path.partition('?')[0]
        route = None if table is None else table.find(scorer.host, path)
        if route is None:
            # It may come back with the next configuration.
            raise errors.NotRun(
                f'no route to scorer {scorer.path}', step='score'
            )
        return route

    async def _call(
        self, scorer: _batch.ScoreRequest, route: routes.Route
    ) -> backends.ServiceAnswer:
        path, _, query = scorer.path.partition('?')
        call = requests.ForwardedCall(
            path=f'{route.host}{route.prefix}',
            settings=configuration.PathSettings(
                service=route.draw_service(self._rng),
                request_class='internal',
            ),
            service_call=backends.ServiceCall(
                request_id=scorer.request_id,
                method='POST',
                path=path,
                query=query,
                body=scorer.body,
                headers=[],
                timeout_seconds=0.0,
                host=scorer.host,
            ),
            deadline=anyio.current_time() + SCORE_SECONDS,
            idempotent=True,
            max_attempts=max(route.max_attempts, 1),
            attempt_seconds=max(
                route.objective_seconds * HANG_FACTOR, MIN_ATTEMPT_SECONDS
            ),
        )
        return await self._forwarder.forward(call)
