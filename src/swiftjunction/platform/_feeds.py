"""What the platform's store tells: routes, servers, versions, retirements."""

import collections.abc
import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _entries
from swiftjunction.platform import _names
from swiftjunction.platform import _store
from swiftjunction import routes

LOG = logging.getLogger(__name__)

# Entries of servers change in a row, as when all change to a new version. A
# server that leaves is known early enough after this and the delay of
# DelayedRemoval.
GATHER_SERVERS_SECONDS = 0.3
CONFIG_KEY = f'{_names.CONFIG_KIND}/main'
COMPLETED = msgspec.json.encode({'state': 'completed'})
RETRY_SECONDS = 0.5


class PlatformFeeds(coordination.DeploymentFeeds):
    """Follows the platform's own kinds.

    Parameters
    ----------
    store : ObjectStore
        The store, by whichever way it is reached.
    direct : PlatformStore
        The store by the direct way, for statuses.
    feed_sync : FeedSync
        Keeps feeds up to date, from the store or from peers.
    coordinates : callable
        Tells whether this VM coordinates.
    """

    __slots__ = (
        '_coordinates',
        '_direct',
        '_feed_sync',
        '_store',
        'has_servers',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        direct: _store.PlatformStore,
        feed_sync: coordination.FeedSync,
        coordinates: collections.abc.Callable[[], bool],
    ) -> None:
        self._store = store
        self._feed_sync = feed_sync
        self._coordinates = coordinates
        self._direct = direct
        self.has_servers = False

    async def follow_routes(self, active_routes: routes.ActiveRoutes) -> None:
        """Put each new configuration in force until cancelled."""

        def learn(found: objectstore.Object) -> None:
            if found.key != CONFIG_KEY:
                return
            try:
                active_routes.update(_entries.decode_routes(found))
            except errors.ObjectBroken as error:
                LOG.error('configuration not understood: %s', error)

        # Changes are rare and must be in force soon: each VM of a small
        # deployment watches, and in a large one those that others ask.
        feed = self._feed_sync.add(
            f'{_names.CONFIG_KIND}/', objectstore.CallbackListener(learn)
        )
        await self._feed_sync.run(feed, self._feed_sync.is_seed)

    async def follow_servers(
        self, delayed_removal: backends.DelayedRemoval
    ) -> None:
        """Tell of each backend server until cancelled."""

        def learn(found: objectstore.Object) -> None:
            self.has_servers = True
            try:
                delayed_removal.record_listed(_entries.decode_server(found))
            except errors.ObjectBroken as error:
                LOG.warning('entry names no server: %s', error)

        def remove(key: str) -> None:
            delayed_removal.record_missing(key.partition('/')[2])

        feed = self._feed_sync.add(
            f'{_names.SERVERS_KIND}/',
            objectstore.CallbackListener(learn, remove),
        )
        await self._feed_sync.run(
            feed, self._coordinates, GATHER_SERVERS_SECONDS
        )

    async def follow_versions(
        self, set_target_version: collections.abc.Callable[[str, int], None]
    ) -> None:
        def learn(found: objectstore.Object) -> None:
            try:
                set_target_version(*_entries.decode_version(found))
            except errors.ObjectBroken as error:
                LOG.error('version not understood: %s', error)

        await objectstore.follow(
            self._store,
            f'{_names.VERSIONS_KIND}/',
            objectstore.CallbackListener(learn),
        )

    async def acknowledge_drains(self) -> None:
        async with anyio.create_task_group() as tasks:
            answered: set[str] = set()

            def learn(found: objectstore.Object) -> None:
                if found.key not in answered:
                    answered.add(found.key)
                    tasks.start_soon(self._complete, found.key)

            await objectstore.follow(
                self._store,
                f'{_names.RETIREMENTS_KIND}/',
                objectstore.CallbackListener(learn, answered.discard),
            )

    async def _complete(self, key: str) -> None:
        while True:
            try:
                found = await self._store.read(key)
                await self._direct.write_status(key, COMPLETED, found.version)
            except errors.ObjectMissing:
                return
            except errors.PlatformError as error:
                LOG.info('status of %s not written: %s', key, error)
                await anyio.sleep(RETRY_SECONDS)
            else:
                LOG.info('storage VM is empty', extra={'object': key})
                return
