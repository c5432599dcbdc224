import logging
import random

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction.batches import _dispatch
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import routes
from swiftjunction import telemetry
from tests import conftest
from tests.cover import test_batches_planning
from tests.cover import test_batches_runner
from tests import virtualtime

# A trainer may rely on it that nothing of a batch reaches a server later than
# this after the end of the batch was acknowledged.
CANCEL_SECONDS = 3.0
SAMPLE_SECONDS = 1.0
SCORER_ATTEMPTS = 3
SCORER = batches.ScoreRequest('score', 'h', '/p/score', b'')


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


class SilentStore(conftest.MemoryStore):
    """A store whose calls hang for one process from a given time on.

    Attributes
    ----------
    silent : bool
        Whether calls that the runner makes get no response.
    """

    def __init__(self):
        super().__init__()
        self.silent = False

    async def list(self, prefix):
        if self.silent:
            await anyio.sleep_forever()
        return await super().list(prefix)

    async def watch(self, prefix, revision, wait_seconds):
        await anyio.sleep(wait_seconds)
        while self.silent:
            await anyio.sleep(wait_seconds)
        return await super().list(prefix)


class RecordingClient:
    """Generates samples of one event, and records when each was sent."""

    def __init__(self):
        self.sent_at = []

    async def generate(
        self, server, host, sample, after_number, check=None, organisation=''
    ):
        if check is not None:
            check()
        self.sent_at.append(anyio.current_time())
        await anyio.sleep(SAMPLE_SECONDS)
        yield backends.StreamEvent(0, 'text', 1, b'')


class BusyForwarder:
    """Refuses each call as not run, and records when each was made."""

    def __init__(self):
        self.called_at = []

    async def forward(self, call):
        self.called_at.append(anyio.current_time())
        raise errors.NotRun('busy', step='route', retry_after_seconds=0.5)


class QueueingForwarder:
    """Sends each call after a wait for a server, and records when."""

    def __init__(self, wait_seconds):
        self.wait_seconds = wait_seconds
        self.sent_at = []

    async def forward(self, call):
        await anyio.sleep(self.wait_seconds)
        check = getattr(call.service_call, 'check', None)
        if check is not None:
            check()
        self.sent_at.append(anyio.current_time())
        return backends.ServiceResponse(200, [], b'', 'signature')


def make_scorer(forwarder):
    route = routes.Route(
        'r',
        'h',
        '/p/',
        routes.RouteKind.IDEMPOTENT,
        (routes.ServiceShare('plain'),),
        max_attempts=SCORER_ATTEMPTS,
    )
    active_routes = routes.ActiveRoutes()
    active_routes.update(
        routes.RouteTable(1, [route], routes.ConnectionLimits())
    )
    return batches.RoutedScorer(active_routes, forwarder, random.Random(1))


class Scene:
    """A runner of one batch that another process ends.

    Parameters
    ----------
    forwarder : Forwarder
        Sends the scoring requests; None for samples without any.
    """

    def __init__(self, sample_count, forwarder=None, store=None):
        self.store = store or SilentStore()
        self.outages = test_batches_runner.FakeOutages()
        self.client = RecordingClient()
        pool = test_batches_planning.EnginePool(count=1, slots=1)
        metrics = telemetry.Metrics()
        self.archive = batches.BatchArchive(self.store)
        self.runner = test_batches_runner.make_runner(
            self.store,
            self.archive,
            pool.registry,
            batches.SampleRunner(self.client, make_scorer(forwarder), metrics),
            self.outages,
        )
        self.batch = batches.Batch(
            batch_id='b',
            route='r',
            host='h',
            service='s',
            total=sample_count,
            model='m',
            samples=[
                batches.Sample(
                    f'i{index}',
                    '/x',
                    [],
                    b'',
                    group='g',
                    scorer=None if forwarder is None else SCORER,
                )
                for index in range(sample_count)
            ],
        )

    async def end_unnoticed(self, after_seconds):
        """Run the batch, end it unnoticed, and return when that was."""
        ended_at = 0.0
        async with anyio.create_task_group() as tasks:
            await self.archive.create(self.batch)
            tasks.start_soon(self.runner.run)
            await anyio.sleep(after_seconds)
            self.store.silent = True
            await self.archive.end('b')
            ended_at = anyio.current_time()
            await anyio.sleep(20.0)
            tasks.cancel_scope.cancel()
        return ended_at


@pytest.mark.anyio
class TestEndThatTheCoordinatorHasNotHeardOf:
    async def test_no_sample_reaches_an_engine_three_seconds_later(self):
        scene = Scene(sample_count=20)
        ended_at = await scene.end_unnoticed(after_seconds=4.5)
        assert len(scene.client.sent_at) >= 4
        assert scene.client.sent_at[-1] - ended_at <= CANCEL_SECONDS

    async def test_no_scoring_request_is_repeated_three_seconds_later(self):
        forwarder = BusyForwarder()
        scene = Scene(sample_count=1, forwarder=forwarder)
        ended_at = await scene.end_unnoticed(after_seconds=4.5)
        assert len(forwarder.called_at) >= 4
        assert forwarder.called_at[-1] - ended_at <= CANCEL_SECONDS

    async def test_no_scoring_request_that_waited_is_sent_later(self):
        forwarder = QueueingForwarder(wait_seconds=5.0)
        scene = Scene(sample_count=1, forwarder=forwarder)
        ended_at = await scene.end_unnoticed(after_seconds=2.0)
        assert all(
            sent_at - ended_at <= CANCEL_SECONDS
            for sent_at in forwarder.sent_at
        )


@pytest.mark.anyio
async def test_samples_are_started_again_once_the_store_is_back():
    scene = Scene(sample_count=30)
    async with anyio.create_task_group() as tasks:
        await scene.archive.create(scene.batch)
        tasks.start_soon(scene.runner.run)
        await anyio.sleep(1.5)
        scene.store.silent = True
        silent_at = anyio.current_time()
        await anyio.sleep(10.0)
        stopped_at = scene.client.sent_at[-1]
        scene.store.silent = False
        await anyio.sleep(5.0)
        tasks.cancel_scope.cancel()
    assert stopped_at - silent_at <= CANCEL_SECONDS
    assert anyio.current_time() - scene.client.sent_at[-1] <= SAMPLE_SECONDS


@pytest.mark.anyio
class TestStoreThatIsAwayForAllVms:
    async def run(self, scene, away_seconds, then_seconds):
        """Run the batch; return when the store came back."""
        async with anyio.create_task_group() as tasks:
            await scene.archive.create(scene.batch)
            tasks.start_soon(scene.runner.run)
            await anyio.sleep(1.5)
            scene.store.silent = scene.outages.is_away = True
            await anyio.sleep(away_seconds)
            scene.outages.is_away = False
            back_at = anyio.current_time()
            await anyio.sleep(then_seconds)
            tasks.cancel_scope.cancel()
        return back_at

    async def test_samples_go_on_as_no_end_can_be_acknowledged(self):
        scene = Scene(sample_count=30)
        back_at = await self.run(scene, away_seconds=10.0, then_seconds=0.0)
        assert back_at - scene.client.sent_at[-1] <= SAMPLE_SECONDS
        assert len(scene.client.sent_at) >= 11

    async def test_no_sample_is_sent_long_after_it_is_back(self):
        scene = Scene(sample_count=30)
        back_at = await self.run(scene, away_seconds=5.0, then_seconds=10.0)
        assert scene.client.sent_at[-1] - back_at <= CANCEL_SECONDS


def test_a_vm_that_was_suspended_needs_another_confirmation():
    clock = conftest.FakeClock()
    confirmation = batches.EndConfirmation(CANCEL_SECONDS, clock=clock)
    confirmation.record(clock())
    assert confirmation.is_recent()
    clock.now += CANCEL_SECONDS
    assert not confirmation.is_recent()


class FailingForwarder:
    """Answers each call with 500 after a second, and counts the calls."""

    def __init__(self):
        self.calls = 0

    async def forward(self, call):
        call.service_call.check()
        self.calls += 1
        await anyio.sleep(1.0)
        return backends.ServiceResponse(500, [], b'', '')


class LateStore(SilentStore):
    """A store whose watches are answered a second late."""

    async def watch(self, prefix, revision, wait_seconds):
        await anyio.sleep(wait_seconds + 1.0)
        return await super().list(prefix)


@pytest.mark.anyio
async def test_a_scorer_that_fails_is_given_up_although_the_store_is_late():
    forwarder = FailingForwarder()
    scene = Scene(sample_count=1, forwarder=forwarder, store=LateStore())
    async with anyio.create_task_group() as tasks:
        await scene.archive.create(scene.batch)
        tasks.start_soon(scene.runner.run)
        await anyio.sleep(60.0)
        tasks.cancel_scope.cancel()
    assert forwarder.calls == SCORER_ATTEMPTS


class SlowStore(conftest.MemoryStore):
    """Answers late; one watch fails after it has waited twice as long."""

    def __init__(self, late_seconds, failing_watch):
        super().__init__()
        self._late_seconds = late_seconds
        self._failing_watch = failing_watch
        self._watches = 0

    async def list(self, prefix):
        await anyio.sleep(self._late_seconds)
        return await super().list(prefix)

    async def watch(self, prefix, revision, wait_seconds):
        self._watches += 1
        if self._watches == self._failing_watch:
            await anyio.sleep(2 * wait_seconds)
            raise errors.PlatformUnavailable('silent', step='watch')
        await anyio.sleep(wait_seconds + self._late_seconds)
        return objectstore.ChangeSet(revision, [], [])


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('late_seconds', 'failing_watch'), [(0.15, 0), (0.5, 0), (0.01, 4)]
)
async def test_a_late_store_or_one_silent_watch_stops_no_samples(
    late_seconds, failing_watch
):
    confirmation = batches.EndConfirmation(
        CANCEL_SECONDS, clock=anyio.current_time
    )
    listener = objectstore.CallbackListener(
        lambda found: None, on_confirm=confirmation.record
    )
    paused = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            lambda: objectstore.follow(
                SlowStore(late_seconds, failing_watch),
                'batches/',
                listener,
                watch_seconds=confirmation.watch_seconds,
                clock=anyio.current_time,
            )
        )
        await anyio.sleep(1.0)
        for _ in range(1000):
            await anyio.sleep(0.02)
            paused += not confirmation.is_recent()
        tasks.cancel_scope.cancel()
    assert paused == 0


@pytest.mark.anyio
async def test_a_new_coordinator_does_not_warn_that_ends_may_be_unknown(
    caplog,
):
    caplog.set_level(logging.INFO)
    store = SlowStore(late_seconds=0.3, failing_watch=0)
    runner = test_batches_runner.make_runner(
        store, batches.BatchArchive(store)
    )
    with anyio.move_on_after(1.5):
        await runner.run()
    messages = [record.message for record in caplog.records]
    assert 'ended batches are known; starting samples' in messages
    assert 'ended batches may be unknown; starting no samples' not in messages


@pytest.mark.anyio
async def test_no_sample_is_migrated_while_none_may_be_started(monkeypatch):
    scene = Scene(sample_count=1)
    migrated_at = []
    monkeypatch.setattr(
        _dispatch.Dispatcher,
        'migrate_from_slow_engines',
        lambda self, open_batches: migrated_at.append(anyio.current_time()),
    )
    ended_at = await scene.end_unnoticed(after_seconds=4.5)
    assert migrated_at[0] < ended_at
    assert migrated_at[-1] - ended_at <= CANCEL_SECONDS
