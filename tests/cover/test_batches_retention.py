import pytest

from swiftjunction import batches
from swiftjunction import supervision
from swiftjunction import telemetry
from tests.cover.test_batches_archive import make_batch
from tests.cover.test_batches_archive import make_result

KEEP_SECONDS = 120.0


@pytest.fixture
def archive(store):
    return batches.BatchArchive(store)


@pytest.fixture
def retention(archive):
    return batches.Retention(
        archive,
        KEEP_SECONDS,
        supervision.Supervisor(telemetry.Metrics()),
    )


@pytest.fixture
async def ended(archive):
    await archive.create(make_batch())
    await archive.append('b', 0, [make_result('i0')])
    await archive.end('b')


@pytest.mark.anyio
@pytest.mark.usefixtures('ended')
class TestRetention:
    async def test_results_stay_during_the_retention_time(
        self, store, retention
    ):
        retention.record_ended('b', first_seen_at=10.0)
        await retention.delete_expired(now=10.0 + KEEP_SECONDS)
        assert 'batches/b' in store.objects

    async def test_expired_batch_is_deleted_completely(self, store, retention):
        retention.record_ended('b', first_seen_at=10.0)
        await retention.delete_expired(now=10.0 + 2 * KEEP_SECONDS)
        assert not store.objects

    async def test_batch_not_recorded_as_ended_stays(self, store, retention):
        await retention.delete_expired(now=10 * KEEP_SECONDS)
        assert 'batches/b' in store.objects

    @pytest.mark.parametrize('fault', ['refuse', 'lose', 'drop'])
    @pytest.mark.parametrize('successes', range(3))
    async def test_failed_deletion_is_retried(
        self, store, retention, fault, successes
    ):
        retention.record_ended('b', first_seen_at=10.0)
        store.faults = ['ok'] * successes + [fault]
        await retention.delete_expired(now=10.0 + 2 * KEEP_SECONDS)
        store.faults = []
        await retention.delete_expired(now=10.0 + 2 * KEEP_SECONDS)
        assert not store.objects

    async def test_an_unexpected_error_delays_one_deletion_alone(
        self, store, archive, retention, monkeypatch
    ):
        calls = []
        delete = archive.delete

        async def delete_but_odd(batch_id):
            calls.append(batch_id)
            if batch_id == 'odd':
                raise RecursionError('too deep')
            await delete(batch_id)

        monkeypatch.setattr(
            batches.BatchArchive,
            'delete',
            lambda self, batch_id: delete_but_odd(batch_id),
        )
        retention.record_ended('odd', first_seen_at=10.0)
        retention.record_ended('b', first_seen_at=10.0)
        now = 10.0 + 2 * KEEP_SECONDS
        await retention.delete_expired(now)
        assert 'batches/b' not in store.objects
        await retention.delete_expired(now + 59.0)
        assert calls == ['odd', 'b']
        await retention.delete_expired(now + 61.0)
        assert calls == ['odd', 'b', 'odd']

    async def test_forgotten_batch_is_not_deleted(self, store, retention):
        retention.record_ended('b', first_seen_at=10.0)
        retention.forget('b')
        await retention.delete_expired(now=10.0 + 2 * KEEP_SECONDS)
        assert 'batches/b' in store.objects
