"""What a VM recorded of streams, kept while it is down."""

import anyio
import pytest

from swiftjunction import coordination
from swiftjunction.coordination.records import _stored_origins
from swiftjunction import requests
from swiftjunction import supervision
from swiftjunction import telemetry
from tests import conftest

pytestmark = pytest.mark.anyio

OWN_KEY = 'origins/vm-1'
ORIGIN = requests.StreamOrigin('engines', 'v1')
WRITE_SECONDS = _stored_origins.MIN_WRITE_INTERVAL_SECONDS + 0.2


class Scene:
    """The archive of one VM, and what it restored."""

    def __init__(self, store, clock):
        members = coordination.MemberTable(
            coordination.Member('vm-1', '10.0.0.1:1', '', 'dc', 'r', 'run')
        )
        self.archive = coordination.OriginArchive(store, members, clock)
        self.restored = {}

    def restore(self, request_id, origin, lifetime_seconds):
        self.restored[request_id] = origin, lifetime_seconds

    async def run(self, seconds=WRITE_SECONDS):
        with anyio.move_on_after(seconds):
            await self.archive.run(self.restore)


@pytest.fixture
def store():
    return conftest.MemoryStore()


async def test_a_vm_that_starts_anew_knows_what_it_recorded(store, clock):
    old = Scene(store, clock)
    old.archive.add('r1', ORIGIN, 60.0)
    await old.run()
    clock.now += 10.0
    new = Scene(store, clock)
    # Recorded before what was written has been read.
    new.archive.add('r2', ORIGIN, 60.0)
    await new.run()
    assert new.archive.is_loaded
    assert new.restored['r1'] == (ORIGIN, pytest.approx(50.0))
    newest = Scene(store, clock)
    await newest.run(0.1)
    assert sorted(newest.restored) == ['r1', 'r2']


async def test_what_has_expired_is_not_restored(store, clock):
    old = Scene(store, clock)
    old.archive.add('r1', ORIGIN, 60.0)
    await old.run()
    clock.now += 61.0
    new = Scene(store, clock)
    await new.run(0.1)
    assert new.restored == {}


async def test_nothing_is_written_without_streams(store, clock):
    scene = Scene(store, clock)
    await scene.run()
    assert scene.archive.is_loaded
    assert (await store.list('origins/')).changed == []


async def test_it_is_not_loaded_while_the_store_is_away(store, clock):
    store.faults = ['refuse'] * 100
    scene = Scene(store, clock)
    await scene.run(0.5)
    assert not scene.archive.is_loaded


async def test_a_write_that_failed_is_made_again(store, clock):
    scene = Scene(store, clock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.run, 3.0)
        await anyio.sleep(0.05)
        store.faults = ['refuse', 'lose']
        scene.archive.add('r1', ORIGIN, 60.0)
    new = Scene(store, clock)
    await new.run(0.1)
    assert list(new.restored) == ['r1']


async def test_an_invalid_object_is_replaced(store, clock):
    await store.create(OWN_KEY, b'{"origins": 7}')
    scene = Scene(store, clock)
    scene.archive.add('r1', ORIGIN, 60.0)
    await scene.run(3.0)
    new = Scene(store, clock)
    await new.run(0.1)
    assert list(new.restored) == ['r1']


async def test_only_the_newest_are_kept(store, clock, monkeypatch):
    monkeypatch.setattr(_stored_origins, 'MAX_STORED_ORIGINS', 3)
    scene = Scene(store, clock)
    for number in range(9):
        scene.archive.add(f'r{number}', ORIGIN, 60.0)
    await scene.run()
    new = Scene(store, clock)
    await new.run(0.1)
    assert sorted(new.restored) == ['r6', 'r7', 'r8']


async def test_objects_of_vms_that_are_gone_are_deleted(store, clock):
    await store.create('origins/gone', b'{"written_unix": 1.0}')
    await store.create('origins/live', b'{"written_unix": %f}' % clock.now)
    clock.now += _stored_origins.OBJECT_EXPIRY_SECONDS - 1.0
    await Scene(store, clock).archive.delete_expired()
    listed = await store.list('origins/')
    assert [found.key for found in listed.changed] == ['origins/live']


async def test_origins_are_written_after_an_unexpected_error(clock):
    class FailingStore(conftest.MemoryStore):
        failures = 0

        async def create(self, key, value):
            if not self.failures:
                self.failures += 1
                raise RuntimeError('odd')
            return await super().create(key, value)

    store = FailingStore()
    scene = Scene(store, clock)
    scene.archive.add('r1', ORIGIN, 60.0)
    supervisor = supervision.Supervisor(telemetry.Metrics())
    with anyio.move_on_after(2 * WRITE_SECONDS + 0.5):
        await supervisor.run(
            'origins', lambda: scene.archive.run(scene.restore)
        )
    assert store.failures == 1
    assert OWN_KEY in store.objects
