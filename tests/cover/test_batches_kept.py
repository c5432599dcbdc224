import pytest

from swiftjunction import batches


def make_batch(items, **fields):
    return batches.Batch(
        batch_id='b',
        route='r',
        host='h',
        service='s',
        total=len(items),
        items=items,
        **fields,
    )


def make_item(item_id, group='g'):
    return batches.Item(item_id, '/x', [], b'', group=group)


def make_text(item_id='a', versions=(3,), size=2, **fields):
    return batches.ProgressSnapshot(
        item_id, ['x'] * size, size - 1, list(versions), **fields
    )


def restore(text, **fields):
    kept = batches.ProgressCache()
    kept.keep([text])
    progress = batches.SampleProgress(make_item('a'))
    return kept.restore(progress, make_batch([], **fields)), progress


@pytest.mark.anyio
class TestRestore:
    async def test_a_sample_goes_on_behind_what_is_kept(self):
        fits, progress = restore(make_text(), min_version=3)
        assert fits
        assert progress.last_number == 1
        assert progress.events == ['x', 'x']

    async def test_a_text_of_a_version_that_is_too_old_is_dropped(self):
        fits, progress = restore(make_text(versions=(2, 3)), min_version=3)
        assert not fits
        assert progress.last_number == -1
        assert not progress.whole

    async def test_a_text_of_two_versions_is_not_of_a_single_one(self):
        fits, _ = restore(make_text(versions=(3, 4)), single_version=True)
        assert not fits

    async def test_a_sample_that_is_not_kept_begins_at_its_beginning(self):
        fits, progress = restore(make_text('other'))
        assert not fits
        assert progress.last_number == -1

    async def test_the_oldest_texts_are_dropped_first(self):
        kept = batches.ProgressCache()
        for number in range(3):
            kept.keep([make_text(str(number), size=1_500_000)])
        progress = batches.SampleProgress(make_item('0'))
        assert not kept.restore(progress, make_batch([]))
        progress = batches.SampleProgress(make_item('2'))
        assert kept.restore(progress, make_batch([]))


@pytest.mark.anyio
class TestSelection:
    async def test_all_samples_of_a_group_that_is_not_whole_are_kept(self):
        items = [make_item('a1', 'a'), make_item('a2', 'a'), make_item('b')]
        opened = batches.OpenBatch(make_batch(items), 0.0)
        opened.list_chunk(
            [
                batches.Result('a1', complete=True, text='t', versions=[1]),
                batches.Result('b', complete=True, text='t', versions=[1]),
            ]
        )
        opened.left['a2'].events.append('x')
        opened.left['a2'].last_number = 0
        kept = {t.item_id: t for t in batches.select_unfinished(opened)}
        assert sorted(kept) == ['a1', 'a2']
        assert kept['a1'].whole
        assert not kept['a2'].whole


@pytest.mark.anyio
class TestCheckpoint:
    async def test_it_is_read_back(self, store):
        archive = batches.BatchArchive(store)
        await archive.write_checkpoint([make_text('a')])
        await archive.write_checkpoint([make_text('b')])
        other = batches.BatchArchive(store)
        (text,) = await other.read_checkpoint()
        assert text.item_id == 'b'
        await other.write_checkpoint([make_text('c')])
        # The first one has lost its turn, and has it again afterwards.
        await archive.write_checkpoint([make_text('d')])
        await archive.write_checkpoint([make_text('e')])
        (text,) = await other.read_checkpoint()
        assert text.item_id == 'e'

    async def test_the_longest_are_kept_where_not_all_fit(self, store):
        archive = batches.BatchArchive(store)
        await archive.write_checkpoint(
            [make_text(str(n), size=100_000 + n) for n in range(9)]
        )
        texts = await archive.read_checkpoint()
        assert [text.item_id for text in texts][:2] == ['8', '7']
        assert len(texts) == 5
