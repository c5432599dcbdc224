import pytest

from swiftjunction import batches
from swiftjunction import errors


def make_batch(batch_id='b', count=2, body=b'x'):
    items = [
        batches.Item(f'i{index}', '/x', [('h', 'v')], body, group='g')
        for index in range(count)
    ]
    return batches.Batch(
        batch_id=batch_id,
        route='r',
        host='h',
        service='s',
        total=count,
        items=items,
    )


@pytest.fixture
def archive(store):
    return batches.BatchArchive(store)


def result(item_id):
    return batches.Result(item_id, complete=True, text='t', versions=[1])


@pytest.mark.anyio
class TestAcceptance:
    async def test_a_batch_is_read_back_as_it_was(self, archive):
        await archive.create(make_batch())
        stored = await archive.read('b')
        assert stored.batch.items == make_batch().items

    async def test_a_second_acceptance_changes_nothing(self, store, archive):
        await archive.create(make_batch())
        before = store.objects['batches/b']
        await archive.create(make_batch())
        assert store.objects['batches/b'] == before

    @pytest.mark.parametrize('fault', ['lose', 'drop', 'delay'])
    async def test_a_lost_answer_is_resolved(self, store, archive, fault):
        store.faults = [fault]
        await archive.create(make_batch())
        store.land()
        assert (await archive.read('b')).batch.total == 2

    async def test_a_refusal_leaves_nothing(self, store, archive):
        store.faults = ['refuse']
        with pytest.raises(errors.PlatformUnavailable):
            await archive.create(make_batch())
        assert not store.objects

    async def test_a_large_batch_is_kept_in_parts(self, store, archive):
        batch = make_batch(count=40, body=b'y' * 60_000)
        await archive.create(batch)
        assert all(len(o.value) < 1_000_000 for o in store.objects.values())
        assert (await archive.read('b')).batch.items == batch.items

    async def test_an_unknown_batch_is_missing(self, archive):
        with pytest.raises(errors.ObjectMissing):
            await archive.read('nothing')
        with pytest.raises(errors.ObjectMissing):
            await archive.end('nothing')


@pytest.mark.anyio
class TestResults:
    async def test_results_keep_their_order(self, archive):
        await archive.append('b', 0, [result('i1')])
        await archive.append('b', 1, [result('i0')])
        chunks = await archive.read_results('b')
        assert [[r.item_id for r in chunk] for chunk in chunks] == [
            ['i1'],
            ['i0'],
        ]

    async def test_of_two_writers_of_one_position_one_is_refused(
        self, archive
    ):
        await archive.append('b', 0, [result('i0')])
        with pytest.raises(errors.RevisionConflict):
            await archive.append('b', 0, [result('i1')])
        chunks = await archive.read_results('b')
        assert [r.item_id for r in chunks[0]] == ['i0']

    @pytest.mark.parametrize('fault', ['lose', 'drop', 'delay'])
    async def test_a_lost_answer_writes_once(self, store, archive, fault):
        store.faults = [fault]
        await archive.append('b', 0, [result('i0')])
        store.land()
        assert len(await archive.read_results('b')) == 1

    async def test_a_write_that_was_lost_behind_another_is_refused(
        self, store, archive
    ):
        await archive.append('b', 0, [result('i0')])
        store.faults = ['drop']
        with pytest.raises(errors.RevisionConflict):
            await archive.append('b', 0, [result('i1')])

    async def test_an_end_keeps_what_is_listed(self, archive):
        await archive.create(make_batch())
        await archive.append('b', 0, [result('i0')])
        await archive.end('b')
        await archive.end('b')
        stored = await archive.read('b')
        assert stored.batch.ended
        assert stored.batch.total == 2
        assert len(await archive.read_results('b')) == 1

    async def test_an_end_from_an_old_copy_is_an_end_all_the_same(
        self, archive
    ):
        await archive.create(make_batch())
        held = await archive.read('b')
        await archive.end('b')
        await archive.end('b', held)
        assert (await archive.read('b')).batch.ended

    async def test_an_end_is_kept_though_what_was_held_was_old(
        self, store, archive
    ):
        # scale-2 of diurna-turneu: samples of a batch whose end was
        # acknowledged ran on after all VMs had lost power.
        await archive.create(make_batch())
        held = await archive.read('b')
        found = store.objects['batches/b']
        store._put('batches/b', found.value)
        await archive.end('b', held)
        assert (await archive.read('b')).batch.ended

    async def test_a_deleted_batch_leaves_nothing(self, store, archive):
        await archive.create(make_batch())
        await archive.append('b', 0, [result('i0')])
        await archive.delete('b')
        assert not store.objects
