import anyio
import pytest

from swiftjunction import batches
from swiftjunction.batches import _checkpoints
from swiftjunction import supervision
from swiftjunction import telemetry


def make_batch(samples, **fields):
    return batches.Batch(
        batch_id='b',
        route='r',
        host='h',
        service='s',
        total=len(samples),
        samples=samples,
        **fields,
    )


def make_sample(sample_id, group='g'):
    return batches.Sample(sample_id, '/x', [], b'', group=group)


def make_snapshot(sample_id='a', versions=(3,), size=2, **fields):
    fields.setdefault('software', 'v1')
    return batches.ProgressSnapshot(
        sample_id, ['x'] * size, size - 1, list(versions), **fields
    )


def restore(snapshot, **fields):
    cache = batches.ProgressCache()
    cache.add([snapshot])
    progress = batches.SampleProgress(make_sample('a'))
    return cache.restore(progress, make_batch([], **fields)), progress


@pytest.mark.anyio
class TestRestore:
    async def test_sample_resumes_after_its_snapshot(self):
        restored, progress = restore(make_snapshot(), min_version=3)
        assert restored
        assert progress.last_number == 1
        assert progress.events == ['x', 'x']

    async def test_snapshot_below_the_minimum_version_is_not_used(self):
        restored, progress = restore(
            make_snapshot(versions=(2, 3)), min_version=3
        )
        assert not restored
        assert progress.last_number == -1
        assert not progress.complete

    async def test_two_versions_are_not_used_if_a_single_one_is_required(
        self,
    ):
        restored, _ = restore(
            make_snapshot(versions=(3, 4)), single_version=True
        )
        assert not restored

    async def test_a_part_of_a_text_of_unknown_software_is_not_used(self):
        restored, progress = restore(make_snapshot(software=''))
        assert not restored
        assert progress.events == []

    async def test_a_complete_text_of_unknown_software_is_used(self):
        restored, progress = restore(make_snapshot(software='', complete=True))
        assert restored
        assert progress.complete

    async def test_sample_without_a_snapshot_starts_at_the_beginning(self):
        restored, progress = restore(make_snapshot('other'))
        assert not restored
        assert progress.last_number == -1

    async def test_oldest_snapshots_are_evicted_first(self):
        cache = batches.ProgressCache()
        for number in range(3):
            cache.add([make_snapshot(str(number), size=1_500_000)])
        progress = batches.SampleProgress(make_sample('0'))
        assert not cache.restore(progress, make_batch([]))
        progress = batches.SampleProgress(make_sample('2'))
        assert cache.restore(progress, make_batch([]))


@pytest.mark.anyio
class TestIncompleteGroups:
    async def test_all_samples_of_an_incomplete_group_are_included(self):
        samples = [
            make_sample('a1', 'a'),
            make_sample('a2', 'a'),
            make_sample('b'),
        ]
        open_batch = batches.OpenBatch(make_batch(samples), 0.0)
        open_batch.add_block(
            [
                batches.Result('a1', complete=True, text='t', versions=[1]),
                batches.Result('b', complete=True, text='t', versions=[1]),
            ]
        )
        open_batch.pending['a2'].events.append('x')
        open_batch.pending['a2'].last_number = 0
        snapshots = {
            t.sample_id: t
            for t in batches.snapshot_incomplete_groups(open_batch)
        }
        assert sorted(snapshots) == ['a1', 'a2']
        assert snapshots['a1'].complete
        assert not snapshots['a2'].complete


@pytest.mark.anyio
class TestCheckpoint:
    async def test_last_checkpoint_reads_back(self, store):
        archive = batches.BatchArchive(store)
        await archive.write_checkpoint([make_snapshot('a')])
        await archive.write_checkpoint([make_snapshot('b')])
        other = batches.BatchArchive(store)
        (snapshot,) = await other.read_checkpoint()
        assert snapshot.sample_id == 'b'
        await other.write_checkpoint([make_snapshot('c')])
        # The first write gets a conflict and the second one succeeds.
        await archive.write_checkpoint([make_snapshot('d')])
        await archive.write_checkpoint([make_snapshot('e')])
        (snapshot,) = await other.read_checkpoint()
        assert snapshot.sample_id == 'e'

    async def test_longest_samples_are_written_if_not_all_fit(self, store):
        archive = batches.BatchArchive(store)
        await archive.write_checkpoint(
            [make_snapshot(str(n), size=100_000 + n) for n in range(9)]
        )
        snapshots = await archive.read_checkpoint()
        assert [s.sample_id for s in snapshots][:2] == ['8', '7']
        assert len(snapshots) == 5

    async def write_next(self, store, prepare):
        """Return the samples in the next checkpoint of a batch of three."""
        open_batch = batches.OpenBatch(
            make_batch([make_sample(name) for name in 'abc']), 0.0
        )
        for progress in open_batch.pending.values():
            progress.events.append('x')
            progress.text_began_at = anyio.current_time() - 9.0
        prepare(open_batch)
        manager = _checkpoints.CheckpointManager(
            batches.BatchArchive(store),
            {'b': open_batch},
            supervision.Supervisor(telemetry.Metrics()),
        )
        with anyio.move_on_after(
            _checkpoints.CHECKPOINT_INTERVAL_SECONDS + 0.1
        ):
            await manager.run()
        snapshots = await batches.BatchArchive(store).read_checkpoint()
        return {snapshot.sample_id: snapshot for snapshot in snapshots}

    async def test_a_text_outlives_the_migration_of_its_sample(self, store):
        # A sample that has just migrated has run for a short time only, but
        # its text would take as long again as all its attempts together.
        def migrate(open_batch):
            open_batch.pending['a'].engine = 'e'
            open_batch.pending['a'].started_at = anyio.current_time()

        assert 'a' in await self.write_next(store, migrate)

    async def test_a_text_that_waits_for_its_score_is_written(self, store):
        def complete(open_batch):
            open_batch.pending['a'].complete = True
            open_batch.pending['b'].complete = True
            open_batch.add_result(batches.Result('b', complete=True))

        written = await self.write_next(store, complete)
        assert written['a'].complete
        assert written['b'].complete

    async def test_a_text_that_has_just_begun_is_not_written(self, store):
        def begin(open_batch):
            open_batch.pending['a'].text_began_at = anyio.current_time() + 0.6

        assert sorted(await self.write_next(store, begin)) == ['b', 'c']
