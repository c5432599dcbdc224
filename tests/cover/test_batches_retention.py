import pytest

from swiftjunction import batches
from tests.cover.test_batches_archive import make_batch
from tests.cover.test_batches_archive import result

KEEP_SECONDS = 120.0


@pytest.fixture
def archive(store):
    return batches.BatchArchive(store)


@pytest.fixture
def retention(archive):
    return batches.Retention(archive, KEEP_SECONDS)


@pytest.fixture
async def ended(archive):
    await archive.create(make_batch())
    await archive.append('b', 0, [result('i0')])
    await archive.end('b')


@pytest.mark.anyio
@pytest.mark.usefixtures('ended')
class TestRetention:
    async def test_results_stay_while_they_must_be_found(
        self, store, retention
    ):
        retention.note_ended('b', seen_at=10.0)
        await retention.delete_old(now=10.0 + KEEP_SECONDS)
        assert 'batches/b' in store.objects

    async def test_a_batch_that_is_old_leaves_nothing(self, store, retention):
        retention.note_ended('b', seen_at=10.0)
        await retention.delete_old(now=10.0 + 2 * KEEP_SECONDS)
        assert not store.objects

    async def test_a_batch_that_has_not_ended_stays(self, store, retention):
        await retention.delete_old(now=10 * KEEP_SECONDS)
        assert 'batches/b' in store.objects

    @pytest.mark.parametrize('fault', ['refuse', 'lose', 'drop'])
    @pytest.mark.parametrize('done_before', range(3))
    async def test_a_deletion_that_fails_is_done_later(
        self, store, retention, fault, done_before
    ):
        retention.note_ended('b', seen_at=10.0)
        store.faults = ['ok'] * done_before + [fault]
        await retention.delete_old(now=10.0 + 2 * KEEP_SECONDS)
        store.faults = []
        await retention.delete_old(now=10.0 + 2 * KEEP_SECONDS)
        assert not store.objects

    async def test_a_batch_that_is_gone_is_not_deleted_again(
        self, store, retention
    ):
        retention.note_ended('b', seen_at=10.0)
        retention.forget('b')
        await retention.delete_old(now=10.0 + 2 * KEEP_SECONDS)
        assert 'batches/b' in store.objects
