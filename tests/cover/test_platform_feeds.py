import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction.platform import _feeds
from swiftjunction import routes
from tests import odd_values
from tests import platform_deployment


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


class FailingForOne(RefusingStore):
    """Fails on the first `failures` writes of one retirement."""

    def __init__(self, key, failures, error):
        super().__init__(refusals=0)
        self.key = key
        self.failures = failures
        self.error = error

    async def write_status(self, key, status, version):
        if key == self.key and self.failures:
            self.failures -= 1
            raise self.error
        # The others take longer than the one that fails.
        await anyio.sleep(0.05)
        await super().write_status(key, status, version)


@pytest.mark.anyio
async def test_an_unexpected_error_of_one_drain_does_not_end_the_others(store):
    keys = [f'retirements/storage-{index}' for index in range(3)]
    for key in keys:
        await store.create(key, b'{}')
    direct = FailingForOne(keys[0], 1, RecursionError())
    feeds = _feeds.PlatformFeeds(store, direct, None, lambda: True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feeds.acknowledge_drains)
        with anyio.fail_after(5):
            while len(direct.written) < 3:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert [key for key, _ in direct.written] == [*keys[1:], keys[0]]


@pytest.mark.anyio
@pytest.mark.parametrize(
    'error', [errors.LeaseLost('lost', step='test'), MemoryError()]
)
async def test_a_drain_without_lease_or_memory_ends_the_duty(store, error):
    await store.create('retirements/storage-1', b'{}')
    direct = FailingForOne('retirements/storage-1', 1, error)
    feeds = _feeds.PlatformFeeds(store, direct, None, lambda: True)
    with (
        anyio.fail_after(5),
        pytest.RaisesGroup(type(error), flatten_subgroups=True),
    ):
        await feeds.acknowledge_drains()


class FollowingSync:
    """Follows the store alone, without peers."""

    def __init__(self, store):
        self.store = store

    def is_seed(self):
        return True

    def add(self, prefix, listener):
        return prefix, listener

    async def run(self, feed, must_watch, coalesce_seconds=0.0):
        await objectstore.follow(self.store, *feed)


SERVER = {
    'service': 'plain',
    'address': '127.0.0.1:80',
    'zone': 'z1',
    'state': 'ready',
    'version': 'v1',
}
ODD_VALUES = {
    'nested': {'notes': odd_values.NESTED},
    'a large number': {'capacity': odd_values.LARGE},
    'a port out of range': {'address': '127.0.0.1:70000'},
}


class FollowedServers:
    """The directory of servers that the entries of a store name."""

    def __init__(self, store):
        self.store = store
        self.now = 0.0
        self.directory = backends.Directory(membership.RecordTable())
        self.removal = backends.DelayedRemoval(
            self.directory, lambda: False, lambda: self.now
        )
        sync = FollowingSync(store)
        self.feeds = _feeds.PlatformFeeds(store, None, sync, lambda: True)

    def put(self, name, **fields):
        value = msgspec.json.encode({**SERVER, **fields})
        self.store._put(f'servers/{name}', value)

    async def run(self):
        await self.feeds.follow_servers(self.removal)

    async def list_names(self):
        """Return the servers in use, after all removal delays."""
        await anyio.sleep(0.1)
        self.removal.remove_expired()
        self.now += 10.0
        self.removal.remove_expired()
        return sorted(s.name for s in self.directory.select('plain'))


@pytest.mark.anyio
@pytest.mark.parametrize('odd', ODD_VALUES.values(), ids=ODD_VALUES.keys())
async def test_a_server_whose_entry_becomes_odd_is_not_used(
    store, odd, caplog
):
    servers = FollowedServers(store)
    servers.put('a')
    servers.put('b')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(servers.run)
        assert await servers.list_names() == ['a', 'b']
        servers.put('a', **odd)
        servers.put('c')
        assert await servers.list_names() == ['b', 'c']
        servers.put('a')
        assert await servers.list_names() == ['a', 'b', 'c']
        tasks.cancel_scope.cancel()
    assert caplog.text.count('invalid server object') == 1


def test_a_broken_object_is_reported_once_a_version():
    broken = objectstore.BrokenObjects()
    versions = [1, 1, 2, 2, 3]
    objects = [objectstore.Object('k', version, b'') for version in versions]
    assert [broken.add(found) for found in objects] == [
        True,
        False,
        True,
        False,
        True,
    ]


@pytest.mark.anyio
async def test_the_former_configuration_stays_in_force(store):
    active_routes = routes.ActiveRoutes()
    sync = FollowingSync(store)
    feeds = _feeds.PlatformFeeds(store, None, sync, lambda: True)

    def put(version, **fields):
        config = {**platform_deployment.make_config(version), **fields}
        store._put('config/main', msgspec.json.encode(config))

    put(4)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feeds.follow_routes, active_routes)
        await anyio.sleep(0.1)
        for fields in (
            {'notes': odd_values.NESTED},
            {'limits': {'idle_timeout_ms': -1}},
            {'tenants': [{'name': 'o', 'priority': odd_values.LARGE}]},
        ):
            put(6, **fields)
            await anyio.sleep(0.1)
            assert active_routes.version == 4
        put(5)
        await anyio.sleep(0.1)
        assert active_routes.version == 5
        tasks.cancel_scope.cancel()


class FailingFeedSync:
    """Delivers a list on each run, and fails after the first one."""

    def __init__(self, *lists):
        self.lists = list(lists)

    def add(self, prefix, listener):
        return listener

    async def run(self, listener, *arguments):
        listener.replace(self.lists.pop(0))
        if self.lists:
            raise OverflowError('port must be 0-65535')


class RecordedRemovals:
    def __init__(self):
        self.missing = []

    def record_listed(self, report):
        pass

    def record_missing(self, name):
        self.missing.append(name)


@pytest.mark.anyio
async def test_a_server_removed_between_two_runs_of_the_task_is_missing():
    server = objectstore.Object(
        'servers/s1',
        1,
        b'{"service":"plain","address":"127.0.0.1:1","zone":"z",'
        b'"state":"ready","version":"v1"}',
    )
    feeds = _feeds.PlatformFeeds(
        None, None, FailingFeedSync([server], []), lambda: False
    )
    removals = RecordedRemovals()
    with pytest.raises(OverflowError):
        await feeds.follow_servers(removals)
    await feeds.follow_servers(removals)
    assert removals.missing == ['s1']
