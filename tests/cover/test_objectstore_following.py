import anyio
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from tests import conftest


class CutStore(conftest.MemoryStore):
    """A store whose watches end as the test says.

    Attributes
    ----------
    ends : list
        What the next watches do: an error to raise, or a ChangeSet to return.
    """

    def __init__(self, ends):
        super().__init__()
        self.ends = ends
        self.lists = 0

    async def list(self, prefix):
        self.lists += 1
        return await super().list(prefix)

    async def watch(self, prefix, revision, wait_seconds):
        if not self.ends:
            await anyio.sleep_forever()
        end = self.ends.pop(0)
        if isinstance(end, Exception):
            raise end
        return end


async def follow(store, seconds=0.4):
    seen = []
    listener = objectstore.CallbackListener(
        lambda found: seen.append(found.key),
        lambda key: seen.append(f'-{key}'),
    )
    with anyio.move_on_after(seconds):
        await objectstore.follow(store, 'k/', listener)
    return seen


@pytest.mark.anyio
class TestFollow:
    async def test_it_lists_once_and_watches_on(self):
        store = CutStore([objectstore.ChangeSet(5, [], ['k/b'])])
        store._put('k/a', b'1')
        assert await follow(store) == ['k/a', '-k/b']
        assert store.lists == 1

    @pytest.mark.parametrize(
        'error',
        [
            errors.PlatformUnavailable('cut', step='watch'),
            errors.HistoryLost('gone', step='watch'),
        ],
    )
    async def test_it_lists_anew_after_a_watch_was_cut(self, error):
        # scale-2 of diurna-turneu: a change that was made while watches heard
        # nothing was never told to the watch that followed.
        store = CutStore([error])
        store._put('k/a', b'1')
        await follow(store)
        assert store.lists == 2

    async def test_what_is_missing_in_a_new_list_is_removed(self):
        store = CutStore([errors.HistoryLost('gone', step='watch')])
        store._put('k/a', b'1')
        listing = store.list

        async def list_then_forget(prefix):
            found = await listing(prefix)
            store.objects.clear()
            return found

        store.list = list_then_forget
        assert await follow(store) == ['k/a', '-k/a']
