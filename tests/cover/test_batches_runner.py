import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import membership
from swiftjunction import telemetry


class BlockingArchive(batches.BatchArchive):
    """An archive that blocks reads of results until `may_read` is set."""

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
