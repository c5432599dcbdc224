import logging

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction import telemetry
from tests.cover import test_batches_planning

pytestmark = pytest.mark.anyio


class ScriptedClient:
    """Sends one event, then waits, or raises the given error."""

    def __init__(self, error=None):
        self.error = error
        self.sent = anyio.Event()

    async def generate(
        self, server, host, sample, after_number, check, organisation
    ):
        self.after_number = after_number
        yield backends.StreamEvent(0, 'text', 1, b'')
        self.sent.set()
        if self.error is not None:
            raise self.error
        await anyio.sleep_forever()


class Scene:
    """An attempt to generate one sample, and what is logged of its end."""

    def __init__(self, client, caplog):
        caplog.set_level(logging.INFO)
        self.caplog = caplog
        self.runner = batches.SampleRunner(client, None, telemetry.Metrics())
        self.open_batch = test_batches_planning.make_open_batch(
            [test_batches_planning.make_sample('i', 'g')]
        )
        pool = test_batches_planning.EnginePool()
        pool.update_server('e0', software='v1')
        self.engine = pool.get_engine('e0')

    async def generate(self):
        progress = self.open_batch.pending['i']
        await self.runner.generate(self.open_batch, progress, self.engine)

    def list_outcomes(self):
        return [
            (record.request_id, record.outcome, record.last_event)
            for record in self.caplog.records
            if record.message == 'sample attempt ended'
        ]


async def test_the_end_of_an_attempt_that_was_cancelled_is_logged(caplog):
    # Guards against logs in which a running sample looks like a forgotten one.
    client = ScriptedClient()
    scene = Scene(client, caplog)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.generate)
        await client.sent.wait()
        tasks.cancel_scope.cancel()
    assert scene.list_outcomes() == [('i', 'cancelled', 0)]


async def test_the_end_of_an_attempt_that_was_refused_is_logged(caplog):
    scene = Scene(
        ScriptedClient(errors.SampleRefused('never', step='generate')), caplog
    )
    with pytest.raises(errors.SampleRefused):
        await scene.generate()
    assert scene.list_outcomes() == [('i', 'SampleRefused', 0)]


async def test_a_text_of_another_software_is_never_continued(caplog):
    client = ScriptedClient(errors.AnswerBroken('broken', step='generate'))
    scene = Scene(client, caplog)
    progress = scene.open_batch.pending['i']
    progress.events = ['x', 'y']
    progress.last_number = 1
    progress.software = 'v0'
    await scene.generate()
    assert client.after_number == -1
    assert progress.events == ['text']
    assert progress.software == scene.engine.server.software


class NumberedClient(ScriptedClient):
    """Sends events with the given numbers; the stream then ends."""

    def __init__(self, numbers):
        super().__init__()
        self._numbers = numbers

    async def generate(
        self, server, host, sample, after_number, check, organisation
    ):
        self.after_number = after_number
        for number in self._numbers:
            yield backends.StreamEvent(number, f'text {number}', 1, b'')


@pytest.mark.parametrize(
    ('known', 'numbers', 'kept'),
    [
        ([], [0, 1, 3], [0, 1]),
        ([], [0, 1, 1, 2], [0, 1]),
        ([], [0, 1, 0], [0, 1]),
        ([], [2, 3], []),
        ([], [-1, 0], []),
        ([0, 1], [1, 2], [0, 1]),
        ([0, 1], [3], [0, 1]),
        ([0, 1], [0, 1, 2], [0, 1]),
    ],
)
async def test_a_text_with_a_missing_or_repeated_event_is_not_complete(
    caplog, known, numbers, kept
):
    scene = Scene(NumberedClient(numbers), caplog)
    progress = scene.open_batch.pending['i']
    if known:
        progress.events = [f'text {number}' for number in known]
        progress.last_number = known[-1]
        progress.software = scene.engine.server.software
    await scene.generate()
    assert not progress.complete
    assert progress.events == [f'text {number}' for number in kept]
    assert progress.last_number == (kept[-1] if kept else -1)
    last_event = progress.last_number
    assert scene.list_outcomes() == [('i', 'AnswerBroken', last_event)]


@pytest.mark.parametrize('numbers', [[0, 1, 2], [1, 2, 3]])
async def test_a_text_whose_events_follow_each_other_is_complete(
    caplog, numbers
):
    scene = Scene(NumberedClient(numbers), caplog)
    await scene.generate()
    assert scene.open_batch.pending['i'].complete
    assert scene.list_outcomes() == [('i', 'whole', numbers[-1])]
