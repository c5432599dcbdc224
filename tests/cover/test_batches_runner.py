import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import telemetry
from tests.cover import test_batches_archive
from tests.cover import test_batches_planning


class BlockingArchive(batches.BatchArchive):
    """An archive that blocks reads of results until `may_read` is set."""

    def __init__(self, store):
        super().__init__(store)
        self.may_read = anyio.Event()

    async def read_results(self, batch_id):
        await self.may_read.wait()
        return await super().read_results(batch_id)


class CountingArchive(batches.BatchArchive):
    """An archive that counts the reads of results."""

    reads = 0

    async def read_results(self, batch_id):
        self.reads += 1
        return await super().read_results(batch_id)


KEEP_SECONDS = 100.0
CANCEL_SECONDS = 3.0


class FakeOutages(batches.OutageDetector):
    """Says whether the store is away, as the test sets it."""

    def __init__(self):
        self.is_away = False

    async def is_store_unavailable(self):
        return self.is_away


class RecordingSampleRunner:
    """Records the samples that are started; none of them ends."""

    def __init__(self):
        self.started = []

    async def generate(self, open_batch, progress, engine):
        self.started.append(progress.sample.sample_id)
        await anyio.sleep_forever()


def make_runner(
    store,
    archive,
    engines=None,
    sample_runner=None,
    outages=None,
):
    table = membership.RecordTable()
    engines = engines or batches.EngineRegistry(
        backends.Directory(table), lambda: 0.0
    )
    return batches.BatchRunner(
        store,
        archive,
        engines,
        sample_runner,
        batches.EngineAllocator(),
        telemetry.Metrics(),
        backends.LoopLag(),
        KEEP_SECONDS,
        batches.EndConfirmation(CANCEL_SECONDS, anyio.current_time),
        outages or FakeOutages(),
    )


@pytest.mark.anyio
async def test_batch_ended_while_it_is_opened_stays_ended(store):
    archive = BlockingArchive(store)
    runner = make_runner(store, archive)
    batch = batches.Batch(
        batch_id='b',
        route='r',
        host='h',
        service='s',
        total=1,
        samples=[batches.Sample('i', '/x', [], b'', group='g')],
    )
    await archive.create(batch)
    stored = await archive.read('b')
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.open, stored)
            await anyio.sleep(0.01)
            runner.end('b')
            archive.may_read.set()
    assert runner.batches['b'].ended
    assert list(batches.prioritize_samples(runner.batches.values())) == []


@pytest.mark.anyio
async def test_an_overloaded_vm_starts_no_samples_until_it_has_caught_up(
    store,
):
    # The load: a coordinator whose running samples take more processor time
    # than its VM has. Guards against starting even more of them, which delays
    # the handling of ended batches by seconds.
    pool = test_batches_planning.EnginePool()
    sample_runner = RecordingSampleRunner()
    archive = batches.BatchArchive(store)
    runner = make_runner(store, archive, pool.registry, sample_runner)
    samples = [
        batches.Sample(name, '/x', [], b'', group='g') for name in 'abcd'
    ]
    await archive.create(
        batches.Batch(
            batch_id='b',
            route='r',
            host='h',
            service='s',
            total=len(samples),
            samples=samples,
            model='m',
        )
    )
    runner._start_condition._loop_lag.average_seconds = 1.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runner.run)
        await anyio.sleep(0.3)
        assert 'b' in runner.batches
        assert sample_runner.started == []
        runner._start_condition._loop_lag.average_seconds = 0.0
        await anyio.sleep(0.3)
        assert sorted(sample_runner.started) == ['a', 'b', 'c', 'd']
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
class TestResultsOfAnotherWriter:
    """Results on the store that the coordinator does not have in memory.

    Guards against an empty page for a position that another VM has already
    returned from the object store. The previous coordinator may still write
    after its successor has read the batch, and a batch may end before the
    outcome of its last write is known.
    """

    async def open_batch(self, store, archive_class=batches.BatchArchive):
        archive = archive_class(store)
        runner = make_runner(store, archive)
        await archive.create(
            batches.Batch(
                batch_id='b',
                route='r',
                host='h',
                service='s',
                total=2,
                samples=[
                    batches.Sample(name, '/x', [], b'', group='g')
                    for name in 'ij'
                ],
            )
        )
        await runner.open(await archive.read('b'))
        return runner, archive, batches.RunnerAccess(runner, archive)

    async def open_with_result_on_the_store(self, store):
        runner, archive, access = await self.open_batch(store)
        await archive.append('b', 0, [batches.Result('i', complete=True)])
        return runner, access

    async def test_they_are_returned_after_the_end_of_the_batch(self, store):
        runner, access = await self.open_with_result_on_the_store(store)
        runner.end('b')
        page = await access.read_results('b', 0, 0.0)
        assert [result.sample_id for result in page.results] == ['i']

    async def test_they_are_returned_after_a_change_of_coordinator(
        self, store
    ):
        runner, access = await self.open_with_result_on_the_store(store)
        runner._started_at = anyio.current_time()
        page = await access.read_results('b', 0, 0.0)
        assert [result.sample_id for result in page.results] == ['i']

    async def test_the_store_is_not_asked_for_each_empty_page(self, store):
        _, archive, access = await self.open_batch(store, CountingArchive)
        archive.reads = 0
        page = await access.read_results('b', 0, 0.0)
        assert page.results == []
        assert archive.reads == 0


@pytest.mark.anyio
async def test_a_batch_stored_under_another_id_is_not_opened(store):
    archive = CountingArchive(store)
    await archive.create(test_batches_archive.make_batch())
    store._put('batches/other', store.objects['batches/b'].value)
    runner = make_runner(store, archive)
    with pytest.raises(errors.ObjectBroken):
        await archive.read('other')
    with anyio.move_on_after(0.5):
        await runner._opener.open(store.objects['batches/other'])
    assert not runner.batches
    assert runner._end_if_ended(store.objects['batches/other'])
    [summary] = await archive.list_batches()
    assert summary.batch_id == 'b'
