"""Scoring requests under which servers crash, and those that wait."""

import random

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import routing
from tests import virtualtime

pytestmark = pytest.mark.anyio

# A step is worth nothing if its scores come later than this.
STEP_SECONDS = 7.5
SCORE_REQUEST = batches.ScoreRequest('score', 'h', '/p/score', b'text')


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


class UnluckyService(backends.ServiceTransport):
    """Servers that crash, each on the first request, as often as set.

    Attributes
    ----------
    crashes : int
        How many more crashes there are.
    """

    def __init__(self, crashes):
        self.crashes = crashes

    async def call(self, server, call):
        await anyio.sleep(0.05)
        if self.crashes:
            self.crashes -= 1
            raise errors.AnswerBroken('reset', step='call', peer=server.name)
        return backends.ServiceResponse(200, [], b'', 'signature')

    async def is_crashed(self, server):
        return True


class BusyForwarder:
    """Refuses calls until a given time, as a queue of callers would."""

    def __init__(self, busy_until):
        self.busy_until = busy_until

    async def forward(self, call):
        if anyio.current_time() < self.busy_until:
            raise errors.ServersBusy(
                'the queue is long', step='route', retry_after_seconds=30.0
            )
        return backends.ServiceResponse(200, [], b'', 'signature')


def make_scorer(forwarder):
    route = routes.Route(
        'r',
        'h',
        '/p/',
        routes.RouteKind.IDEMPOTENT,
        (routes.ServiceShare('plain'),),
        max_attempts=4,
    )
    active_routes = routes.ActiveRoutes()
    active_routes.update(
        routes.RouteTable(1, [route], routes.ConnectionLimits())
    )
    return batches.RoutedScorer(active_routes, forwarder, random.Random(1))


async def score(scorer):
    with anyio.fail_after(STEP_SECONDS):
        return await scorer.score(SCORE_REQUEST, lambda: None)


class Scene:
    """A scorer whose requests share servers and suspects with live ones."""

    def __init__(self, service, server_count=4):
        self.directory = backends.Directory(
            membership.RecordTable(), anyio.current_time
        )
        for index in range(server_count):
            self.directory.update(
                backends.ServerReport(f's{index}', 'h:1', 'plain', 'dc')
            )
        router = routing.Router(self.directory, 'dc', random.Random(1))
        suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(membership.RecordTable()),
            'vm',
            anyio.current_time,
        )
        self.live, scoring = (
            requests.Forwarder(
                router, service, None, requests.RetryBudget(), suspects
            )
            for _ in range(2)
        )
        self.scorer = make_scorer(scoring)

    async def score(self):
        return await score(self.scorer)

    async def send_live(self):
        """Send the live request that equals the scoring request."""
        call = requests.ForwardedCall(
            path='h/p/',
            settings=configuration.PathSettings(service='plain'),
            service_call=backends.ServiceCall(
                'live', 'POST', '/p/score', '', b'text', [], 0.0, 'h'
            ),
            deadline=anyio.current_time() + 1.0,
            idempotent=True,
        )
        return await self.live.forward(call)


async def test_a_sample_is_scored_after_two_servers_crashed_under_it():
    # Guards against a refusal for an hour as a request that crashes servers.
    scene = Scene(UnluckyService(crashes=5))
    assert await scene.score() == 'signature'


async def test_a_sample_is_scored_on_the_only_server_after_it_crashed():
    # Guards against a wait for a second server, to run in isolation.
    scene = Scene(UnluckyService(crashes=1), server_count=1)
    assert await scene.score() == 'signature'


async def test_a_sample_is_scored_though_an_equal_live_request_is_refused():
    scene = Scene(UnluckyService(crashes=2))
    with pytest.raises(errors.OutcomeUnknown):
        await scene.send_live()
    with pytest.raises(errors.PoisonRefused):
        await scene.send_live()
    assert await scene.score() == 'signature'
    with pytest.raises(errors.PoisonRefused):
        await scene.send_live()


async def test_a_live_request_is_not_refused_for_crashes_under_an_equal_one():
    scene = Scene(UnluckyService(crashes=3))
    assert await scene.score() == 'signature'
    assert (await scene.send_live()).status == 200


async def test_a_refused_sample_is_scored_soon_after_the_scorers_have_room():
    # Guards against a wait for the estimated end of a queue of callers.
    scorer = make_scorer(BusyForwarder(busy_until=3.0))
    assert await score(scorer) == 'signature'
