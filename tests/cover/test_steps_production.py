"""Samples and scoring requests of steps under which servers crash."""

import random

import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction import routing
from swiftjunction import steps
from swiftjunction import weights
from tests import virtualtime

pytestmark = pytest.mark.anyio

# Much less than the deadline of a step, and than the time for which a request
# that crashes servers is refused.
STEP_SECONDS = 30.0
PROMPT = 'prompt'
MAX_TOKENS = 4


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


class UnluckyEngines:
    """Engines that crash, each on the first generation, as often as set."""

    def __init__(self, crashes):
        self.crashes = crashes

    async def stream(self, server, call):
        await anyio.sleep(0.1)
        if self.crashes:
            raise errors.AnswerBroken('reset', step='call', peer=server.name)
        yield backends.Chunk('text ', 0, call.max_tokens, 1, 'stop')

    async def resume(self, server, call, offset):
        self.crashes -= 1
        raise errors.BackendUnreachable(
            'connection refused', step='call', peer=server.name
        )
        yield

    async def cancel(self, server, request_id):
        pass


class UnluckyScorers(backends.ServiceTransport):
    """Scorers that crash, each on the first request, as often as set."""

    def __init__(self, crashes):
        self.crashes = crashes

    async def call(self, server, call):
        await anyio.sleep(0.1)
        if self.crashes:
            self.crashes -= 1
            raise errors.AnswerBroken('reset', step='call', peer=server.name)
        return backends.ServiceResponse(200, [], b'{"index":0,"score":0.5}')

    async def is_crashed(self, server):
        return True


class Scene:
    """A process that produces samples beside live requests."""

    def __init__(self, engines, scorers=None, server_count=4):
        table = membership.RecordTable()
        directory = backends.Directory(table, anyio.current_time)
        history = weights.VersionHistory('m')
        history.add(0.0)
        table.put('weights/m', msgspec.json.encode(history))
        subtree = configuration.Subtree(
            'team',
            paths={
                'team/m': configuration.PathSettings(
                    model='m', freshness_versions=1
                ),
                'team/score': configuration.PathSettings(service='score'),
            },
        )
        table.put('config/team', msgspec.json.encode(subtree))
        for index in range(server_count):
            directory.update(
                backends.ServerReport(
                    f'e{index}', 'h:1', 'm', 'dc', weight_version=1
                )
            )
            directory.update(
                backends.ServerReport(f's{index}', 'h:1', 'score', 'dc')
            )
        tree = configuration.Tree(table)
        self.path_settings = tree.resolve('team/m')
        version_tracker = weights.VersionTracker(table)
        router = routing.Router(directory, 'dc', random.Random(1))
        budget = requests.RetryBudget()
        suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(table), 'p', anyio.current_time
        )
        self.generator = requests.CompletionGenerator(
            router, engines, version_tracker, budget, suspects
        )
        self.producer = steps.Producer(
            tree,
            self.generator,
            requests.Forwarder(router, scorers, None, budget, suspects),
            version_tracker,
            8,
            random.Random(1),
        )

    async def produce(self, scorer=''):
        spec = steps.StepSpec(
            'trainer',
            'step',
            'team/m',
            [steps.Group(PROMPT, 1, MAX_TOKENS)],
            scorer=scorer,
        )
        (task,) = spec.iter_tasks()
        with anyio.fail_after(STEP_SECONDS):
            slot = await self.producer.acquire_slot(spec, STEP_SECONDS)
            sample = await self.producer.produce(
                spec, task, slot, urgent=False
            )
        return sample

    async def send_live(self):
        """Send the live request that equals the sample."""
        call = requests.GenerationCall(
            'live',
            'team/m',
            self.path_settings,
            PROMPT,
            MAX_TOKENS,
            anyio.current_time() + 10.0,
        )
        return ''.join([c.text async for c in self.generator.generate(call)])


async def test_a_sample_is_produced_after_two_engines_crashed_under_it():
    # Guards against a refusal for an hour as a request that crashes servers.
    scene = Scene(UnluckyEngines(crashes=3))
    assert (await scene.produce()).text == 'text '


async def test_a_sample_is_produced_on_the_only_engine_after_it_crashed():
    # Guards against a wait for a second engine, to run in isolation.
    scene = Scene(UnluckyEngines(crashes=1), server_count=1)
    assert (await scene.produce()).text == 'text '


async def test_a_sample_is_produced_though_an_equal_live_request_is_refused():
    scene = Scene(UnluckyEngines(crashes=2))
    with pytest.raises(errors.PoisonRefused):
        await scene.send_live()
    assert (await scene.produce()).text == 'text '
    with pytest.raises(errors.PoisonRefused):
        await scene.send_live()


async def test_a_live_request_is_not_refused_for_crashes_under_a_sample():
    scene = Scene(UnluckyEngines(crashes=2))
    assert (await scene.produce()).text == 'text '
    assert await scene.send_live() == 'text '


async def test_a_sample_is_scored_after_two_scorers_crashed_under_it():
    # Guards against a refusal for an hour as a request that crashes servers.
    scene = Scene(UnluckyEngines(crashes=0), UnluckyScorers(crashes=5))
    assert (await scene.produce('team/score')).score == 0.5


async def test_a_sample_is_scored_by_the_only_scorer_after_it_crashed():
    # Guards against a wait for a second scorer, to run in isolation.
    scene = Scene(
        UnluckyEngines(crashes=0), UnluckyScorers(crashes=1), server_count=1
    )
    assert (await scene.produce('team/score')).score == 0.5
