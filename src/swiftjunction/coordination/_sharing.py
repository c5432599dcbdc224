"""Copies of stored objects that VMs keep up to date from each other.

Each watch that ends costs the store a call, so only some VMs watch a prefix
and the others copy the objects from them. The statuses that VMs poll hold the
revision that each VM has of each prefix. A VM whose watch has stalled on a
connection that seems healthy therefore also learns of changes from its peers.
"""

import collections.abc
import functools
import logging
import math
import time

import anyio

from swiftjunction.coordination import _feed
from swiftjunction.coordination import _members
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _statuses
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import objectstore
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web

LOG = logging.getLogger(__name__)

# Shortest time between two copies of one feed.
COPY_INTERVAL_SECONDS = 0.1
WATCH_CHECK_INTERVAL_SECONDS = 0.5
# The VMs of this many lowest ranks watch each prefix, besides those for which
# `must_watch` is true or whose copy is too old. If packets of one of them are
# silently dropped, another one still learns of changes.
WATCHER_COUNT = 2
# A VM watches the store itself if nobody that it copies from has had a watch
# for this long.
MAX_WATCH_AGE_SECONDS = 2.5
# It also does so if its copy may lack changes for this long. A watch without
# changes gets its response at its end, which shows what had happened before
# its start.
MAX_AGE_SECONDS = 2 * objectstore.WATCH_SECONDS + MAX_WATCH_AGE_SECONDS


class FeedSync:
    """Keeps shared feeds up to date, from the store or from peers.

    Parameters
    ----------
    store : ObjectStore
        The store to list and watch.
    peers : PeerClients
        HTTP clients for the peers.
    members : MemberTable
        Holds the peers' statuses, with the revision and age of each feed.
    clock : callable
        Returns monotonic time in seconds; the same clock as that of
        `members`.
    boot_clock : callable
        Returns seconds; also counts the time for which the VM is suspended.
    supervisor : Supervisor, optional
        Keeps an unexpected error in a copy from one peer from the watch of
        the store, and from copies from the others.
    """

    __slots__ = (
        '_boot_clock',
        '_clock',
        '_copies',
        '_feeds',
        '_members',
        '_peers',
        '_store',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        peers: web.PeerClients,
        members: _members.MemberTable,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        boot_clock: collections.abc.Callable[
            [], float
        ] = leases.read_boot_clock,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._copies = supervision.IsolatedItems(
            supervisor or supervision.Supervisor(telemetry.Metrics()),
            'copy of objects',
        )
        self._boot_clock = boot_clock
        self._store = store
        self._peers = peers
        self._members = members
        self._clock = clock
        self._feeds: dict[str, _feed.SharedFeed] = {}

    def add(
        self, prefix: str, listener: objectstore.Listener
    ) -> _feed.SharedFeed:
        """Return a new feed of the objects under `prefix`.

        It receives no objects until :meth:`run` is called with it.
        """
        feed = _feed.SharedFeed(prefix, listener, self._boot_clock)
        self._feeds[prefix] = feed
        return feed

    def get(self, prefix: str) -> _feed.SharedFeed:
        """Return the feed of a prefix.

        Raises
        ------
        PlatformUnavailable
            If this VM has not yet received the objects.
        """
        feed = self._feeds.get(prefix)
        if feed is None or feed.revision < 0:
            raise errors.PlatformUnavailable(
                f'objects under {prefix} have not been received yet',
                step='share',
            )
        return feed

    def find(self, prefix: str) -> _feed.SharedFeed | None:
        """Return the feed of a prefix, if it was added."""
        return self._feeds.get(prefix)

    def is_seed(self) -> bool:
        """Return whether this VM is a seed, which many peers poll."""
        return self._members.is_seed()

    def list_revisions(self) -> dict[str, int]:
        """Return the revision of each feed by its prefix, for peers."""
        return {prefix: f.revision for prefix, f in self._feeds.items()}

    def summarize(self) -> dict[str, dict[str, object]]:
        """Return the state of each feed, for the state dump."""
        ages = self.list_ages()
        return {
            prefix: {
                'revision': feed.revision,
                'watched': feed.is_watched,
                'age_seconds': ages.get(prefix),
            }
            for prefix, feed in self._feeds.items()
        }

    def list_ages(self) -> dict[str, float]:
        """Return the seconds since each feed was complete, for peers.

        Feeds that were never known to be complete are left out.
        """
        now = self._clock()
        return {
            prefix: round(now - feed.complete_at, 3)
            for prefix, feed in self._feeds.items()
            if feed.complete_at > -math.inf
        }

    def list_watch_ages(self) -> dict[str, float]:
        """Return the seconds since each feed was watched, for peers.

        Feeds that were never known to be watched are left out.
        """
        now = self._clock()
        self._refresh_watched(now)
        return {
            prefix: round(now - feed.watched_at, 3)
            for prefix, feed in self._feeds.items()
            if feed.watched_at > -math.inf
        }

    def record_status(self, status: _statuses.MemberStatus) -> None:
        """Record the copies that a peer has, according to its status."""
        now = self._clock()
        for prefix, feed in self._feeds.items():
            feed.record_copy(
                status.revisions.get(prefix, -1),
                now - status.watch_ages.get(prefix, math.inf),
                now - status.ages.get(prefix, math.inf),
            )

    def _refresh_watched(self, now: float) -> None:
        for feed in self._feeds.values():
            if feed.is_watched:
                feed.watched_at = now

    async def run(
        self,
        feed: _feed.SharedFeed,
        must_watch: collections.abc.Callable[[], bool],
        coalesce_seconds: float = 0.0,
    ) -> None:
        """Keep a feed up to date until cancelled.

        Parameters
        ----------
        must_watch : callable
            Returns whether this VM must watch the store regardless of its
            rank.
        coalesce_seconds : float
            How long to wait after a change before the next watch, in seconds.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy_newer, feed)
            if not must_watch():
                await self._list(feed)
            while True:
                if must_watch() or self._should_watch(feed.prefix):
                    await self._watch(feed, must_watch, coalesce_seconds)
                await anyio.sleep(WATCH_CHECK_INTERVAL_SECONDS)

    async def _list(self, feed: _feed.SharedFeed) -> None:
        """List the objects once, before deciding whether to watch.

        Meanwhile peers answer the first polls, by which this VM learns its
        rank.
        """
        while feed.revision < 0:
            feed.note_request()
            asked_at = self._clock()
            try:
                listed = await self._store.list(feed.prefix)
                feed.apply_if_newer(
                    _messages.FeedCopy(listed.revision, listed.changed, [])
                )
                feed.watched_at = self._clock()
                feed.confirm(asked_at)
            except errors.PlatformError as error:
                LOG.info(
                    'cannot list the objects under %s: %s', feed.prefix, error
                )
            await anyio.sleep(WATCH_CHECK_INTERVAL_SECONDS)

    async def _watch(
        self,
        feed: _feed.SharedFeed,
        must_watch: collections.abc.Callable[[], bool],
        coalesce_seconds: float,
    ) -> None:
        LOG.info(
            'started watching the object store', extra={'prefix': feed.prefix}
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    objectstore.follow,
                    self._store,
                    feed.prefix,
                    feed,
                    coalesce_seconds,
                    objectstore.WATCH_SECONDS,
                    self._clock,
                )
                while must_watch() or self._should_watch(feed.prefix):
                    await anyio.sleep(WATCH_CHECK_INTERVAL_SECONDS)
                tasks.cancel_scope.cancel()
        finally:
            # Also of a request that was never answered.
            feed.mark_stale()
        LOG.info(
            'stopped watching the object store', extra={'prefix': feed.prefix}
        )

    def _should_watch(self, prefix: str) -> bool:
        """Return whether this VM's rank or copy's age calls for a watch."""
        if self._members.find_rank() < WATCHER_COUNT:
            return True
        now = self._clock()
        self._refresh_watched(now)
        feed = self._feeds[prefix]
        return (
            now - feed.watched_at > MAX_WATCH_AGE_SECONDS
            or now - feed.complete_at > MAX_AGE_SECONDS
        )

    async def _copy_newer(self, feed: _feed.SharedFeed) -> None:
        while True:
            newest = self._find_newest(feed)
            if (
                newest is None
                or newest.revisions.get(feed.prefix, -1) <= feed.revision
            ):
                await feed.wait_for_newer()
                continue
            await self._copies.run(
                _name_copy(feed, newest.name),
                functools.partial(self._copy_from, feed, newest.name),
                peer=newest.name,
                prefix=feed.prefix,
            )
            await anyio.sleep(COPY_INTERVAL_SECONDS)

    def _find_newest(
        self, feed: _feed.SharedFeed
    ) -> _statuses.MemberStatus | None:
        """Return the status of the peer with the newest copy.

        Peers from which a copy failed unexpectedly are left out for a while.
        """
        return max(
            (
                status
                for status in self._members.list_statuses()
                if not self._copies.is_delayed(_name_copy(feed, status.name))
            ),
            key=lambda status: status.revisions.get(feed.prefix, -1),
            default=None,
        )

    async def _copy_from(self, feed: _feed.SharedFeed, name: str) -> None:
        member = self._members.find(name)
        if member is not None:
            await self.copy(feed, member.address)

    async def copy(self, feed: _feed.SharedFeed, address: str) -> None:
        """Copy a feed from a peer if it has a newer one.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.
        """
        client = _peer.PeerClient(self._peers, address)
        try:
            copy = await client.call(
                _messages.OBJECTS_PATH,
                _messages.ObjectsCall(feed.prefix, feed.revision),
                _messages.FeedCopy,
            )
        except errors.PlatformError as error:
            LOG.info(
                'cannot copy the objects under %s from a peer: %s',
                feed.prefix,
                error,
            )
            return
        feed.apply_if_newer(copy)


def _name_copy(feed: _feed.SharedFeed, peer: str) -> str:
    return f'{feed.prefix} {peer}'
