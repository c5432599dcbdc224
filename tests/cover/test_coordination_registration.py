"""An error as one entry is written or deleted ends nothing else."""

import anyio
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _watching
from tests.cover import test_coordination

pytestmark = pytest.mark.anyio


class CountingPoller:
    """Counts how often it is started."""

    def __init__(self):
        self.starts = 0

    async def run(self):
        self.starts += 1
        await anyio.sleep_forever()


def make_monitor(store):
    clock = test_coordination.FakeClock()
    members = coordination.MemberTable(
        test_coordination.make_member('a'), clock
    )
    feed_sync = coordination.FeedSync(store, None, members, clock)
    poller = CountingPoller()
    monitor = coordination.PeerMonitor(store, members, feed_sync, poller)
    return clock, members, monitor, poller


def fail_for(store, monkeypatch, method, key, times):
    """Have calls about a key fail; return their list."""
    works = getattr(store, method)
    failures = []

    async def call(called_key, *arguments):
        if called_key == key and len(failures) < times:
            failures.append(called_key)
            raise RecursionError('too deep')
        return await works(called_key, *arguments)

    monkeypatch.setattr(store, method, call)
    return failures


async def expire_peers(store, clock, members, *names):
    for name in names:
        entry = test_coordination.make_entry(
            test_coordination.make_member(name)
        )
        await store.create(entry.key, entry.value)
        members.apply_entry(entry)
        members.record_failure(name, unsent=True)
    clock.now += 700


async def test_an_error_as_this_vm_registers_stops_no_polls(
    store, monkeypatch, caplog
):
    _, _, monitor, poller = make_monitor(store)
    failures = fail_for(store, monkeypatch, 'create', 'members/a', 2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor.run)
        with anyio.fail_after(5):
            while 'members/a' not in store.objects:
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    assert len(failures) == 2
    assert poller.starts == 1
    records = [record for record in caplog.records if record.exc_info]
    assert [record.task for record in records] == ['registration'] * 2


async def test_an_error_of_a_reconciliation_stops_no_polls(
    store, monkeypatch, caplog
):
    _, _, monitor, poller = make_monitor(store)

    def fail(self):
        raise RecursionError('too deep')

    monkeypatch.setattr(_watching, 'RECONCILE_INTERVAL_SECONDS', 0.02)
    monkeypatch.setattr(coordination.MemberTable, 'list_expired', fail)
    with anyio.move_on_after(0.5):
        await monitor.run()
    assert poller.starts == 1
    records = [record for record in caplog.records if record.exc_info]
    # After 0.02, 0.06, 0.14 and 0.3 s.
    assert 1 <= len(records) <= 4
    assert {record.task for record in records} == {'reconciliation'}


async def test_an_entry_that_cannot_be_deleted_keeps_no_other(
    store, monkeypatch, caplog
):
    clock, members, monitor, _ = make_monitor(store)
    await expire_peers(store, clock, members, 'odd', 'b')
    failures = fail_for(store, monkeypatch, 'read', 'members/odd', 2)
    await monitor.reconcile()
    assert 'members/b' not in store.objects
    assert 'members/odd' in store.objects
    await monitor.reconcile()
    assert len(failures) == 1
    (record,) = [record for record in caplog.records if record.exc_info]
    assert record.peer == 'odd'


async def test_an_error_as_this_vm_registers_again_keeps_no_expired_entry(
    store, monkeypatch
):
    clock, members, monitor, _ = make_monitor(store)
    await expire_peers(store, clock, members, 'b')
    fail_for(store, monkeypatch, 'create', 'members/a', 1)
    await monitor.reconcile()
    assert 'members/b' not in store.objects
