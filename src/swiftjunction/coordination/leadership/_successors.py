"""Checks what peers state of a newer coordinator against the store."""

import logging
import math

import anyio

from swiftjunction.coordination import _members
from swiftjunction import leases

LOG = logging.getLogger(__name__)

SUCCESSOR_CHECK_INTERVAL_SECONDS = 0.1
CONFIRMATION_CHECK_INTERVAL_SECONDS = 0.02


class SuccessorCheck:
    """Tells a coordinator whether a stated higher fencing token is true.

    Until a renewal has shown who holds the lease, the lease is in doubt, and
    nothing is ordered under it.

    Parameters
    ----------
    members : MemberTable
        Holds what peers state.
    """

    __slots__ = ('_failed_at', '_members')

    def __init__(self, members: _members.MemberTable) -> None:
        self._members = members
        # When the last renewal that failed was sent, on the lease's clock.
        self._failed_at = -math.inf

    def record_failure(self, asked_at: float) -> None:
        """Record that a renewal failed that was sent at `asked_at`."""
        self._failed_at = asked_at

    async def wait_until_replaced(self, lease: leases.Lease) -> None:
        """Return once a newer coordinator is known that may be true.

        A VM that cannot reach the store, or is slow, learns so from its peers
        much earlier than from a renewal. Where a renewal shows another holder,
        the caller learns so from it.
        """
        self._record_own(lease)
        while True:
            await anyio.sleep(SUCCESSOR_CHECK_INTERVAL_SECONDS)
            name, fencing_token = self._members.claims.highest_stated
            if fencing_token <= lease.fencing_token:
                continue
            if not await self._confirm(lease):
                LOG.warning(
                    "lost the coordinator's lease: %s holds it now",
                    name,
                    extra={'fencing_token': fencing_token},
                )
                return
            LOG.warning(
                'ignoring a stated coordinator, as the store shows that this '
                'VM holds the lease: %s',
                name,
                extra={'fencing_token': fencing_token},
            )
            self._members.claims.refute(fencing_token)
            self._record_own(lease)

    def _record_own(self, lease: leases.Lease) -> None:
        self._members.claims.record(
            self._members.own.name,
            lease.fencing_token,
            lease.remaining_seconds(),
        )

    async def _confirm(self, lease: leases.Lease) -> bool:
        """Return whether a renewal that is sent now extends the lease.

        Once the lease has expired, there may well be a successor. It counts
        without the store, as does one whose lease cannot be checked.
        """
        lease.record_refusal()
        doubted_at = lease.read_clock()
        while lease.is_doubted():
            if lease.remaining_seconds() <= 0:
                return False
            if self._failed_at >= doubted_at:
                return False
            await anyio.sleep(CONFIRMATION_CHECK_INTERVAL_SECONDS)
        return True
