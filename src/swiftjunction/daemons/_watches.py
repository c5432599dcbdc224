"""Reads the platform into the shared records."""

import collections.abc
import logging
import random

import anyio

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

WATCH_SECONDS = 20.0
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
ROLE_INTERVAL_SECONDS = 0.5


class PrefixWatcher:
    """Keeps the records under one prefix as new as the platform's objects.

    An object's version is its record's version, so whatever way a record
    comes here, from the platform or from another daemon, the newest stays.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    prefix : str
        Of keys, the same in the platform and in the records.
    table : RecordTable
        The records of this daemon.
    rng : random.Random
        Spreads the retries.
    is_watcher : callable
        Tells whether this daemon is one of the few of its region that
        watch; the others learn from their peers.
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
        retry_seconds = FIRST_RETRY_SECONDS
        while True:
            while not self._is_watcher():
                self.reachable = False
                await anyio.sleep(ROLE_INTERVAL_SECONDS)
            try:
                found = await self._store.list(self._prefix)
                while True:
                    self._apply(found)
                    self.reachable = True
                    retry_seconds = FIRST_RETRY_SECONDS
                    if not self._is_watcher():
                        break
                    found = await self._store.watch(
                        self._prefix, found.revision, WATCH_SECONDS
                    )
            except errors.PlatformError as error:
                if self.reachable:
                    LOG.warning('watch of %s broke: %s', self._prefix, error)
                self.reachable = False
            await anyio.sleep(retry_seconds * self._rng.uniform(0.5, 1))
            retry_seconds = min(retry_seconds * 2, MAX_RETRY_SECONDS)

    def _apply(self, found: objectstore.ChangeSet) -> None:
        self._table.apply(
            links.Record(item.key, item.version, item.value)
            for item in found.changed
        )
