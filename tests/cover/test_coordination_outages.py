import random

import anyio
import httpx
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _sharing
from swiftjunction.coordination import _statuses
from swiftjunction import errors
from swiftjunction import objectstore
from tests import conftest

pytestmark = pytest.mark.anyio


def answer(kind):
    def handle(request):
        content = msgspec.msgpack.encode({'kind': kind, 'message': 'x'})
        return httpx.Response(409, stream=httpx.ByteStream(content))

    return handle


def refuse_connection(request):
    raise httpx.ConnectError('refused')


async def is_store_unavailable(
    handle, direct_error=errors.PlatformUnavailable, peers=2, reached=True
):
    """Ask a VM with peers that answer by `handle`."""
    members = coordination.MemberTable(
        coordination.Member('vm-0', '10.0.0.1:1', '', 'dc', 'r', 'run'),
        conftest.FakeClock(),
    )
    for index in range(1, peers + 1):
        peer = coordination.Member(
            f'vm-{index}', f'10.0.0.{index}:1', '', 'dc', 'r', 'run'
        )
        members.apply_entry(
            objectstore.Object(
                f'members/{peer.name}', 1, _statuses.encode_member(peer)
            )
        )
        if reached:
            members.record_status(
                coordination.MemberStatus(peer.name, 'run', 'live')
            )

    class Direct(conftest.MemoryStore):
        async def read(self, key):
            raise direct_error('direct', step='read')

    probe = coordination.OutageProbe(
        Direct(), conftest.FakePeerClients(handle), members, random.Random(1)
    )
    return await probe.is_store_unavailable()


async def test_the_store_is_away_if_no_vm_asked_reaches_it():
    assert await is_store_unavailable(answer('PlatformUnavailable'))


async def test_it_is_not_away_if_a_peer_reaches_it():
    assert not await is_store_unavailable(answer('ObjectMissing'))


async def test_it_is_not_away_if_this_vm_reaches_it():
    assert not await is_store_unavailable(
        answer('PlatformUnavailable'), errors.ObjectMissing
    )


async def test_peers_that_do_not_answer_do_not_show_an_outage():
    assert not await is_store_unavailable(refuse_connection)
    assert not await is_store_unavailable(refuse_connection, reached=False)


async def test_an_unexpected_error_of_one_call_does_not_end_the_others(
    monkeypatch, caplog
):
    read = _peer.PeerStore.read
    failed = []

    async def read_or_fail(store, key):
        if not failed:
            failed.append(store)
            raise RecursionError('nested too deeply')
        return await read(store, key)

    monkeypatch.setattr(_peer.PeerStore, 'read', read_or_fail)
    assert not await is_store_unavailable(answer('ObjectMissing'))
    assert len([r for r in caplog.records if r.exc_info]) == 1


async def test_a_vm_without_peers_relies_on_its_own_call():
    assert await is_store_unavailable(refuse_connection, peers=0)


async def test_a_peer_that_cannot_relay_no_longer_reports_the_store(clock):
    direct = conftest.MemoryStore()
    direct.faults = ['refuse']
    store = coordination.FailoverStore(direct, lambda: [], clock)
    # As the edge process wires them.
    app = coordination.PeerApp(
        lambda: None, store.direct, None, lambda: None
    ).build()
    call = _messages.StoreCall('list', 'batches/')
    async with httpx.AsyncClient(
        transport=httpx.ASGITransport(app), base_url='http://peer'
    ) as client:
        response = await client.post(
            _messages.STORE_PATH, content=msgspec.msgpack.encode(call)
        )
    assert not response.is_success
    assert not store.reaches_directly()


async def test_other_vms_do_not_watch_because_nothing_changes(clock):
    class QuietStore(conftest.MemoryStore):
        async def watch(self, prefix, revision, wait_seconds):
            clock.now += wait_seconds
            await anyio.sleep(0.01)
            # Just before the response, the copy is oldest.
            ages.append(sync.list_ages()[prefix])
            return objectstore.ChangeSet(revision, [], [])

    ages = []
    members = coordination.MemberTable(
        coordination.Member('vm', '10.0.0.1:1', '', 'dc', 'r', 'run'), clock
    )
    sync = coordination.FeedSync(QuietStore(), None, members, clock)
    feed = sync.add(
        'servers/', objectstore.CallbackListener(lambda found: None)
    )
    with anyio.move_on_after(0.2):
        await sync.run(feed, lambda: True)
    assert len(ages) > 3
    assert max(ages) < _sharing.MAX_AGE_SECONDS


async def test_a_copy_with_a_silent_watch_does_not_count_as_current():
    class SilentWatchStore(conftest.MemoryStore):
        async def watch(self, prefix, revision, wait_seconds):
            await anyio.sleep_forever()

    members = coordination.MemberTable(
        coordination.Member('vm', '10.0.0.1:1', '', 'dc', 'r', 'run')
    )
    sync = coordination.FeedSync(SilentWatchStore(), None, members)
    feed = sync.add(
        'servers/', objectstore.CallbackListener(lambda found: None)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sync.run, feed, lambda: True)
        await anyio.sleep(3.5)
        ages = sync.list_ages()
        tasks.cancel_scope.cancel()
    assert ages['servers/'] > 2.5


async def test_a_feed_whose_watch_failed_is_not_watched():
    class FailingStore(conftest.MemoryStore):
        async def watch(self, prefix, revision, wait_seconds):
            watched.append(feed.is_watched)
            raise RuntimeError('odd')

    watched = []
    members = coordination.MemberTable(
        coordination.Member('vm', '10.0.0.1:1', '', 'dc', 'r', 'run')
    )
    sync = coordination.FeedSync(FailingStore(), None, members)
    feed = sync.add(
        'servers/', objectstore.CallbackListener(lambda found: None)
    )
    with pytest.raises(ExceptionGroup), anyio.fail_after(2):
        await sync.run(feed, lambda: True)
    assert watched == [True]
    assert not feed.is_watched
    await anyio.sleep(0.05)
    assert sync.list_watch_ages().get('servers/', 1.0) >= 0.05
