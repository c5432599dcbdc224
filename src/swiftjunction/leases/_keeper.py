"""Acquires and renews a lease by conditional writes of one object."""

import logging
import uuid

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction.leases import _lease
from swiftjunction.leases import _record
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

LEASE_PREFIX = 'leases/'


class _PendingWrite(msgspec.Struct, frozen=True):
    """A write whose outcome is not known.

    Attributes
    ----------
    started : float
        The time just before the write was sent, in seconds on the keeper's
        clock.
    version : int
        The version of the object that the write is conditional on; 0 if it
        creates the object.
    """

    started: float
    version: int


class LeaseKeeper:
    """Acquires, renews and releases one lease.

    Parameters
    ----------
    store : ObjectStore
        Holds the lease's object.
    name : str
        The name of the lease; its object is ``leases/{name}``.
    holder : str
        The name under which this process holds the lease.
    timing : LeaseTiming
        The timing of the lease. The renewal interval, the renewal timeout and
        the longest action that is taken under the lease must together not
        exceed the TTL less its margin, so that a renewal that hangs times
        out early enough for a second attempt.
    clock : callable
        Returns seconds; never goes backwards.
    reclaims_own_lease : bool
        Whether a restarted process may acquire the lease that it held before
        the restart without waiting until it expires. Safe only if no two
        processes ever run under the same `holder`.

    Attributes
    ----------
    lease : Lease or None
        The lease, or None if it is not held. It may have expired.
    """

    __slots__ = (
        '_broken',
        '_clock',
        '_holder',
        '_key',
        '_observed_at',
        '_observed_version',
        '_pending_writes',
        '_reclaims_own_lease',
        '_settle_seconds',
        '_store',
        '_timing',
        '_version',
        'lease',
        'name',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        name: str,
        holder: str,
        *,
        timing: _lease.LeaseTiming = _lease.DEFAULT_TIMING,
        clock: _lease.Clock = _lease.read_boot_clock,
        reclaims_own_lease: bool = False,
    ) -> None:
        self._store = store
        self._broken = objectstore.BrokenObjects()
        self._key = f'{LEASE_PREFIX}{name}'
        self._holder = holder
        self._reclaims_own_lease = reclaims_own_lease
        self._timing = timing
        self._clock = clock
        self._version = 0
        self._observed_version = 0
        self._observed_at = 0.0
        # Of the record that the lease was last acquired over.
        self._settle_seconds = 0.0
        # Writes whose outcome is not known, by nonce.
        self._pending_writes: dict[str, _PendingWrite] = {}
        self.name = name
        self.lease: _lease.Lease | None = None

    @property
    def version(self) -> int:
        """Return the version of the lease's object, or 0 if it is not held."""
        return self._version if self.lease is not None else 0

    def record_version(self, version: int) -> None:
        """Record a version of the lease's object that its holder reported.

        The TTL of another process's lease then counts from now, instead of
        from when this process first reads that version.
        """
        if version > self._observed_version:
            self._observed_version = version
            self._observed_at = self._clock()

    async def observe(self) -> None:
        """Read the lease's object, without acquiring the lease.

        Raises
        ------
        PlatformError
            If the store could not be reached, or holds no such object.
        """
        self.record_version((await self._store.read(self._key)).version)

    async def acquire(self, begin_term: bool = False) -> _lease.Lease:
        """Acquire the lease if it is free, or renew it if it is held here.

        Parameters
        ----------
        begin_term : bool
            Whether to acquire a lease that is held here anew, with a higher
            fencing token.

        Raises
        ------
        LeaseLost
            If another process holds the lease, or may still hold it.
        PlatformError
            If the store could not be reached, or its response was lost.
        """
        if self._pending_writes:
            await self._resolve_pending_writes()
        if self.lease is not None:
            fencing_token = 0 if begin_term else self.lease.fencing_token
            return await self._write(fencing_token, self._version)
        try:
            item = await self._store.read(self._key)
        except errors.ObjectMissing:
            return await self._write(0, 0)
        record = self._decode_record(item)
        if not self._is_available(item.version, record):
            raise errors.LeaseLost(
                f'lease {self.name} is held by {record.holder}', step='take'
            )
        self._settle_seconds = record.settle_seconds
        return await self._write(0, item.version)

    async def reclaim(self) -> _lease.Lease | None:
        """Acquire the lease if it was held by an earlier run of this process.

        Returns
        -------
        Lease or None
            None if the lease is free, or held under another name, or if the
            keeper may not reclaim its own lease.

        Raises
        ------
        LeaseLost
            If another process acquired the lease in the meantime.
        PlatformError
            If the store could not be reached, or its response was lost.
        """
        try:
            item = await self._store.read(self._key)
        except errors.ObjectMissing:
            return None
        record = self._decode_record(item)
        if not self._is_own(record):
            return None
        return await self._write(0, item.version)

    async def release(self, settle_seconds: float = 0.0) -> None:
        """Release the lease, so that the next holder need not wait.

        Parameters
        ----------
        settle_seconds : float
            For how long the next holder takes no action that must not follow
            closely on one of this holder.
        """
        if self.lease is None:
            return
        fencing_token = self.lease.fencing_token
        self.lease = None
        self._pending_writes.clear()
        record = _record.LeaseRecord(
            '', fencing_token, uuid.uuid4().hex, 0.0, settle_seconds
        )
        await self._store.update(
            self._key, msgspec.json.encode(record), self._version
        )

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            renewed = False
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                try:
                    await self.acquire()
                    renewed = True
                except errors.SwiftjunctionError as error:
                    LOG.debug('cannot acquire or renew the lease: %s', error)
            await anyio.sleep(
                self._timing.renew_interval_seconds
                if renewed
                else self._timing.retry_interval_seconds
            )

    def _decode_record(self, item: objectstore.Object) -> _record.LeaseRecord:
        return _record.decode_record(
            item, self._timing.ttl_seconds, self._broken
        )

    def _is_available(self, version: int, record: _record.LeaseRecord) -> bool:
        if not record.holder or self._is_own(record):
            return True
        return self._has_expired(version, record)

    def _is_own(self, record: _record.LeaseRecord) -> bool:
        return self._reclaims_own_lease and record.holder == self._holder

    def _has_expired(self, version: int, record: _record.LeaseRecord) -> bool:
        # A lease held elsewhere has expired once its object has stayed at one
        # version for the whole TTL on this VM's clock. Clocks of different VMs
        # are never compared.
        now = self._clock()
        if version != self._observed_version:
            self._observed_version = version
            self._observed_at = now
            return False
        waited_seconds = now - self._observed_at
        return waited_seconds > record.ttl_seconds * (
            1 + _lease.MAX_CLOCK_RATE_ERROR
        )

    async def _write(self, fencing_token: int, version: int) -> _lease.Lease:
        started_at = self._clock()
        record = _record.LeaseRecord(
            self._holder,
            fencing_token,
            uuid.uuid4().hex,
            self._timing.ttl_seconds,
        )
        value = msgspec.json.encode(record)
        # Recorded before it is sent, as a cancellation leaves its outcome
        # unknown.
        self._pending_writes[record.nonce] = _PendingWrite(started_at, version)
        try:
            if version == 0:
                new_version = await self._store.create(self._key, value)
            else:
                new_version = await self._store.update(
                    self._key, value, version
                )
        except errors.WriteUncertain as uncertain:
            try:
                await self._resolve_pending_writes()
            except errors.PlatformError as error:
                LOG.info('cannot read back lease %s: %s', self.name, error)
                raise uncertain from None
            if self.lease is None or record.nonce in self._pending_writes:
                raise
            return self.lease
        except (errors.RevisionConflict, errors.ObjectMissing) as error:
            del self._pending_writes[record.nonce]
            return await self._recover_from_conflict(error)
        except errors.PlatformUnavailable:
            del self._pending_writes[record.nonce]
            raise
        return self._record_write(
            new_version, fencing_token, started_at, version > 0
        )

    async def _recover_from_conflict(
        self, error: errors.PlatformError
    ) -> _lease.Lease:
        """Return the lease if the conflict came from an earlier own write.

        Raises
        ------
        LeaseLost
            If another holder acquired the lease.
        """
        if self._pending_writes:
            await self._resolve_pending_writes()
        else:
            self.lease = None
        if self.lease is None:
            raise errors.LeaseLost(
                f'lease {self.name} was acquired by another holder',
                step='take',
            ) from error
        return self.lease

    async def _resolve_pending_writes(self) -> None:
        """Read the object to find out which pending write took effect."""
        try:
            item = await self._store.read(self._key)
        except errors.ObjectMissing:
            # A pending creation may still take effect; creating the object
            # again shows whether it did.
            return
        record = self._decode_record(item)
        write = self._pending_writes.get(record.nonce)
        if write is not None:
            # Even a write that created the object counts as having a
            # predecessor, which at worst delays the first actions.
            self._record_write(
                item.version, record.fencing_token, write.started, True
            )
            return
        # A write that is conditional on an older version can no longer take
        # effect. A read that returns an older version rules out no write.
        self._pending_writes = {
            nonce: write
            for nonce, write in self._pending_writes.items()
            if write.version >= item.version
        }
        if item.version > self._version:
            self.lease = None

    def _record_write(
        self,
        version: int,
        fencing_token: int,
        started_at: float,
        has_predecessor: bool,
    ) -> _lease.Lease:
        """Update the lease after a write that took effect.

        Parameters
        ----------
        version : int
            The version of the object after the write.
        fencing_token : int
            The fencing token in the written record; 0 if it began a term.
        started_at : float
            The time just before the write was sent, in seconds on the
            keeper's clock.
        has_predecessor : bool
            Whether the lease may have had an earlier holder.
        """
        # All other pending writes are conditional on an older version, so
        # they can no longer take effect.
        self._pending_writes.clear()
        self._version = version
        fencing_token = fencing_token or version
        deadline = started_at + self._timing.ttl_seconds
        if (
            self.lease is not None
            and self.lease.fencing_token == fencing_token
        ):
            self.lease.extend(deadline, started_at)
        else:
            self.lease = _lease.Lease(
                self.name,
                fencing_token,
                deadline,
                self._clock,
                has_predecessor,
                self._timing.margin_seconds,
                self._settle_seconds,
            )
        return self.lease
