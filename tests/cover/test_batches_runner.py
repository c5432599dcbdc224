import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import membership
from swiftjunction import telemetry


class SlowArchive(batches.BatchArchive):
    """An archive whose reading of results ends when the test says so."""

    def __init__(self, store):
        super().__init__(store)
        self.may_read = anyio.Event()

    async def read_results(self, batch_id):
        await self.may_read.wait()
        return await super().read_results(batch_id)


KEEP_SECONDS = 100.0


def make_runner(store, archive):
    table = membership.RecordTable()
    engines = batches.EngineRegistry(backends.Directory(table), lambda: 0.0)
    return batches.BatchRunner(
        store,
        archive,
        engines,
        None,
        batches.EngineAllocator(),
        telemetry.Metrics(),
        KEEP_SECONDS,
    )


@pytest.mark.anyio
async def test_an_end_that_is_learnt_while_a_batch_is_opened_holds(store):
    archive = SlowArchive(store)
    runner = make_runner(store, archive)
    batch = batches.Batch(
        batch_id='b',
        route='r',
        host='h',
        service='s',
        total=1,
        items=[batches.Item('i', '/x', [], b'', group='g')],
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
    assert list(batches.order_samples(runner.batches.values())) == []
