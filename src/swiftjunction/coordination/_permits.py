"""Permits for servers with a request limit, shared by all VMs.

The coordinator gives the permits of each limited server, one for each request.
Demand at any VM can thus use the whole limit, and a VM that ends holds none. A
VM that reaches no coordinator sends at an equal part of half the limit.
"""

import collections.abc
import math
import random
import time

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction.coordination import _members
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _peer
from swiftjunction import errors
from swiftjunction import web

PERMIT_TIMEOUT_SECONDS = 0.25
# How long to use the part of this VM after the coordinator gave no answer.
COORDINATOR_RETRY_SECONDS = 1.0
# Share of a limit that VMs without a coordinator use together, as others may
# reach it.
UNCOORDINATED_SHARE = 0.5
# How far ahead a permit may be reserved. Lower classes get what is left.
MAX_WAIT_SECONDS = {'live': 0.2, 'internal': 0.0, 'samples': 0.0}
# Bounds of the time after which another permit is requested.
MIN_BLOCK_SECONDS = 0.02
MAX_BLOCK_SECONDS = 1.0


class PermitCall(msgspec.Struct, frozen=True):
    """Request to the coordinator for a permit.

    Attributes
    ----------
    known : RateStatement
        What the sender knows of the server's limit.
    max_wait_seconds : float
        How far ahead the permit may be.
    """

    known: backends.RateStatement
    max_wait_seconds: float


class PermitReply(msgspec.Struct, frozen=True):
    """Response to :class:`PermitCall`, with what the coordinator knows."""

    permit: backends.Permit
    known: backends.RateStatement


class SharedPermits(backends.PermitSource):
    """Gives permits as the coordinator, and requests them from it.

    Parameters
    ----------
    rates : ServerRates
        The limits that servers named.
    members : MemberTable
        Finds the coordinator.
    peers : PeerClients
        HTTP clients for the peers.
    is_coordinator : callable
        Returns whether this VM coordinates under a valid lease.
    rng : random.Random
        Spreads what VMs without a coordinator send.
    clock : callable
        Returns monotonic time in seconds; the clock of `rates`.
    """

    __slots__ = (
        '_buckets',
        '_clock',
        '_coordinator_retry_at',
        '_is_coordinator',
        '_members',
        '_own_buckets',
        '_peers',
        '_rates',
    )

    def __init__(
        self,
        rates: backends.ServerRates,
        members: _members.MemberTable,
        peers: web.PeerClients,
        is_coordinator: collections.abc.Callable[[], bool],
        rng: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._rates = rates
        self._members = members
        self._peers = peers
        self._is_coordinator = is_coordinator
        self._clock = clock
        # Those of all VMs, and those of this VM without a coordinator.
        self._buckets = backends.PermitBuckets(clock)
        self._own_buckets = backends.PermitBuckets(clock, rng)
        self._coordinator_retry_at = -math.inf

    async def acquire(
        self,
        server: backends.BackendServer,
        request_class: str,
        max_wait_seconds: float = math.inf,
    ) -> None:
        run = server.run
        if self._rates.get(run) == backends.UNLIMITED:
            return
        wait_seconds = min(MAX_WAIT_SECONDS[request_class], max_wait_seconds)
        permit = await self._request(run, max(wait_seconds, 0.0))
        if permit.granted:
            await anyio.sleep(permit.wait_seconds)
            return
        blocked_seconds = min(
            max(permit.wait_seconds, MIN_BLOCK_SECONDS), MAX_BLOCK_SECONDS
        )
        self._rates.block(run, blocked_seconds)
        raise errors.RateLimited(
            f'the server takes {self._rates.get(run):g} requests a second',
            step='route',
            peer=server.name,
            retry_after_seconds=blocked_seconds,
        )

    async def _request(
        self, run: tuple[str, int], max_wait_seconds: float
    ) -> backends.Permit:
        call = PermitCall(self._rates.describe(run), max_wait_seconds)
        if self._is_coordinator():
            return self.grant(call).permit
        reply = await self._call_coordinator(call)
        if reply is not None:
            self._rates.merge(reply.known)
            self._own_buckets.forget(run)
            return reply.permit
        vm_count = len(self._members.list_peers()) + 1
        return self._own_buckets.take(
            run,
            self._rates.get(run) * UNCOORDINATED_SHARE / vm_count,
            max_wait_seconds,
        )

    async def _call_coordinator(self, call: PermitCall) -> PermitReply | None:
        coordinator = self._members.find_reachable_coordinator()
        if coordinator is None or self._clock() < self._coordinator_retry_at:
            return None
        client = _peer.PeerClient(self._peers, coordinator.address)
        try:
            return await client.call(
                _messages.PERMIT_PATH,
                call,
                PermitReply,
                PERMIT_TIMEOUT_SECONDS,
            )
        except errors.PlatformError:
            self._coordinator_retry_at = (
                self._clock() + COORDINATOR_RETRY_SECONDS
            )
            return None

    def grant(self, call: PermitCall) -> PermitReply:
        """Answer the request of a VM, or of this one, for a permit.

        Raises
        ------
        PlatformUnavailable
            If this VM does not coordinate.
        """
        if not self._is_coordinator():
            raise errors.PlatformUnavailable(
                'this VM does not coordinate', step='permit'
            )
        run = call.known.run
        self._rates.merge(call.known)
        requests_per_second = self._rates.get(run)
        permit = backends.Permit(True)
        if requests_per_second != backends.UNLIMITED:
            permit = self._buckets.take(
                run, requests_per_second, call.max_wait_seconds
            )
        return PermitReply(permit, self._rates.describe(run))
