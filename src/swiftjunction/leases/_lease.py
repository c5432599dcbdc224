"""A lease held by conditional updates of one object."""

import collections.abc
import logging
import time
import uuid

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import platform

LOG = logging.getLogger(__name__)

LEASE_TTL_SECONDS = 10.0
LEASE_MARGIN_SECONDS = 2.0
RENEW_INTERVAL_SECONDS = 3.0
# How much faster than ours another VM's clock may run.
MAX_CLOCK_RATE_ERROR = 0.01

Clock = collections.abc.Callable[[], float]


class _Claim(msgspec.Struct):
    holder: str
    # The fencing token of this holder's term; it grows with each new holder.
    token: int
    # Unlike in every write, so that a lost answer can be told by reading.
    nonce: str
    ttl_seconds: float


class Lease:
    """One lease as its holder sees it.

    The deadline counts from *before* the write that renewed it was sent, on
    the monotonic clock, so it is never later than what others may assume.
    """

    __slots__ = ('_clock', '_deadline', 'name', 'token')

    def __init__(
        self, name: str, token: int, deadline: float, clock: Clock
    ) -> None:
        self.name = name
        self.token = token
        self._deadline = deadline
        self._clock = clock

    def remaining_seconds(self) -> float:
        """Return how long the lease may still be acted under."""
        return self._deadline - LEASE_MARGIN_SECONDS - self._clock()

    def check(self, needed_seconds: float = 0.0) -> None:
        """Raise ``LeaseLost`` unless `needed_seconds` remain.

        Called at the moment of acting, without a wait between.
        """
        if self.remaining_seconds() < needed_seconds:
            raise errors.LeaseLost(
                f'lease {self.name} has lapsed', step='check'
            )

    def extend(self, deadline: float) -> None:
        """Move the deadline after a renewal."""
        self._deadline = max(self._deadline, deadline)


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
    ttl_seconds : float
        How long a renewal holds.
    clock : callable
        A monotonic clock.
    """

    __slots__ = (
        '_clock',
        '_holder',
        '_key',
        '_seen',
        '_seen_at',
        '_store',
        '_ttl_seconds',
        '_version',
        'lease',
        'name',
    )

    def __init__(
        self,
        store: platform.ObjectStore,
        name: str,
        holder: str,
        *,
        ttl_seconds: float = LEASE_TTL_SECONDS,
        clock: Clock = time.monotonic,
    ) -> None:
        self._store = store
        self._key = f'leases/{name}'
        self._holder = holder
        self._ttl_seconds = ttl_seconds
        self._clock = clock
        self._version = 0
        self._seen = 0
        self._seen_at = 0.0
        self.name = name
        self.lease: Lease | None = None

    async def take(self) -> Lease:
        """Take the lease if it is free, or renew it if held here.

        Raises
        ------
        LeaseLost
            If another daemon holds it, or may still hold it.
        PlatformError
            If the platform could not be asked.
        """
        if self.lease is not None:
            try:
                return await self._renew(self.lease)
            except (errors.RevisionConflict, errors.ObjectMissing):
                self.lease = None
        try:
            found = await self._store.read(self._key)
        except errors.ObjectMissing:
            return await self._write(1, 0)
        claim = platform.decode_value(found, _Claim)
        if claim.holder and not self._has_lapsed(found.version, claim):
            raise errors.LeaseLost(
                f'lease {self.name} is held by {claim.holder}', step='take'
            )
        return await self._write(claim.token + 1, found.version)

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        if self.lease is None:
            return
        token = self.lease.token
        self.lease = None
        claim = _Claim('', token, uuid.uuid4().hex, 0.0)
        await platform.update_or_confirm(
            self._store, self._key, msgspec.json.encode(claim), self._version
        )

    def _has_lapsed(self, version: int, claim: _Claim) -> bool:
        # Another daemon's lease has lapsed when its object stayed at one
        # version for the whole term on *this* clock; wall clocks of two VMs
        # are never compared.
        now = self._clock()
        if version != self._seen:
            self._seen = version
            self._seen_at = now
            return False
        waited_seconds = now - self._seen_at
        return waited_seconds > claim.ttl_seconds * (1 + MAX_CLOCK_RATE_ERROR)

    async def _renew(self, lease: Lease) -> Lease:
        return await self._write(lease.token, self._version)

    async def _write(self, token: int, version: int) -> Lease:
        started = self._clock()
        claim = _Claim(
            self._holder, token, uuid.uuid4().hex, self._ttl_seconds
        )
        value = msgspec.json.encode(claim)
        try:
            if version == 0:
                self._version = await platform.create_or_confirm(
                    self._store, self._key, value
                )
            else:
                self._version = await platform.update_or_confirm(
                    self._store, self._key, value, version
                )
        except errors.RevisionConflict as error:
            if self.lease is not None:
                raise
            raise errors.LeaseLost(
                f'lease {self.name} was taken by another', step='take'
            ) from error
        deadline = started + self._ttl_seconds
        if self.lease is not None and self.lease.token == token:
            self.lease.extend(deadline)
        else:
            self.lease = Lease(self.name, token, deadline, self._clock)
        return self.lease

    async def run(self) -> None:
        """Keep the lease, or keep trying for it, until cancelled."""
        while True:
            try:
                await self.take()
            except errors.SwiftjunctionError as error:
                LOG.debug('lease not renewed: %s', error)
            await anyio.sleep(RENEW_INTERVAL_SECONDS)
