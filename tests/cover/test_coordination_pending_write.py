"""A write that was not completed stays requested."""

import anyio
import pytest

from swiftjunction.coordination.records import _pending_write

pytestmark = pytest.mark.anyio


async def is_requested(pending):
    with anyio.move_on_after(0.05):
        await pending.wait()
        return True
    return False


async def test_a_completed_write_is_not_repeated():
    pending = _pending_write.PendingWrite()
    pending.request()
    await pending.perform(lambda: anyio.sleep(0))
    assert not await is_requested(pending)


async def test_a_request_during_a_write_is_for_another_one():
    pending = _pending_write.PendingWrite()

    async def write():
        pending.request()

    await pending.perform(write)
    assert await is_requested(pending)


async def test_a_write_that_raises_an_unexpected_error_stays_requested():
    pending = _pending_write.PendingWrite()

    async def write():
        raise RecursionError('too deep')

    with pytest.raises(RecursionError):
        await pending.perform(write)
    assert await is_requested(pending)


async def test_a_write_that_is_cancelled_stays_requested():
    pending = _pending_write.PendingWrite()
    with anyio.move_on_after(0.02):
        await pending.perform(anyio.sleep_forever)
    assert await is_requested(pending)
