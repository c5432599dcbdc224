import anyio
import pytest

from swiftjunction import coordination
from swiftjunction import objectstore
from swiftjunction import requests
from swiftjunction import supervision
from swiftjunction import telemetry
from tests import conftest

pytestmark = pytest.mark.anyio

OWN_KEY = 'crashes/vm-1'


class Scene:
    """The registry and the suspects of one VM."""

    def __init__(self, store, clock, name='vm-1'):
        members = coordination.MemberTable(
            coordination.Member(name, '10.0.0.1:1', '', 'dc', 'r', 'run')
        )
        self.sync = coordination.FeedSync(store, None, members)
        self.registry = coordination.StoreCrashRegistry(
            store, self.sync, members, clock
        )
        self.suspects = requests.SuspectTracker(self.registry, name, clock)
        self._clock = clock

    def crash(self, server, fingerprint='f'):
        self._clock.now += 1
        self.suspects.record_crash(fingerprint, server, self._clock.now)


@pytest.fixture
def slow_store(monkeypatch):
    """A store whose watches take a while, as those of a real one do."""

    class Store(conftest.MemoryStore):
        async def watch(self, prefix, revision, wait_seconds):
            await anyio.sleep(0.05)
            return await super().watch(prefix, revision, wait_seconds)

    return Store()


async def run(scene, seconds=1.0):
    with anyio.move_on_after(seconds):
        await scene.registry.run()


async def test_a_vm_that_starts_anew_keeps_what_it_had_written(
    slow_store, clock
):
    old = Scene(slow_store, clock)
    old.crash('s1')
    await run(old)
    new = Scene(slow_store, clock)
    # Before it has read its object.
    new.crash('s2')
    assert not new.registry.is_loaded()
    await run(new)
    assert new.registry.is_loaded()
    assert new.suspects.count_crashes('f') == 2
    third = Scene(slow_store, clock, 'vm-3')
    await run(third)
    assert third.suspects.count_crashes('f') == 2


async def test_a_vm_that_starts_anew_does_not_overwrite_other_requests(
    slow_store, clock
):
    old = Scene(slow_store, clock)
    old.crash('s1')
    old.crash('s2')
    await run(old)
    other = Scene(slow_store, clock, 'vm-3')
    new = Scene(slow_store, clock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(other.registry.run)
        tasks.start_soon(new.registry.run)
        await anyio.sleep(0.5)
        assert other.suspects.count_crashes('f') == 2
        new.crash('s3', 'g')
        await anyio.sleep(0.5)
        assert other.suspects.count_crashes('g') == 1
        assert other.suspects.count_crashes('f') == 2
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('fault', ['refuse', 'lose', 'drop', 'delay'])
async def test_a_write_that_fails_is_repeated(slow_store, clock, fault):
    scene = Scene(slow_store, clock)
    scene.crash('s1')
    create = slow_store.create

    async def fail_once(key, value):
        slow_store.faults = [fault]
        slow_store.create = create
        return await create(key, value)

    slow_store.create = fail_once
    await run(scene, 2.0)
    other = Scene(slow_store, clock, 'vm-2')
    await run(other)
    assert other.suspects.count_crashes('f') == 1


async def test_an_invalid_object_is_ignored(slow_store, clock):
    slow_store.objects['crashes/vm-2'] = objectstore.Object(
        'crashes/vm-2', 1, b'[1]'
    )
    scene = Scene(slow_store, clock)
    await run(scene)
    assert scene.registry.is_loaded()


async def test_objects_without_crashes_that_count_are_deleted(
    slow_store, clock
):
    writer = Scene(slow_store, clock)
    writer.crash('s1')
    await run(writer)
    other = Scene(slow_store, clock, 'vm-2')
    await run(other)
    await other.registry.delete_expired()
    assert OWN_KEY in slow_store.objects
    clock.now += 7201
    await other.registry.delete_expired()
    assert OWN_KEY not in slow_store.objects
    # The next crash creates it again.
    writer.crash('s2')
    await run(writer, 1.5)
    assert OWN_KEY in slow_store.objects


async def test_a_vm_replaces_its_own_object_that_is_odd(slow_store, clock):
    slow_store._put(OWN_KEY, b'{"histories": 5}')
    scene = Scene(slow_store, clock)
    scene.crash('s1')
    await run(scene)
    assert b's1' in slow_store.objects[OWN_KEY].value


async def test_crashes_are_written_after_an_unexpected_error(
    slow_store, clock, monkeypatch
):
    create = slow_store.create
    failures = []

    async def fail_once(key, value):
        if not failures:
            failures.append(key)
            raise RuntimeError('odd')
        return await create(key, value)

    monkeypatch.setattr(slow_store, 'create', fail_once)
    scene = Scene(slow_store, clock)
    scene.crash('s1')
    supervisor = supervision.Supervisor(telemetry.Metrics())
    with anyio.move_on_after(1.0):
        await supervisor.run('crashes', scene.registry.run)
    assert failures == [OWN_KEY]
    assert OWN_KEY in slow_store.objects


async def test_crashes_are_written_after_a_cancelled_write(
    slow_store, clock, monkeypatch
):
    async def hang(key, value):
        await anyio.sleep_forever()

    scene = Scene(slow_store, clock)
    scene.crash('s1')
    with monkeypatch.context() as patch:
        patch.setattr(slow_store, 'create', hang)
        await run(scene, 0.3)
    await run(scene, 0.5)
    assert OWN_KEY in slow_store.objects
