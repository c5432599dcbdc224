"""An error of one sample, batch or write does not end the others."""

import contextlib
import logging

import anyio
import pytest

from swiftjunction import batches
from swiftjunction.batches import _checkpoints
from swiftjunction.batches import _migration
from swiftjunction.batches import _planning
from swiftjunction.batches import _retention
from swiftjunction import errors
from tests.cover import test_batches_planning
from tests.cover import test_batches_runner

pytestmark = pytest.mark.anyio

# Long enough for several attempts without a delay between them.
RUN_SECONDS = 1.2


class FailingSampleRunner:
    """Completes all samples but ``odd``, which raises an error."""

    def __init__(self, error):
        self._error = error
        self.odd_attempts = 0

    async def generate(self, open_batch, progress, engine):
        await anyio.sleep(0)
        if progress.sample.sample_id == 'odd':
            self.odd_attempts += 1
            raise self._error
        progress.complete = True
        return True

    async def score(self, open_batch, progress):
        return batches.Result(progress.sample.sample_id, complete=True)


class FailingArchive(batches.BatchArchive):
    """Raises an unexpected error for some calls about the batch ``odd``."""

    open_failures = 0
    write_failures = 0

    async def resolve_parts(self, found):
        if found.key.endswith('odd') and self.open_failures:
            self.open_failures -= 1
            raise RecursionError('too deep')
        return await super().resolve_parts(found)

    async def append(self, batch_id, number, results):
        if batch_id == 'odd' and self.write_failures:
            self.write_failures -= 1
            raise RecursionError('too deep')
        await super().append(batch_id, number, results)


def make_batch(batch_id, sample_ids, **options):
    return batches.Batch(
        batch_id=batch_id,
        route='r',
        host='h',
        service='s',
        total=len(sample_ids),
        samples=[
            batches.Sample(name, '/x', [], b'', group=name)
            for name in sample_ids
        ],
        model='m',
        wanted_groups=1,
        **options,
    )


@contextlib.asynccontextmanager
async def run_batches(archive, sample_runner, store, *created):
    """Run a runner, and yield how to read what is listed of a batch."""
    pool = test_batches_planning.EnginePool()
    runner = test_batches_runner.make_runner(
        store, archive, pool.registry, sample_runner
    )
    access = batches.RunnerAccess(runner, archive)
    for batch in created:
        await archive.create(batch)

    async def list_results(batch_id):
        page = await access.read_results(batch_id, 0, 0.0)
        return {r.sample_id: r.complete for r in page.results}

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runner.run)
        yield list_results
        tasks.cancel_scope.cancel()


def find_records(caplog, message):
    return [r for r in caplog.records if r.getMessage().startswith(message)]


async def test_an_unexpected_error_fails_one_attempt_alone(store, caplog):
    sample_runner = FailingSampleRunner(RecursionError('too deep'))
    async with run_batches(
        batches.BatchArchive(store),
        sample_runner,
        store,
        make_batch('b', ['a', 'odd', 'c']),
    ) as list_results:
        await anyio.sleep(RUN_SECONDS)
        assert await list_results('b') == {'a': True, 'c': True}
    # At once and after 0.5 s; the next one is due after 1.5 s.
    assert sample_runner.odd_attempts == 2
    records = find_records(caplog, 'the task of one item failed')
    assert [record.request_id for record in records] == ['odd', 'odd']
    assert all(record.exc_info for record in records)


async def test_a_sample_that_cannot_be_sent_is_logged_once(store, caplog):
    caplog.set_level(logging.WARNING)
    sample_runner = FailingSampleRunner(errors.RequestUnsendable('odd'))
    async with run_batches(
        batches.BatchArchive(store),
        sample_runner,
        store,
        make_batch('b', ['a', 'odd'], max_age_seconds=40.0),
    ) as list_results:
        await anyio.sleep(RUN_SECONDS)
        assert await list_results('b') == {'a': True}
    assert sample_runner.odd_attempts == 1
    (record,) = find_records(caplog, 'sample cannot be sent')
    assert (record.request_id, record.batch) == ('odd', 'b')


async def test_a_sample_that_cannot_be_sent_is_abandoned_at_the_maximum_age(
    store,
):
    sample_runner = FailingSampleRunner(errors.RequestUnsendable('odd'))
    async with run_batches(
        batches.BatchArchive(store),
        sample_runner,
        store,
        make_batch('b', ['a', 'odd'], max_age_seconds=0.5),
    ) as list_results:
        await anyio.sleep(1.0)
        assert await list_results('b') == {'a': True}
        with anyio.fail_after(5):
            while await list_results('b') != {'a': True, 'odd': False}:
                await anyio.sleep(0.05)
    assert sample_runner.odd_attempts == 2


@pytest.mark.parametrize('step', ['open_failures', 'write_failures'])
async def test_an_unexpected_error_delays_one_batch_alone(store, caplog, step):
    archive = FailingArchive(store)
    setattr(archive, step, 1)
    async with run_batches(
        archive,
        FailingSampleRunner(RecursionError('too deep')),
        store,
        make_batch('odd', ['a']),
        make_batch('b', ['c']),
    ) as list_results:
        with anyio.fail_after(5):
            while await list_results('b') != {'c': True}:
                await anyio.sleep(0.05)
            while (await archive.read_results('odd')) == []:
                await anyio.sleep(0.05)
        assert await list_results('odd') == {'a': True}
    assert len(find_records(caplog, 'the task of one item failed')) == 1


@pytest.mark.parametrize(
    'call', ['reserve_attempts', 'migrate_from_slow_engines']
)
async def test_a_batch_whose_planning_fails_is_set_aside(
    store, caplog, monkeypatch, call
):
    def fail_for_odd(function):
        def plan(open_batch, *args):
            if open_batch.batch.batch_id == 'odd':
                raise RecursionError('too deep')
            return function(open_batch, *args)

        return plan

    if call == 'reserve_attempts':
        module, name = _planning, 'prioritize_groups'
        monkeypatch.setattr(module, name, fail_for_odd(getattr(module, name)))
    else:

        def select_migrations(open_batches, *args):
            if any(b.batch.batch_id == 'odd' for b in open_batches):
                raise RecursionError('too deep')
            return ()

        monkeypatch.setattr(_migration, 'select_migrations', select_migrations)
    async with run_batches(
        batches.BatchArchive(store),
        FailingSampleRunner(RecursionError('too deep')),
        store,
        make_batch('odd', ['a']),
        make_batch('b', ['c']),
    ) as list_results:
        await anyio.sleep(RUN_SECONDS)
        assert await list_results('b') == {'c': True}
    records = find_records(caplog, 'the task of one item failed')
    # At once and after 0.5 s, each time for the round and for the batch.
    assert 2 <= len(records) <= 4
    assert {getattr(r, 'batch', None) for r in records} == {None, 'odd'}


@pytest.mark.parametrize('method', ['read_checkpoint', 'write_checkpoint'])
async def test_an_unexpected_error_of_checkpoints_ends_no_batch(
    store, caplog, monkeypatch, method
):
    async def fail(*args):
        raise RecursionError('too deep')

    archive = batches.BatchArchive(store)
    monkeypatch.setattr(batches.BatchArchive, method, fail)
    monkeypatch.setattr(_checkpoints, 'CHECKPOINT_INTERVAL_SECONDS', 0.01)
    monkeypatch.setattr(
        _checkpoints._kept, 'take_snapshot', lambda progress: progress
    )
    monkeypatch.setattr(
        _checkpoints.CheckpointManager,
        '_select_texts',
        lambda self, now: iter([object()]),
    )
    async with run_batches(
        archive,
        FailingSampleRunner(RecursionError('too deep')),
        store,
        make_batch('b', ['c']),
    ) as list_results:
        await anyio.sleep(RUN_SECONDS)
        assert await list_results('b') == {'c': True}
    records = find_records(caplog, 'the task of one item failed')
    # The intervals grow from 0.01 to 0.32 s.
    assert 1 <= len(records) <= 10


async def test_an_unexpected_error_of_a_deletion_ends_no_batch(
    store, caplog, monkeypatch
):
    async def fail(self, now):
        raise RecursionError('too deep')

    monkeypatch.setattr(_retention, 'EXPIRY_CHECK_INTERVAL_SECONDS', 0.01)
    monkeypatch.setattr(_retention.Retention, 'delete_expired', fail)
    async with run_batches(
        batches.BatchArchive(store),
        FailingSampleRunner(RecursionError('too deep')),
        store,
        make_batch('b', ['c']),
    ) as list_results:
        await anyio.sleep(RUN_SECONDS)
        assert await list_results('b') == {'c': True}
    records = find_records(caplog, 'the task of one item failed')
    assert 1 <= len(records) <= 10


async def test_an_error_as_a_batch_ends_does_not_let_its_samples_go_on(
    store, monkeypatch
):
    def fail(open_batch):
        raise RecursionError('too deep')

    monkeypatch.setattr(_checkpoints._kept, 'snapshot_incomplete_groups', fail)
    archive = batches.BatchArchive(store)
    runner = test_batches_runner.make_runner(store, archive)
    await archive.create(make_batch('b', ['a']))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runner.run)
        with anyio.fail_after(2):
            while not runner.batches:
                await anyio.sleep(0.02)
        open_batch = runner.batches['b']
        await archive.end('b')
        await anyio.sleep(0.5)
        assert open_batch.ended
        tasks.cancel_scope.cancel()
