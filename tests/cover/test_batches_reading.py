"""Results that several VMs list, around a change of coordinator.

Guards against two VMs that disagree on what is listed: one returns a result,
and another one has nothing at its position.
"""

import contextlib

import anyio
import pytest

from swiftjunction import batches
from swiftjunction import errors
from swiftjunction import leases
from tests import conftest
from tests.cover import test_batches_planning
from tests.cover import test_batches_runner
from tests import virtualtime

LEASE_SECONDS = 10.0
WRITE_SECONDS = 0.3
# Much longer than a predecessor takes to stop.
HANDOVER_SECONDS = 30.0


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


class QuietStore(conftest.MemoryStore):
    """A store whose watches wait, as virtual time needs a timer to advance."""

    async def watch(self, prefix, revision, wait_seconds):
        await anyio.sleep(wait_seconds)
        return await super().watch(prefix, revision, wait_seconds)


@pytest.fixture
def store():
    return QuietStore()


class UncertainArchive(batches.BatchArchive):
    """Stores one block, cannot confirm that, and takes no more."""

    stored = False

    async def append(self, batch_id, number, results):
        if not self.stored:
            self.stored = True
            await super().append(batch_id, number, results)
        raise errors.PlatformUnavailable('store is away', step='append')


class SlowArchive(batches.BatchArchive):
    """An archive that stores a block at once, and responds late."""

    async def append(self, batch_id, number, results):
        await super().append(batch_id, number, results)
        await anyio.sleep(WRITE_SECONDS)


class Coordinator:
    """One process that coordinates; its clock stands still."""

    def __init__(
        self, store, archive_class=test_batches_runner.CountingArchive
    ):
        self.now = 0.0
        self.archive = archive_class(store)
        self.runner = test_batches_runner.make_runner(
            store,
            self.archive,
            test_batches_planning.EnginePool().registry,
            test_batches_runner.RecordingSampleRunner(),
        )
        self.access = batches.RunnerAccess(self.runner, self.archive)
        self.lease = leases.Lease(
            'coordinator', 1, LEASE_SECONDS, lambda: self.now
        )

    def expire_lease(self):
        self.now = LEASE_SECONDS + 1.0

    def renew_lease(self):
        self.lease.extend(self.now + LEASE_SECONDS + 1.0)

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.runner.run, self.lease)
            await anyio.sleep(0.1)
            yield
            tasks.cancel_scope.cancel()

    def complete(self, sample_id):
        self.runner.batches['b'].add_result(
            batches.Result(sample_id, complete=True)
        )

    async def list_ids(self, position=0):
        page = await self.access.read_results('b', position, 0.0)
        return [result.sample_id for result in page.results]


async def create_batch(store):
    archive = batches.BatchArchive(store)
    samples = [
        batches.Sample(name, '/x', [], b'', group='g') for name in 'ijk'
    ]
    await archive.create(
        batches.Batch(
            batch_id='b',
            route='r',
            host='h',
            service='s',
            total=len(samples),
            samples=samples,
        )
    )
    return archive


async def list_stored(archive):
    blocks = await archive.read_results('b')
    return [result.sample_id for block in blocks for result in block]


async def append(archive, number, sample_id):
    await archive.append(
        'b', number, [batches.Result(sample_id, complete=True)]
    )


@pytest.mark.anyio
class TestWritesOfAFormerCoordinator:
    async def test_nothing_is_listed_while_the_lease_has_expired(self, store):
        archive = await create_batch(store)
        coordinator = Coordinator(store)
        async with coordinator.run():
            coordinator.expire_lease()
            coordinator.runner._writer.flushing = True
            coordinator.complete('i')
            await anyio.sleep(WRITE_SECONDS)
            assert await list_stored(archive) == []
            assert await coordinator.list_ids() == []

    async def test_results_are_listed_once_the_lease_is_renewed(self, store):
        archive = await create_batch(store)
        coordinator = Coordinator(store)
        async with coordinator.run():
            coordinator.expire_lease()
            coordinator.runner._writer.flushing = True
            coordinator.complete('i')
            await anyio.sleep(WRITE_SECONDS)
            coordinator.renew_lease()
            await anyio.sleep(WRITE_SECONDS)
            assert await list_stored(archive) == ['i']
            assert await coordinator.list_ids() == ['i']


@pytest.mark.anyio
class TestReadsOfResultsOnTheStoreAlone:
    async def test_a_coordinator_whose_lease_expired_asks_the_store(
        self, store
    ):
        archive = await create_batch(store)
        coordinator = Coordinator(store)
        async with coordinator.run():
            await anyio.sleep(HANDOVER_SECONDS)
            coordinator.expire_lease()
            await append(archive, 0, 'i')
            assert await coordinator.list_ids() == ['i']

    async def test_a_block_written_during_the_handover_is_found_later(
        self, store
    ):
        archive = await create_batch(store)
        coordinator = Coordinator(store)
        async with coordinator.run():
            await append(archive, 0, 'i')
            await anyio.sleep(HANDOVER_SECONDS)
            assert await coordinator.list_ids() == ['i']

    async def test_it_is_found_behind_results_in_memory(self, store):
        archive = await create_batch(store)
        await append(archive, 0, 'i')
        coordinator = Coordinator(store)
        async with coordinator.run():
            await append(archive, 1, 'j')
            await anyio.sleep(HANDOVER_SECONDS)
            assert await coordinator.list_ids(1) == ['j']
            assert await coordinator.list_ids() == ['i', 'j']

    async def test_a_position_that_another_vm_returned_is_looked_up(
        self, store
    ):
        archive = await create_batch(store)
        coordinator = Coordinator(store)
        async with coordinator.run():
            await anyio.sleep(HANDOVER_SECONDS)
            assert await coordinator.list_ids() == []
            await append(archive, 0, 'i')
            await append(archive, 1, 'j')
            assert await coordinator.list_ids(1) == ['j']
            assert await coordinator.list_ids() == ['i', 'j']

    async def test_a_block_whose_write_is_uncertain_is_looked_up(self, store):
        await create_batch(store)
        coordinator = Coordinator(store, UncertainArchive)
        async with coordinator.run():
            await anyio.sleep(HANDOVER_SECONDS)
            assert await coordinator.list_ids() == []
            coordinator.runner._writer.flushing = True
            coordinator.complete('i')
            await anyio.sleep(WRITE_SECONDS)
            assert await coordinator.list_ids() == ['i']

    async def test_a_block_whose_write_has_no_response_yet_is_looked_up(
        self, store
    ):
        await create_batch(store)
        coordinator = Coordinator(store, SlowArchive)
        async with coordinator.run():
            await anyio.sleep(HANDOVER_SECONDS)
            assert await coordinator.list_ids() == []
            coordinator.runner._writer.flushing = True
            coordinator.complete('i')
            await anyio.sleep(WRITE_SECONDS / 2)
            assert await coordinator.list_ids() == ['i']

    async def test_a_block_read_while_it_is_written_is_added_once(self, store):
        await create_batch(store)
        coordinator = Coordinator(store, SlowArchive)
        async with coordinator.run():
            coordinator.runner._writer.flushing = True
            coordinator.complete('i')
            await anyio.sleep(0.15)
            assert await coordinator.list_ids() == ['i']
            await anyio.sleep(WRITE_SECONDS)
            assert await coordinator.list_ids() == ['i']
            coordinator.complete('j')
            await anyio.sleep(0.1 + WRITE_SECONDS)
            assert await coordinator.list_ids() == ['i', 'j']

    async def test_the_store_is_asked_once_after_the_handover(self, store):
        await create_batch(store)
        coordinator = Coordinator(store)
        async with coordinator.run():
            await anyio.sleep(HANDOVER_SECONDS)
            coordinator.archive.reads = 0
            for _ in range(5):
                assert await coordinator.list_ids() == []
            assert coordinator.archive.reads <= 1
