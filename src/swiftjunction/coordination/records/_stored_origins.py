"""Keeps the origins of streams that a VM has recorded while it is down.

Each VM writes one object with what it recorded for itself and for its peers.
Without it, a stream that is resumed after all VMs were killed would be of
unknown origin.
"""

import collections.abc
import logging
import time

import anyio
import msgspec

from swiftjunction.coordination import _members
from swiftjunction.coordination.records import _pending_write
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import requests

LOG = logging.getLogger(__name__)

ORIGINS_PREFIX = 'origins/'
# The interval of the writes of a VM grows with the number of VMs, so that
# together they make at most 200 in a second.
MIN_WRITE_INTERVAL_SECONDS = 0.5
WRITE_INTERVAL_SECONDS_PER_VM = 0.005
RETRY_SECONDS = 0.3
# The newest ones are written: 140 KB.
MAX_STORED_ORIGINS = 2000
CLEANUP_INTERVAL_SECONDS = 600.0
# No stream lasts so long. The clocks of VMs may differ by less.
OBJECT_EXPIRY_SECONDS = 7200.0


class StoredOrigin(msgspec.Struct, frozen=True):
    """An origin, and until when it counts, in Unix seconds."""

    origin: requests.StreamOrigin
    expires_unix: float


class _StoredOrigins(msgspec.Struct):
    """The object of one VM: origins by request id, and when written."""

    written_unix: float = 0.0
    origins: dict[str, StoredOrigin] = {}


class OriginArchive:
    """Writes the origins that this VM recorded, and reads them as it starts.

    Parameters
    ----------
    store : ObjectStore
        Access to the store, directly or through a peer.
    members : MemberTable
        Names this VM, and tells which VM deletes the objects of others.
    clock : callable
        Returns Unix time in seconds.

    Attributes
    ----------
    is_loaded : bool
        Whether what this VM recorded before it started has been read.
    """

    __slots__ = (
        '_clock',
        '_members',
        '_origins',
        '_pending',
        '_store',
        '_version',
        'is_loaded',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        members: _members.MemberTable,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._members = members
        self._clock = clock
        # The oldest first.
        self._origins: dict[str, StoredOrigin] = {}
        # The version of this VM's object; 0 before it is known to exist.
        self._version = 0
        self._pending = _pending_write.PendingWrite()
        self.is_loaded = False

    def add(
        self,
        request_id: str,
        origin: requests.StreamOrigin,
        lifetime_seconds: float,
    ) -> None:
        """Have an origin written within the interval of writes."""
        self._origins.pop(request_id, None)
        self._origins[request_id] = StoredOrigin(
            origin, self._clock() + lifetime_seconds
        )
        while len(self._origins) > MAX_STORED_ORIGINS:
            del self._origins[next(iter(self._origins))]
        self._pending.request()

    async def run(
        self,
        restore: collections.abc.Callable[
            [str, requests.StreamOrigin, float], None
        ],
    ) -> None:
        """Read what was written, then write what is added, until cancelled.

        Parameters
        ----------
        restore : callable
            Takes the id, the origin and the remaining lifetime in seconds of
            each origin that was read.
        """
        while not await self._load(restore):
            await anyio.sleep(RETRY_SECONDS)
        self.is_loaded = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_cleanup)
            while True:
                await self._pending.wait()
                await anyio.sleep(self._compute_interval())
                await self._pending.perform(self._write)

    def _compute_interval(self) -> float:
        vm_count = len(self._members.list_peers()) + 1
        return max(
            MIN_WRITE_INTERVAL_SECONDS,
            vm_count * WRITE_INTERVAL_SECONDS_PER_VM,
        )

    @property
    def _key(self) -> str:
        return ORIGINS_PREFIX + self._members.own.name

    async def _load(
        self,
        restore: collections.abc.Callable[
            [str, requests.StreamOrigin, float], None
        ],
    ) -> bool:
        """Read this VM's object; return whether that is done."""
        try:
            found = await self._store.read(self._key)
            stored = objectstore.decode_value(found, _StoredOrigins)
        except errors.ObjectMissing:
            self._version = 0
            return True
        except errors.ObjectBroken as error:
            LOG.warning('ignoring invalid origins of streams: %s', error)
            # The next write finds out its version.
            return True
        except errors.PlatformError as error:
            LOG.info('cannot read the origins of streams yet: %s', error)
            return False
        self._version = found.version
        now = self._clock()
        for request_id, kept in stored.origins.items():
            if kept.expires_unix > now and request_id not in self._origins:
                self._origins[request_id] = kept
                restore(request_id, kept.origin, kept.expires_unix - now)
        return True

    def _remove_expired(self) -> None:
        now = self._clock()
        for request_id, kept in list(self._origins.items()):
            if kept.expires_unix <= now:
                del self._origins[request_id]

    async def _write(self) -> None:
        self._remove_expired()
        value = msgspec.json.encode(
            _StoredOrigins(self._clock(), self._origins)
        )
        try:
            if self._version:
                self._version = await objectstore.update_or_confirm(
                    self._store, self._key, value, self._version
                )
            else:
                self._version = await objectstore.create_or_confirm(
                    self._store, self._key, value
                )
        except errors.PlatformError as error:
            LOG.info('cannot write the origins of streams: %s', error)
            await anyio.sleep(RETRY_SECONDS)
            await self._find_version()
            self._pending.request()

    async def _find_version(self) -> None:
        """Find out the object's version, after a write that failed."""
        try:
            self._version = (await self._store.read(self._key)).version
        except errors.ObjectMissing:
            self._version = 0
        except errors.PlatformError as error:
            LOG.debug('cannot read the origins of streams: %s', error)

    async def _run_cleanup(self) -> None:
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_SECONDS)
            if self._members.find_rank() == 0:
                await self.delete_expired()

    async def delete_expired(self) -> None:
        """Delete the objects in which no origin counts any longer."""
        oldest = self._clock() - OBJECT_EXPIRY_SECONDS
        try:
            listed = await self._store.list(ORIGINS_PREFIX)
        except errors.PlatformError as error:
            LOG.info('cannot list the origins of streams: %s', error)
            return
        for found in listed.changed:
            if found.key == self._key:
                continue
            try:
                stored = objectstore.decode_value(found, _StoredOrigins)
                if stored.written_unix < oldest:
                    await self._store.delete(found.key, found.version)
            except errors.PlatformError as error:
                LOG.info('cannot delete old origins of streams: %s', error)
