"""Shares the crashes of servers between VMs, over the object store.

Each VM writes one object with the histories of all requests that it recorded.
The store keeps it while all VMs are down, and a VM that starts anew reads what
it and the others had recorded before it forwards any request.
"""

import collections.abc
import logging
import time

import anyio
import msgspec

from swiftjunction.coordination import _members
from swiftjunction.coordination import _sharing
from swiftjunction.coordination.records import _pending_write
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import requests

LOG = logging.getLogger(__name__)

CRASHES_PREFIX = 'crashes/'
WRITE_RETRY_SECONDS = 0.3
# Delay that merges the crashes of all requests that one server was running.
COALESCE_SECONDS = 0.05
CLEANUP_INTERVAL_SECONDS = 600.0
# No crash counts for so long. VMs' clocks may differ by less.
OBJECT_EXPIRY_SECONDS = 7200.0

Histories = dict[str, requests.CrashHistory]


class _StoredHistories(msgspec.Struct):
    """The object of one VM: its histories by fingerprint, and when written."""

    written_unix: float = 0.0
    histories: Histories = {}


class StoreCrashRegistry(requests.CrashRegistry):
    """Registry whose histories are objects of the store, one for each VM.

    Parameters
    ----------
    store : ObjectStore
        Access to the store, directly or through a peer.
    feed_sync : FeedSync
        Keeps a copy of the objects of all VMs up to date.
    members : MemberTable
        Tells which VM deletes the objects of others.
    clock : callable
        Returns Unix time in seconds.
    """

    __slots__ = (
        '_clock',
        '_feed',
        '_feed_sync',
        '_known',
        '_listeners',
        '_members',
        '_pending',
        '_store',
        '_version',
        '_written_at',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        feed_sync: _sharing.FeedSync,
        members: _members.MemberTable,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._feed_sync = feed_sync
        self._members = members
        self._clock = clock
        self._listeners: list[requests.HistoryListener] = []
        self._known: dict[str, Histories] = {members.own.name: {}}
        self._written_at: dict[str, float] = {}
        # The version of this VM's object; 0 before it is known to exist.
        self._version = 0
        self._pending = _pending_write.PendingWrite()
        self._feed = feed_sync.add(
            CRASHES_PREFIX,
            objectstore.CallbackListener(self._apply_object, self._remove),
        )

    def is_loaded(self) -> bool:
        """Return whether the histories of all VMs have been received."""
        return self._feed.revision >= 0

    def listen(self, listener: requests.HistoryListener) -> None:
        self._listeners.append(listener)

    def publish(
        self, process: str, fingerprint: str, history: requests.CrashHistory
    ) -> None:
        own = self._known[process]
        if history == requests.EMPTY_HISTORY:
            own.pop(fingerprint, None)
        else:
            own[fingerprint] = history
        self._pending.request()

    async def run(self) -> None:
        """Write this VM's histories and follow those of others."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._feed_sync.run, self._feed, lambda: False)
            tasks.start_soon(self._run_cleanup)
            while True:
                await self._pending.wait()
                await anyio.sleep(COALESCE_SECONDS)
                await self._pending.perform(self._write)

    async def _write(self) -> None:
        key = CRASHES_PREFIX + self._members.own.name
        while True:
            value = msgspec.json.encode(
                _StoredHistories(
                    self._clock(), self._known[self._members.own.name]
                )
            )
            try:
                if self._version:
                    self._version = await objectstore.update_or_confirm(
                        self._store, key, value, self._version
                    )
                else:
                    self._version = await objectstore.create_or_confirm(
                        self._store, key, value
                    )
                return
            except errors.PlatformUnavailable as error:
                LOG.info('cannot write the crashes of servers yet: %s', error)
                await anyio.sleep(WRITE_RETRY_SECONDS)
            except errors.PlatformError as error:
                LOG.info('read the crashes of servers anew: %s', error)
                await self._adopt(key)

    async def _adopt(self, key: str) -> None:
        """Take over what this VM wrote before it started anew."""
        try:
            self._apply_own(await self._store.read(key))
        except errors.ObjectMissing:
            self._version = 0
        except errors.PlatformError as error:
            LOG.info('cannot read the crashes of servers: %s', error)
        await anyio.sleep(WRITE_RETRY_SECONDS)

    def _apply_own(self, found: objectstore.Object) -> None:
        # If the object is broken, the next write replaces it.
        self._version = found.version
        stored = objectstore.decode_value(found, _StoredHistories)
        own = self._known[self._members.own.name]
        for fingerprint, history in stored.histories.items():
            # The next write replaces the whole object.
            own.setdefault(fingerprint, history)
            self._notify(self._members.own.name, fingerprint, history)

    def _apply_object(self, found: objectstore.Object) -> None:
        name = found.key.removeprefix(CRASHES_PREFIX)
        try:
            if name == self._members.own.name:
                # Later copies are of what this process wrote itself.
                if not self._version:
                    self._apply_own(found)
                return
            stored = objectstore.decode_value(found, _StoredHistories)
        except errors.ObjectBroken as error:
            LOG.warning('ignoring invalid crashes of servers: %s', error)
            return
        self._written_at[name] = stored.written_unix
        self._replace(name, stored.histories)

    def _remove(self, key: str) -> None:
        name = key.removeprefix(CRASHES_PREFIX)
        if name != self._members.own.name:
            self._written_at.pop(name, None)
            self._replace(name, {})

    def _replace(self, name: str, histories: Histories) -> None:
        for fingerprint in self._known.get(name, {}).keys() - histories.keys():
            self._notify(name, fingerprint, requests.EMPTY_HISTORY)
        self._known[name] = histories
        for fingerprint, history in histories.items():
            self._notify(name, fingerprint, history)

    def _notify(
        self, name: str, fingerprint: str, history: requests.CrashHistory
    ) -> None:
        for listener in self._listeners:
            listener(name, fingerprint, history)

    async def _run_cleanup(self) -> None:
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_SECONDS)
            if self._members.find_rank() == 0:
                await self.delete_expired()

    async def delete_expired(self) -> None:
        """Delete the objects in which no crash counts any longer."""
        oldest = self._clock() - OBJECT_EXPIRY_SECONDS
        for name, written_at in list(self._written_at.items()):
            if written_at >= oldest:
                continue
            key = CRASHES_PREFIX + name
            try:
                found = await self._store.read(key)
                stored = objectstore.decode_value(found, _StoredHistories)
                if stored.written_unix < oldest:
                    await self._store.delete(key, found.version)
            except errors.PlatformError as error:
                LOG.info('cannot delete old crashes of servers: %s', error)
