import time

import anyio
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _messages
from swiftjunction import errors
from swiftjunction import objectstore
from tests import conftest


class ScriptedWatchStore(conftest.MemoryStore):
    """A store whose watches end with scripted results.

    Attributes
    ----------
    results : list
        Results of the next watches: an error to raise or a ChangeSet to
        return. Later watches never end.
    """

    def __init__(self, results):
        super().__init__()
        self.results = results
        self.list_calls = 0

    async def list(self, prefix):
        self.list_calls += 1
        return await super().list(prefix)

    async def watch(self, prefix, revision, wait_seconds):
        if not self.results:
            await anyio.sleep_forever()
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


async def follow(store, seconds=0.4):
    events = []
    listener = objectstore.CallbackListener(
        lambda found: events.append(found.key),
        lambda key: events.append(f'-{key}'),
    )
    with anyio.move_on_after(seconds):
        await objectstore.follow(store, 'k/', listener)
    return events


@pytest.mark.anyio
class TestFollow:
    async def test_follow_lists_once_and_continues_with_watches(self):
        store = ScriptedWatchStore([objectstore.ChangeSet(5, [], ['k/b'])])
        store._put('k/a', b'1')
        assert await follow(store) == ['k/a', '-k/b']
        assert store.list_calls == 1

    @pytest.mark.parametrize(
        'error',
        [
            errors.PlatformUnavailable('cut', step='watch'),
            errors.HistoryLost('gone', step='watch'),
        ],
    )
    async def test_follow_lists_again_after_an_interrupted_watch(self, error):
        # Guards against a change that is never reported: made while a watch
        # is interrupted, it may be missing from the next, and only a new list
        # has it. Seen on day scale-2 of diurna-turneu.
        store = ScriptedWatchStore([error])
        store._put('k/a', b'1')
        await follow(store)
        assert store.list_calls == 2

    async def test_objects_missing_from_a_new_list_are_removed(self):
        store = ScriptedWatchStore([errors.HistoryLost('gone', step='watch')])
        store._put('k/a', b'1')
        list_objects = store.list

        async def list_then_clear(prefix):
            found = await list_objects(prefix)
            store.objects.clear()
            return found

        store.list = list_then_clear
        assert await follow(store) == ['k/a', '-k/a']

    async def test_a_late_response_confirms_only_what_was_asked_for(self):
        confirmed = []
        listener = objectstore.CallbackListener(
            lambda found: None, on_confirm=confirmed.append
        )
        store = conftest.MemoryStore()

        async def watch_late(prefix, revision, wait_seconds):
            assert wait_seconds == 0.2
            await anyio.sleep(wait_seconds)
            return objectstore.ChangeSet(revision, [], [])

        store.watch = watch_late
        started_at = time.monotonic()
        with anyio.move_on_after(0.5):
            await objectstore.follow(store, 'k/', listener, watch_seconds=0.2)
        assert [at - started_at for at in confirmed] == pytest.approx(
            [0.0, 0.0, 0.2], abs=0.05
        )


@pytest.mark.anyio
class TestFailingCallbacks:
    """The error of a call for one object concerns no other."""

    async def test_all_other_objects_are_applied(self, caplog):
        watched = objectstore.ChangeSet(
            8,
            [
                objectstore.Object('k/odd', 6, b'2'),
                objectstore.Object('k/c', 7, b'1'),
            ],
            ['k/odd', 'k/a'],
        )
        store = ScriptedWatchStore([watched])
        for name in ('a', 'odd', 'b'):
            store._put(f'k/{name}', b'1')
        applied = []

        def apply(found):
            if found.key == 'k/odd':
                raise OverflowError('odd value')
            applied.append(found.key)

        def remove(key):
            if key == 'k/odd':
                raise KeyError(key)
            applied.append(f'-{key}')

        listener = objectstore.CallbackListener(apply, remove)
        with anyio.move_on_after(0.4):
            await objectstore.follow(store, 'k/', listener)
        assert sorted(applied) == ['-k/a', 'k/a', 'k/b', 'k/c']
        assert store.list_calls == 1
        assert 'OverflowError' in caplog.text
        assert {
            record.object for record in caplog.records if record.exc_info
        } == {'k/odd'}

    async def test_the_copy_of_a_feed_advances(self):
        applied = []

        def apply(found):
            if found.key == 'k/odd':
                raise RecursionError
            applied.append(found.key)

        feed = coordination.SharedFeed(
            'k/', objectstore.CallbackListener(apply)
        )
        objects = [
            objectstore.Object(f'k/{name}', 3, b'1') for name in ('odd', 'a')
        ]
        feed.apply_if_newer(_messages.FeedCopy(3, objects, []))
        assert (feed.revision, applied) == (3, ['k/a'])
        changed = [
            objectstore.Object(f'k/{name}', 4, b'1') for name in ('odd', 'b')
        ]
        feed.apply_if_newer(_messages.FeedCopy(4, changed, ['k/a'], 3))
        assert (feed.revision, applied) == (4, ['k/a', 'k/b'])

    async def test_nothing_is_confirmed_while_a_change_is_not_applied(
        self, caplog
    ):
        failures = 3
        confirmed = []

        def apply(found):
            nonlocal failures
            if found.key == 'k/odd' and failures:
                failures -= 1
                raise RecursionError('too deep')

        def confirm(asked_at):
            confirmed.append(failures)

        store = ScriptedWatchStore(
            [objectstore.ChangeSet(1, [], []) for _ in range(3)]
        )
        for name in ('a', 'odd'):
            store._put(f'k/{name}', b'1')
        listener = objectstore.CallbackListener(apply, on_confirm=confirm)
        with anyio.move_on_after(0.4):
            await objectstore.follow(store, 'k/', listener)
        # The list and the first watch confirm nothing; the others do.
        assert confirmed == [0, 0]
        assert store.list_calls == 1
        assert len([r for r in caplog.records if r.exc_info]) == 1


@pytest.mark.anyio
async def test_a_revision_that_goes_back_leads_to_a_new_list():
    store = ScriptedWatchStore(
        [
            objectstore.ChangeSet(2**62, [], []),
            objectstore.ChangeSet(5, [], []),
        ]
    )
    store._put('k/a', b'1')
    await follow(store)
    assert store.list_calls == 2
