import anyio
import pytest

from swiftjunction import errors
from swiftjunction.platform import _feeds


class StubbornStore:
    """Refuses so many statuses before it takes one."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.taken = []

    async def write_status(self, key, status, version):
        if self.refusals:
            self.refusals -= 1
            raise errors.PlatformUnavailable('refused', step='test')
        self.taken.append((key, status))


@pytest.mark.anyio
async def test_a_storage_vm_is_answered_however_long_the_store_refuses(
    store, monkeypatch
):
    monkeypatch.setattr(_feeds, 'STATUS_RETRY_INTERVAL_SECONDS', 0.0)
    await store.create('retirements/storage-1', b'{}')
    direct = StubbornStore(refusals=60)
    feeds = _feeds.PlatformFeeds(store, direct, None, lambda: True)
    with anyio.fail_after(5):
        await feeds._write_completed_status('retirements/storage-1')
    assert direct.taken == [('retirements/storage-1', _feeds.COMPLETED_STATUS)]


@pytest.mark.anyio
async def test_one_that_is_asked_for_no_more_gets_no_answer(store):
    direct = StubbornStore(refusals=0)
    feeds = _feeds.PlatformFeeds(store, direct, None, lambda: True)
    with anyio.fail_after(5):
        await feeds._write_completed_status('retirements/storage-1')
    assert not direct.taken
