import anyio
import pytest

from swiftjunction import errors
from swiftjunction.platform import _feeds


class RefusingStore:
    """Refuses the first `refusals` status writes and accepts the others."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.written = []

    async def write_status(self, key, status, version):
        if self.refusals:
            self.refusals -= 1
            raise errors.PlatformUnavailable('refused', step='test')
        self.written.append((key, status))


@pytest.mark.anyio
async def test_a_drain_is_acknowledged_however_long_the_store_refuses(
    store, monkeypatch
):
    monkeypatch.setattr(_feeds, 'STATUS_RETRY_INTERVAL_SECONDS', 0.0)
    await store.create('retirements/storage-1', b'{}')
    direct = RefusingStore(refusals=60)
    feeds = _feeds.PlatformFeeds(store, direct, None, lambda: True)
    with anyio.fail_after(5):
        await feeds._write_completed_status('retirements/storage-1')
    assert direct.written == [
        ('retirements/storage-1', _feeds.COMPLETED_STATUS)
    ]


@pytest.mark.anyio
async def test_a_retirement_that_was_removed_is_not_acknowledged(store):
    direct = RefusingStore(refusals=0)
    feeds = _feeds.PlatformFeeds(store, direct, None, lambda: True)
    with anyio.fail_after(5):
        await feeds._write_completed_status('retirements/storage-1')
    assert not direct.written
