"""Copies objects of the object store to the shared records."""

import collections.abc
import logging
import random

import anyio

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

WATCH_TIMEOUT_SECONDS = 20.0
INITIAL_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 5.0
ROLE_CHECK_INTERVAL_SECONDS = 0.5


class PrefixWatcher:
    """Watches the objects under one prefix and updates their records.

    A record has the version of its object. Therefore the newest version is
    kept, whether it arrives from the object store or from another daemon.

    Parameters
    ----------
    store : ObjectStore
        The object store.
    prefix : str
        The prefix of the keys, which objects and records have in common.
    table : RecordTable
        The shared records.
    rng : random.Random
        Adds jitter to the retry delays.
    is_watcher : callable
        Returns whether this VM is one of the few watchers of its region;
        the others receive the records from their peers.

    Attributes
    ----------
    reachable : bool
        Whether this VM is a watcher and its last list or watch succeeded.
    """

    __slots__ = (
        '_is_watcher',
        '_prefix',
        '_rng',
        '_store',
        '_table',
        'reachable',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        prefix: str,
        table: membership.RecordTable,
        rng: random.Random,
        is_watcher: collections.abc.Callable[[], bool],
    ) -> None:
        self._is_watcher = is_watcher
        self._store = store
        self._prefix = prefix
        self._table = table
        self._rng = rng
        self.reachable = False

    async def run(self) -> None:
        """Watch until cancelled."""
        retry_delay = INITIAL_RETRY_DELAY_SECONDS
        while True:
            while not self._is_watcher():
                self.reachable = False
                await anyio.sleep(ROLE_CHECK_INTERVAL_SECONDS)
            try:
                changes = await self._store.list(self._prefix)
                while True:
                    self._apply(changes)
                    self.reachable = True
                    retry_delay = INITIAL_RETRY_DELAY_SECONDS
                    if not self._is_watcher():
                        break
                    changes = await self._store.watch(
                        self._prefix, changes.revision, WATCH_TIMEOUT_SECONDS
                    )
            except errors.PlatformError as error:
                if self.reachable:
                    LOG.warning(
                        'watch of prefix %s failed: %s', self._prefix, error
                    )
                self.reachable = False
            await anyio.sleep(retry_delay * self._rng.uniform(0.5, 1))
            retry_delay = min(retry_delay * 2, MAX_RETRY_DELAY_SECONDS)

    def _apply(self, changes: objectstore.ChangeSet) -> None:
        self._table.apply(
            links.Record(item.key, item.version, item.value)
            for item in changes.changed
        )
