"""Takes and renews a lease by conditional updates of one object."""

import logging
import uuid

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction.leases import _lease
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

LEASE_PREFIX = 'leases/'


class LeaseRecord(msgspec.Struct):
    """The value of a lease's object."""

    holder: str
    # The fencing token of this holder's term: the version of the object at
    # which the term began, and 0 in that first write itself. Versions are
    # revisions of the whole store, so tokens grow over all leases.
    token: int
    # Unlike in every write, so that a lost answer can be told by reading.
    nonce: str
    ttl_seconds: float


class _Write(msgspec.Struct, frozen=True):
    # Before it was sent, on the keeper's clock.
    started: float
    # The version that it is conditional on.
    version: int


class LeaseKeeper:
    """Takes, renews and gives back one lease.

    Parameters
    ----------
    store : ObjectStore
        Where the lease object lives.
    name : str
        The lease; its object is ``leases/{name}``.
    holder : str
        This daemon.
    timing : LeaseTiming
        A renewal that hangs is given up in time for a second try: interval,
        timeout and the longest action are within the term less its margin.
    clock : callable
        A clock that only goes forward.
    reclaims_own_lease : bool
        Whether no two processes ever run under the same `holder`: then one
        that restarts need not wait for the lease of its earlier run.
    """

    __slots__ = (
        '_clock',
        '_holder',
        '_key',
        '_reclaims_own_lease',
        '_seen',
        '_seen_at',
        '_store',
        '_timing',
        '_unresolved',
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
        self._key = f'{LEASE_PREFIX}{name}'
        self._holder = holder
        self._reclaims_own_lease = reclaims_own_lease
        self._timing = timing
        self._clock = clock
        self._version = 0
        self._seen = 0
        self._seen_at = 0.0
        # The writes whose end is not known, by their nonces.
        self._unresolved: dict[str, _Write] = {}
        self.name = name
        self.lease: _lease.Lease | None = None

    @property
    def version(self) -> int:
        """Return the version of the object that holds the lease here."""
        return self._version if self.lease is not None else 0

    def record_version(self, version: int) -> None:
        """Learn from its holder at which version the lease's object is.

        The time that another daemon's lease needs to lapse then counts from
        now, rather than from when it is first read here.
        """
        if version > self._seen:
            self._seen = version
            self._seen_at = self._clock()

    async def acquire(self) -> _lease.Lease:
        """Take the lease if it is free, or renew it if held here.

        Raises
        ------
        LeaseLost
            If another daemon holds it, or may still hold it.
        PlatformError
            If the platform could not be asked, or its answer was lost.
        """
        if self._unresolved:
            await self._resolve()
        if self.lease is not None:
            return await self._write(self.lease.token, self._version)
        try:
            found = await self._store.read(self._key)
        except errors.ObjectMissing:
            return await self._write(0, 0)
        claim = objectstore.decode_value(found, LeaseRecord)
        if not self._is_free(found.version, claim):
            raise errors.LeaseLost(
                f'lease {self.name} is held by {claim.holder}', step='take'
            )
        return await self._write(0, found.version)

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        if self.lease is None:
            return
        token = self.lease.token
        self.lease = None
        self._unresolved.clear()
        claim = LeaseRecord('', token, uuid.uuid4().hex, 0.0)
        await self._store.update(
            self._key, msgspec.json.encode(claim), self._version
        )

    async def run(self) -> None:
        """Keep the lease, or keep trying for it, until cancelled."""
        while True:
            renewed = False
            with anyio.move_on_after(self._timing.renew_timeout_seconds):
                try:
                    await self.acquire()
                    renewed = True
                except errors.SwiftjunctionError as error:
                    LOG.debug('lease not renewed: %s', error)
            await anyio.sleep(
                self._timing.renew_interval_seconds
                if renewed
                else self._timing.retry_interval_seconds
            )

    def _is_free(self, version: int, claim: LeaseRecord) -> bool:
        if not claim.holder or (
            self._reclaims_own_lease and claim.holder == self._holder
        ):
            return True
        return self._has_lapsed(version, claim)

    def _has_lapsed(self, version: int, claim: LeaseRecord) -> bool:
        # Another daemon's lease has lapsed when its object stayed at one
        # version for the whole term on *this* clock; wall clocks of two VMs
        # are never compared.
        now = self._clock()
        if version != self._seen:
            self._seen = version
            self._seen_at = now
            return False
        waited_seconds = now - self._seen_at
        return waited_seconds > claim.ttl_seconds * (
            1 + _lease.MAX_CLOCK_RATE_ERROR
        )

    async def _write(self, token: int, version: int) -> _lease.Lease:
        started = self._clock()
        claim = LeaseRecord(
            self._holder, token, uuid.uuid4().hex, self._timing.ttl_seconds
        )
        value = msgspec.json.encode(claim)
        # Noted before it is sent, as a cancellation leaves its end unknown.
        self._unresolved[claim.nonce] = _Write(started, version)
        try:
            if version == 0:
                made = await self._store.create(self._key, value)
            else:
                made = await self._store.update(self._key, value, version)
        except errors.WriteUncertain:
            await self._resolve()
            if self.lease is None or claim.nonce in self._unresolved:
                raise
            return self.lease
        except (errors.RevisionConflict, errors.ObjectMissing) as error:
            del self._unresolved[claim.nonce]
            return await self._find_own(error)
        except errors.PlatformUnavailable:
            del self._unresolved[claim.nonce]
            raise
        return self._adopt(made, token, started, version > 0)

    async def _find_own(self, error: errors.PlatformError) -> _lease.Lease:
        """Return the lease where an own earlier write made the conflict."""
        if self._unresolved:
            await self._resolve()
        else:
            self.lease = None
        if self.lease is None:
            raise errors.LeaseLost(
                f'lease {self.name} was taken by another', step='take'
            ) from error
        return self.lease

    async def _resolve(self) -> None:
        """Find out by reading whether a write whose end is unknown landed."""
        try:
            found = await self._store.read(self._key)
        except errors.ObjectMissing:
            # The creation that was lost may still land; creating again
            # settles it.
            return
        claim = objectstore.decode_value(found, LeaseRecord)
        write = self._unresolved.get(claim.nonce)
        if write is not None:
            self._adopt(found.version, claim.token, write.started, True)
            return
        # A write that was conditional on an older version can never land any
        # more. A stale read shows an older version still, and settles nothing.
        self._unresolved = {
            nonce: write
            for nonce, write in self._unresolved.items()
            if write.version >= found.version
        }
        if found.version > self._version:
            self.lease = None

    def _adopt(
        self, version: int, token: int, started: float, succeeds: bool
    ) -> _lease.Lease:
        """Note that the write begun at `started` made `version`."""
        # Every other write under way was conditional on an older version.
        self._unresolved.clear()
        self._version = version
        token = token or version
        deadline = started + self._timing.ttl_seconds
        if self.lease is not None and self.lease.token == token:
            self.lease.extend(deadline)
        else:
            self.lease = _lease.Lease(
                self.name,
                token,
                deadline,
                self._clock,
                succeeds,
                self._timing.margin_seconds,
            )
        return self.lease
