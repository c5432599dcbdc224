"""Keeps the age of a VM's list of backend servers within a bound.

See docs/design/server-lists.md.
"""

import collections.abc
import logging
import random

import anyio

from swiftjunction.coordination import _asking
from swiftjunction.coordination import _confirming
from swiftjunction.coordination import _feed
from swiftjunction.coordination import _members
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _sharing
from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.05
# Ages at which a VM asks, as fractions of the time in which it must learn of a
# leaving server. The VMs of the lowest ranks ask first, one after the other.
FIRST_FRACTION = 0.5
RANK_FRACTION = 1 / 64
FIRST_RANKS = 6
OTHERS_FRACTION = 0.6
# The others spread their asks over so many calls a second, but over no longer
# than this fraction.
OTHERS_CALLS_PER_SECOND = 1000
MAX_SPREAD_FRACTION = 0.15
# A copy that is older is listed anew, in case the history has lost changes.
MAX_WATCH_FRACTION = 1.0
MIN_ASK_INTERVAL_SECONDS = 0.25
MAX_RETRY_SECONDS = 4.0


class FeedRefresher:
    """Asks the store itself when no peer's watch keeps a feed recent.

    Parameters
    ----------
    store : ObjectStore
        Calls the store directly.
    feed_sync : FeedSync
        Holds the copy.
    members : MemberTable
        Knows the rank of this VM.
    confirmation : FeedConfirmation
        The age of the copy. It receives the times up to which an open watch
        of this VM, or an answer, shows that the copy has all changes.
    learning_seconds : float
        The time in which a change must be known.
    reaches_store : callable
        Returns whether other calls to the store succeed.
    rng : random.Random
        Spreads the asks of many VMs.

    Attributes
    ----------
    asks : int
        Number of times that the store was asked.
    """

    __slots__ = (
        '_checked_at',
        '_checked_request',
        '_confirmation',
        '_failures',
        '_feed_sync',
        '_learning_seconds',
        '_members',
        '_next_at',
        '_reaches_store',
        '_rng',
        '_spread',
        '_started_at',
        '_store',
        'asks',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        feed_sync: _sharing.FeedSync,
        members: _members.MemberTable,
        confirmation: _confirming.FeedConfirmation,
        learning_seconds: float,
        reaches_store: collections.abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._feed_sync = feed_sync
        self._members = members
        self._confirmation = confirmation
        self._learning_seconds = learning_seconds
        self._reaches_store = reaches_store
        self._rng = rng
        self._started_at = self._next_at = confirmation.clock()
        self._checked_at = self._started_at
        # When the watch that was open at the last check began, if one was.
        self._checked_request: float | None = None
        self._failures = 0
        self._spread = rng.random()
        self.asks = 0

    async def run(self) -> None:
        """Ask the store when that is due, until cancelled."""
        while True:
            await self.check()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def check(self) -> None:
        """Record what the open watch shows, and ask the store if needed."""
        feed = self._feed_sync.find(self._confirmation.prefix)
        if feed is None:
            return
        now = self._confirmation.clock()
        self._record_watch(feed, now)
        # A VM that has just started first waits for the list of the feed.
        age_seconds = min(
            self._confirmation.compute_age_seconds(), now - self._started_at
        )
        if (
            now >= self._next_at
            and age_seconds > FIRST_FRACTION * self._learning_seconds
            and (not self._failures or self._reaches_store())
            and age_seconds > self._compute_patience_seconds()
        ):
            await self._ask_and_record(feed, now, age_seconds)

    def _record_watch(self, feed: _feed.SharedFeed, now: float) -> None:
        """Confirm the copy up to the last check if the watch is still open.

        What had arrived by then was handled since, also if the VM was
        suspended for some time. A watch through a peer shows nothing, as that
        peer may be suspended too.
        """
        is_open = feed.is_watched and self._reaches_store()
        request = feed.requested_at if is_open else None
        if request is not None and request == self._checked_request:
            self._confirmation.record(self._checked_at)
        self._checked_request = request if feed.is_waiting else None
        self._checked_at = now

    def _compute_patience_seconds(self) -> float:
        rank = self._find_rank()
        if rank < FIRST_RANKS:
            fraction = FIRST_FRACTION + rank * RANK_FRACTION
            return fraction * self._learning_seconds
        spread_seconds = min(
            len(self._members.list_peers()) / OTHERS_CALLS_PER_SECOND,
            MAX_SPREAD_FRACTION * self._learning_seconds,
        )
        return (
            OTHERS_FRACTION * self._learning_seconds
            + self._spread * spread_seconds
        )

    def _find_rank(self) -> int:
        """Return this VM's rank; it is the last one before peers are known."""
        if not self._members.has_converged():
            return FIRST_RANKS
        return self._members.find_rank()

    async def _ask_and_record(
        self, feed: _feed.SharedFeed, asked_at: float, age_seconds: float
    ) -> None:
        self.asks += 1
        try:
            await self._ask(feed, age_seconds)
        except errors.PlatformError as error:
            LOG.debug(
                'cannot ask for the objects under %s: %s', feed.prefix, error
            )
            self._failures += 1
            self._next_at = self._compute_retry_time()
            return
        if self._failures:
            self._failures = 0
        self._next_at = asked_at + MIN_ASK_INTERVAL_SECONDS
        self._spread = self._rng.random()
        self._confirmation.record(asked_at)

    def _compute_retry_time(self) -> float:
        delay_seconds = min(
            MIN_ASK_INTERVAL_SECONDS * 2**self._failures, MAX_RETRY_SECONDS
        )
        return self._confirmation.clock() + delay_seconds * self._rng.uniform(
            1 - _asking.JITTER, 1 + _asking.JITTER
        )

    async def _ask(self, feed: _feed.SharedFeed, age_seconds: float) -> None:
        is_recent = age_seconds < MAX_WATCH_FRACTION * self._learning_seconds
        if feed.revision >= 0 and is_recent and not self._failures:
            try:
                await self._watch(feed)
                return
            except errors.HistoryLost:
                LOG.debug('history of %s is lost', feed.prefix)
        await self._list(feed)

    async def _watch(self, feed: _feed.SharedFeed) -> None:
        since = feed.revision
        found = await self._store.watch(feed.prefix, since, 0.0)
        if found.changed or found.deleted:
            feed.apply_if_newer(
                _messages.FeedCopy(
                    found.revision, found.changed, found.deleted, since
                )
            )

    async def _list(self, feed: _feed.SharedFeed) -> None:
        found = await self._store.list(feed.prefix)
        # Without a difference, peers need not copy the feed.
        difference = feed.find_difference(found)
        if difference is not None:
            feed.apply_if_newer(difference)
