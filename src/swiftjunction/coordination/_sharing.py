"""What VMs know of the object store, shared among them.

Some VMs watch the store and the others take from them what is new, since each
watch that ends is a call. VMs compare how far they know each prefix in the
statuses that they ask each other for. So a VM whose watch is silent, though
its connection seems well, also learns of a change from the others.
"""

import collections.abc
import logging
import math
import time

import anyio

from swiftjunction.coordination import _members
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _peer
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import web

LOG = logging.getLogger(__name__)

COMPARE_SECONDS = 0.1
CHECK_SECONDS = 0.5
# So many VMs watch a prefix, beside the one that coordinates: where one of
# them is cut off without a word, another one tells of changes.
WATCHERS = 2
# A VM that has not heard for so long that its objects are complete watches
# the store itself.
MAX_AGE_SECONDS = 2.5


class SharedFeed(objectstore.Listener):
    """The objects under one prefix, as far as this VM knows them.

    Parameters
    ----------
    prefix : str
        Of their keys.
    target : Listener
        Is told of them.

    Attributes
    ----------
    revision : int
        All changes up to it are known; -1 before the first list.
    is_watched : bool
        Whether this VM watches the prefix now, and misses nothing.
    complete_at : float
        When all changes were last known here, or to a peer of which this VM
        takes them; seconds of a monotonic clock.
    """

    __slots__ = (
        '_objects',
        '_target',
        'complete_at',
        'is_watched',
        'prefix',
        'revision',
    )

    def __init__(self, prefix: str, target: objectstore.Listener) -> None:
        self.prefix = prefix
        self.revision = -1
        self.is_watched = False
        self.complete_at = -math.inf
        self._target = target
        self._objects: dict[str, objectstore.Object] = {}

    def replace(self, objects: list[objectstore.Object]) -> None:
        self._objects = {found.key: found for found in objects}
        self._target.replace(objects)

    def change(self, found: objectstore.Object) -> None:
        self._objects[found.key] = found
        self._target.change(found)

    def remove(self, key: str) -> None:
        self._objects.pop(key, None)
        self._target.remove(key)

    def mark_current(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self.is_watched = True

    def mark_stale(self) -> None:
        self.is_watched = False

    def snapshot(self) -> objectstore.ChangeSet:
        """Return all that is known, for a peer."""
        return objectstore.ChangeSet(
            self.revision, list(self._objects.values()), []
        )

    def take(self, known: objectstore.ChangeSet) -> None:
        """Take what a peer knows, where it knows more."""
        if known.revision > self.revision:
            self.replace(known.changed)
            self.revision = known.revision


class FeedSharing:
    """Keeps shared feeds up to date, from the store or from peers.

    Parameters
    ----------
    store : ObjectStore
        Which is watched.
    peers : PeerClients
        The HTTP clients of peers.
    members : MemberBook
        Who is reached, and how far each one knows.
    clock : callable
        The monotonic clock that `members` uses.
    """

    __slots__ = ('_clock', '_feeds', '_members', '_peers', '_store')

    def __init__(
        self,
        store: objectstore.ObjectStore,
        peers: web.PeerClients,
        members: _members.MemberBook,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._peers = peers
        self._members = members
        self._clock = clock
        self._feeds: dict[str, SharedFeed] = {}

    def add(self, prefix: str, target: objectstore.Listener) -> SharedFeed:
        """Return a feed of the objects under `prefix`, which is to be run."""
        feed = SharedFeed(prefix, target)
        self._feeds[prefix] = feed
        return feed

    def get(self, prefix: str) -> SharedFeed:
        """Return the feed of a prefix.

        Raises
        ------
        PlatformUnavailable
            If this VM knows nothing of it yet.
        """
        feed = self._feeds.get(prefix)
        if feed is None or feed.revision < 0:
            raise errors.PlatformUnavailable(
                f'{prefix} is not known here', step='share'
            )
        return feed

    def is_asked_by_others(self) -> bool:
        """Tell whether this VM is among the first that others ask."""
        return self._members.is_seed()

    def list_revisions(self) -> dict[str, int]:
        """Return how far each prefix is known here, for peers."""
        return {prefix: f.revision for prefix, f in self._feeds.items()}

    def summarize(self) -> dict[str, dict[str, object]]:
        """Return how far each prefix is known, for a dump."""
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
        """Return how long ago each prefix was complete here, for peers."""
        now = self._clock()
        for feed in self._feeds.values():
            self._note_ages(feed, now)
        return {
            prefix: round(now - feed.complete_at, 3)
            for prefix, feed in self._feeds.items()
            if feed.complete_at > -math.inf
        }

    def _note_ages(self, feed: SharedFeed, now: float) -> None:
        """Learn from peers when the objects of a feed were complete."""
        if feed.is_watched:
            feed.complete_at = now
            return
        for status, heard_at in self._members.list_heard():
            age_seconds = status.ages.get(feed.prefix, math.inf)
            feed.complete_at = max(feed.complete_at, heard_at - age_seconds)

    async def run(
        self,
        feed: SharedFeed,
        must_watch: collections.abc.Callable[[], bool],
        gather_seconds: float = 0.0,
    ) -> None:
        """Keep a feed up to date until cancelled.

        Parameters
        ----------
        must_watch : callable
            Tells whether this VM is to watch the store whoever else does.
        gather_seconds : float
            Between a change and the next watch.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._compare, feed)
            if not must_watch():
                await self._list(feed)
            while True:
                if must_watch() or self._is_needed(feed.prefix):
                    await self._watch(feed, must_watch, gather_seconds)
                await anyio.sleep(CHECK_SECONDS)

    async def _list(self, feed: SharedFeed) -> None:
        """List once; who is to watch is known better a moment later."""
        while feed.revision < 0:
            try:
                feed.take(await self._store.list(feed.prefix))
                feed.complete_at = self._clock()
            except errors.PlatformError as error:
                LOG.info('%s not listed: %s', feed.prefix, error)
            await anyio.sleep(CHECK_SECONDS)

    async def _watch(
        self,
        feed: SharedFeed,
        must_watch: collections.abc.Callable[[], bool],
        gather_seconds: float,
    ) -> None:
        LOG.info('watches', extra={'prefix': feed.prefix})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                objectstore.follow,
                self._store,
                feed.prefix,
                feed,
                gather_seconds,
            )
            while must_watch() or self._is_needed(feed.prefix):
                await anyio.sleep(CHECK_SECONDS)
            tasks.cancel_scope.cancel()
        feed.is_watched = False
        LOG.info('watches no more', extra={'prefix': feed.prefix})

    def _is_needed(self, prefix: str) -> bool:
        """Tell whether this VM is among those that watch."""
        if self._members.find_rank() < WATCHERS:
            return True
        now = self._clock()
        feed = self._feeds[prefix]
        self._note_ages(feed, now)
        return not feed.is_watched and (
            now - feed.complete_at > MAX_AGE_SECONDS
        )

    async def _compare(self, feed: SharedFeed) -> None:
        while True:
            await anyio.sleep(COMPARE_SECONDS)
            ahead = max(
                self._members.list_reached(),
                key=lambda status: status.revisions.get(feed.prefix, -1),
                default=None,
            )
            if (
                ahead is not None
                and ahead.revisions.get(feed.prefix, -1) > feed.revision
            ):
                await self._take_from(feed, ahead.name)

    async def _take_from(self, feed: SharedFeed, name: str) -> None:
        member = self._members.find(name)
        if member is None:
            return
        client = _peer.PeerClient(self._peers, member.address)
        try:
            known = await client.ask(
                _messages.OBJECTS_PATH,
                _messages.ObjectsCall(feed.prefix),
                objectstore.ChangeSet,
            )
        except errors.PlatformError as error:
            LOG.info('%s not taken from a peer: %s', feed.prefix, error)
            return
        feed.take(known)
