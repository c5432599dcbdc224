"""An error in a copy from one peer ends nothing else of a feed."""

import anyio
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction import objectstore
from tests import conftest
from tests.cover import test_coordination

pytestmark = pytest.mark.anyio

PREFIX = 'k/'
# Of a peer's copy; that of the store is lower.
NEWER_REVISION = 50


class OddPeerSync(coordination.FeedSync):
    """Copies from all peers but ``odd``, which causes an error."""

    odd_calls = 0

    async def copy(self, feed, address):
        if address == self._members.find('odd').address:
            self.odd_calls += 1
            raise RecursionError('too deep')
        feed.replace([objectstore.Object('k/b', NEWER_REVISION, b'1')])
        feed.mark_current(NEWER_REVISION)


class ListedStore(conftest.MemoryStore):
    """Counts its lists."""

    lists = 0

    async def list(self, prefix):
        self.lists += 1
        return await super().list(prefix)

    async def watch(self, prefix, revision, wait_seconds):
        await anyio.sleep(wait_seconds)
        return objectstore.ChangeSet(revision, [], [])


def add_peer(members, sync, name, address, revision):
    member = msgspec.structs.replace(
        test_coordination.make_member(name), address=address
    )
    members.apply_entry(test_coordination.make_entry(member))
    status = msgspec.structs.replace(
        test_coordination.make_status(name), revisions={PREFIX: revision}
    )
    members.record_status(status)
    sync.record_status(status)


async def test_an_error_in_a_copy_from_one_peer_stops_no_watch(caplog):
    store = ListedStore()
    members = coordination.MemberTable(test_coordination.make_member('a'))
    sync = OddPeerSync(store, None, members)
    feed = sync.add(PREFIX, objectstore.CallbackListener(lambda found: None))
    add_peer(members, sync, 'odd', '10.0.0.8:1', NEWER_REVISION + 1)
    with anyio.move_on_after(0.4):
        await sync.run(feed, lambda: True)
    assert sync.odd_calls == 1
    assert store.lists == 1
    (record,) = [record for record in caplog.records if record.exc_info]
    assert (record.peer, record.prefix) == ('odd', PREFIX)


async def test_after_an_error_in_a_copy_the_next_newest_peer_is_asked():
    store = ListedStore()
    members = coordination.MemberTable(test_coordination.make_member('a'))
    sync = OddPeerSync(store, None, members)
    feed = sync.add(PREFIX, objectstore.CallbackListener(lambda found: None))
    add_peer(members, sync, 'odd', '10.0.0.8:1', NEWER_REVISION + 1)
    add_peer(members, sync, 'b', '10.0.0.9:1', NEWER_REVISION)
    with anyio.move_on_after(0.4):
        await sync.run(feed, lambda: True)
    assert feed.revision == NEWER_REVISION
