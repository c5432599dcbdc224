"""Asks the store whether the copy of the configuration is current.

See docs/design/confirmation.md.
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

# Checks in the time between two asks.
CHECKS_PER_INTERVAL = 4
REQUIRED_CHECK_INTERVAL_SECONDS = 0.1
# Time of inactivity after which the next ask is a list, in intervals.
MAX_PAUSE_INTERVALS = 4
# Checks for which a rank is used before it is found again, which takes longer
# than the rest of a check.
CHECKS_PER_RANK = 4


class ConfigurationConfirmer:
    """Keeps the confirmation of the configuration recent.

    Parameters
    ----------
    store : ObjectStore
        Calls the store directly.
    feed_sync : FeedSync
        Holds the copy of the configuration.
    members : MemberTable
        Knows the rank of this VM.
    confirmation : FeedConfirmation
        Receives the times of the asks.
    max_age_seconds : float
        The greatest age at which keys are still served.
    is_required : callable
        Returns whether the configuration must be confirmed.
    reaches_store : callable
        Returns whether other calls to the store succeed.
    rng : random.Random
        Spreads the asks of many VMs.
    """

    __slots__ = (
        '_asked_at',
        '_confirmation',
        '_feed_sync',
        '_is_required',
        '_max_age_seconds',
        '_members',
        '_reaches_store',
        '_revision',
        '_rng',
        '_store',
        '_was_recent',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        feed_sync: _sharing.FeedSync,
        members: _members.MemberTable,
        confirmation: _confirming.FeedConfirmation,
        max_age_seconds: float,
        is_required: collections.abc.Callable[[], bool],
        reaches_store: collections.abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._feed_sync = feed_sync
        self._members = members
        self._confirmation = confirmation
        self._max_age_seconds = max_age_seconds
        self._is_required = is_required
        self._reaches_store = reaches_store
        self._rng = rng
        # The revision of the last answer, from which to watch; -1 to list.
        self._revision = -1
        self._asked_at = 0.0
        self._was_recent = True

    @property
    def age_seconds(self) -> float:
        """Return the age of the confirmation; 0 if none is required."""
        if not self._is_required():
            return 0.0
        return self._confirmation.compute_age_seconds()

    @property
    def is_recent(self) -> bool:
        """Return whether keys can be checked, if there are any."""
        return self.age_seconds <= self._max_age_seconds

    def state_age(self) -> float | None:
        """Return the age for peers; None if unknown or none is required."""
        if not self._is_required():
            return None
        return self._confirmation.state_age()

    async def run(self) -> None:
        """Ask the store when that is due, until cancelled."""
        while True:
            await self._wait_until_required()
            await self._run_while_required()

    async def _wait_until_required(self) -> None:
        while not self._is_required():
            await anyio.sleep(REQUIRED_CHECK_INTERVAL_SECONDS)

    async def _run_while_required(self) -> None:
        schedule = _asking.AskSchedule(
            self._max_age_seconds, self._rng, self._confirmation.clock()
        )
        checks = 0
        started_at = self._confirmation.clock()
        while self._is_required():
            if checks % CHECKS_PER_RANK == 0:
                rank = self._find_rank()
            checks += 1
            age_seconds = self._confirmation.compute_age_seconds()
            now = self._confirmation.clock()
            # Before the first confirmation the age is infinite; until it is
            # overdue, that is no reason for a warning.
            self._log_age(min(age_seconds, now - started_at))
            feed = self._feed_sync.find(_confirming.CONFIG_PREFIX)
            if feed is not None and schedule.is_due(
                now, rank, age_seconds, self._reaches_store()
            ):
                await self._ask_and_record(feed, schedule, rank)
            await anyio.sleep(schedule.interval_seconds / CHECKS_PER_INTERVAL)

    def _find_rank(self) -> int:
        """Return this VM's rank; it is the last one before peers are known."""
        if not self._members.has_converged():
            return len(self._members.list_peers()) + _asking.ASKING_RANKS
        return self._members.find_rank()

    async def _ask_and_record(
        self,
        feed: _feed.SharedFeed,
        schedule: _asking.AskSchedule,
        rank: int,
    ) -> None:
        asked_at = self._confirmation.clock()
        try:
            await self._ask(feed, asked_at, schedule.interval_seconds)
        except errors.PlatformError as error:
            LOG.debug('cannot confirm the configuration: %s', error)
            self._revision = -1
            schedule.record_failure(self._confirmation.clock(), rank)
            return
        self._confirmation.record(asked_at)
        if schedule.record_success(asked_at, rank):
            LOG.info('confirming the configuration, as no other VM seems to')

    async def _ask(
        self, feed: _feed.SharedFeed, asked_at: float, interval_seconds: float
    ) -> None:
        paused_seconds = asked_at - self._asked_at
        self._asked_at = asked_at
        if (
            self._revision < 0
            or paused_seconds > MAX_PAUSE_INTERVALS * interval_seconds
        ):
            await self._list(feed)
            return
        try:
            found = await self._store.watch(feed.prefix, self._revision, 0.0)
        except errors.HistoryLost:
            await self._list(feed)
            return
        if found.changed or found.deleted:
            feed.apply_if_newer(
                _messages.FeedCopy(
                    found.revision,
                    found.changed,
                    found.deleted,
                    self._revision,
                )
            )
        self._revision = max(self._revision, found.revision)

    async def _list(self, feed: _feed.SharedFeed) -> None:
        found = await self._store.list(feed.prefix)
        # Without a difference, peers need not copy the feed.
        difference = feed.find_difference(found)
        if difference is not None:
            feed.apply_if_newer(difference)
        self._revision = found.revision

    def _log_age(self, age_seconds: float) -> None:
        is_recent = age_seconds <= self._max_age_seconds
        if is_recent == self._was_recent:
            return
        self._was_recent = is_recent
        if is_recent:
            LOG.info('configuration is confirmed again')
        else:
            LOG.warning(
                'configuration may lack changes; it was not confirmed in time'
            )
