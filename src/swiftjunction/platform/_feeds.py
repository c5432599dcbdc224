"""Feeds from the platform's store: routes, servers, versions, retirements."""

import collections.abc
import functools
import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _names
from swiftjunction.platform import _schemas
from swiftjunction.platform import _store
from swiftjunction import routes
from swiftjunction import supervision
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# Delay that merges bursts of changes, as when all servers load a new version.
# Leaving servers are still noticed in time, although DelayedRemoval adds a
# delay of its own.
SERVERS_COALESCE_SECONDS = 0.3
CONFIG_KEY = f'{_names.CONFIG_KIND}/main'
COMPLETED_STATUS = msgspec.json.encode({'state': 'completed'})
STATUS_RETRY_INTERVAL_SECONDS = 0.5
# Pause after an unexpected error, doubled with each consecutive one.
MIN_ERROR_DELAY_SECONDS = 0.5
MAX_ERROR_DELAY_SECONDS = 30.0


class PlatformFeeds(coordination.DeploymentEvents):
    """Follows the object kinds that the platform defines.

    Parameters
    ----------
    store : ObjectStore
        Access to the store, directly or through a peer.
    direct : PlatformStore
        Direct access to the store, for writing statuses.
    feed_sync : FeedSync
        Keeps the feeds current, from the store or from peers.
    is_coordinator : callable
        Returns whether this VM is the coordinator.
    supervisor : Supervisor, optional
        Keeps the unexpected error of one acknowledgement from the others.

    Attributes
    ----------
    has_servers : bool
        Whether at least one server object has been received.
    """

    __slots__ = (
        '_broken',
        '_is_coordinator',
        '_direct',
        '_feed_sync',
        '_routes_feed',
        '_servers_feed',
        '_store',
        '_supervisor',
        'has_servers',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        direct: _store.PlatformStore,
        feed_sync: coordination.FeedSync,
        is_coordinator: collections.abc.Callable[[], bool],
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(
            telemetry.Metrics()
        )
        self._broken = objectstore.BrokenObjects()
        self._store = store
        self._feed_sync = feed_sync
        self._is_coordinator = is_coordinator
        self._direct = direct
        # Kept when a task runs again: they know which objects to remove.
        self._routes_feed: coordination.SharedFeed | None = None
        self._servers_feed: coordination.SharedFeed | None = None
        self.has_servers = False

    async def follow_routes(self, active_routes: routes.ActiveRoutes) -> None:
        """Activate each new configuration until cancelled."""

        def apply_object(obj: objectstore.Object) -> None:
            if obj.key != CONFIG_KEY:
                return
            try:
                active_routes.update(_schemas.decode_routes(obj))
            except errors.ObjectBroken as error:
                # The former configuration stays in force.
                if self._broken.add(obj):
                    LOG.error('invalid configuration: %s', error)

        # Changes are rare and must take effect soon: every VM of a small
        # deployment watches the store, and in a large one only the seeds.
        if self._routes_feed is None:
            self._routes_feed = self._feed_sync.add(
                f'{_names.CONFIG_KIND}/',
                objectstore.CallbackListener(apply_object),
            )
        await self._feed_sync.run(self._routes_feed, self._feed_sync.is_seed)

    async def follow_servers(
        self, delayed_removal: backends.DelayedRemoval
    ) -> None:
        """Report backend servers that are added or removed until cancelled.

        An invalid entry names no server to use. One that was known before is
        removed, as if it were no longer listed, until its entry is valid.
        """

        def apply_object(obj: objectstore.Object) -> None:
            self.has_servers = True
            try:
                delayed_removal.record_listed(_schemas.decode_server(obj))
            except errors.ObjectBroken as error:
                if self._broken.add(obj):
                    LOG.warning('ignoring invalid server object: %s', error)
                remove_server(obj.key)

        def remove_server(key: str) -> None:
            delayed_removal.record_missing(key.partition('/')[2])

        if self._servers_feed is None:
            self._servers_feed = self._feed_sync.add(
                f'{_names.SERVERS_KIND}/',
                objectstore.CallbackListener(apply_object, remove_server),
            )
        await self._feed_sync.run(
            self._servers_feed, self._is_coordinator, SERVERS_COALESCE_SECONDS
        )

    async def follow_versions(
        self, set_target_version: collections.abc.Callable[[str, int], None]
    ) -> None:
        def apply_object(obj: objectstore.Object) -> None:
            try:
                set_target_version(*_schemas.decode_version(obj))
            except errors.ObjectBroken as error:
                if self._broken.add(obj):
                    LOG.error('invalid version object: %s', error)

        await objectstore.follow(
            self._store,
            f'{_names.VERSIONS_KIND}/',
            objectstore.CallbackListener(apply_object),
        )

    async def acknowledge_drains(self) -> None:
        async with anyio.create_task_group() as tasks:
            handled_keys: set[str] = set()

            def apply_object(obj: objectstore.Object) -> None:
                if obj.key not in handled_keys:
                    handled_keys.add(obj.key)
                    tasks.start_soon(self._acknowledge, obj.key)

            await objectstore.follow(
                self._store,
                f'{_names.RETIREMENTS_KIND}/',
                objectstore.CallbackListener(
                    apply_object, handled_keys.discard
                ),
            )

    async def _acknowledge(self, key: str) -> None:
        """Write one status; an unexpected error delays this one alone."""
        delay_seconds = MIN_ERROR_DELAY_SECONDS
        while not await self._supervisor.run_isolated(
            'drain acknowledgement',
            functools.partial(self._write_completed_status, key),
            object=key,
        ):
            await anyio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_ERROR_DELAY_SECONDS)

    async def _write_completed_status(self, key: str) -> None:
        while True:
            try:
                obj = await self._store.read(key)
                await self._direct.write_status(
                    key, COMPLETED_STATUS, obj.version
                )
            except errors.ObjectMissing:
                return
            except errors.PlatformError as error:
                LOG.info('failed to write the status of %s: %s', key, error)
                await anyio.sleep(STATUS_RETRY_INTERVAL_SECONDS)
            else:
                LOG.info(
                    'acknowledged drain of storage VM', extra={'object': key}
                )
                return
