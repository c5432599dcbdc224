"""Membership of the VMs of a deployment, and the status of each one."""

import collections.abc
import logging
import random
import time

import msgspec

from swiftjunction.coordination import _claims
from swiftjunction.coordination import _statuses
from swiftjunction.coordination import _view
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

# Maximum number of VM addresses given to a caller.
MAX_CALLER_ADDRESSES = 64
# Two, so that a single unanswered poll does not make a VM unreachable.
UNREACHABLE_AFTER_FAILURES = 2
# Older statuses are ignored.
MAX_STATUS_AGE_SECONDS = 3.0
# The entry of a VM that has been unreachable for longer is deleted; a VM that
# is still alive registers again.
ENTRY_EXPIRY_SECONDS = 600.0
# In a large deployment, a VM that starts receives the statuses of others
# within this time, before it may try to become the coordinator.
CONVERGENCE_SECONDS = 0.6


class _ReceivedStatus(msgspec.Struct, frozen=True):
    """A peer's status, and when it arrived on the table's clock."""

    status: _statuses.MemberStatus
    at: float


def _is_unreachable(failures: int) -> bool:
    return failures >= UNREACHABLE_AFTER_FAILURES


class MemberTable:
    """All registered VMs, and the latest status of each peer that answered.

    Parameters
    ----------
    own : _statuses.Member
        The entry of this VM.
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random
        Chooses the peers that are polled in a large deployment.

    Attributes
    ----------
    claims : CoordinatorClaims
        What this VM and its peers state of the coordinator.
    """

    __slots__ = (
        '_broken',
        '_clock',
        '_failures',
        '_members',
        '_ranking',
        '_registered_at',
        '_statuses',
        '_unreachable_since',
        '_poll_selector',
        'claims',
        'own',
    )

    def __init__(
        self,
        own: _statuses.Member,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.own = own
        self._clock = clock
        self._members: dict[str, _statuses.Member] = {own.name: own}
        # All VMs by rank; computed on demand, empty after a change.
        self._ranking: list[str] = []
        self._broken = objectstore.BrokenObjects()
        self._statuses: dict[str, _ReceivedStatus] = {}
        self._failures: dict[str, int] = {}
        self._unreachable_since: dict[str, float] = {}
        self._poll_selector = _view.PollSelector(
            own.name, rng or random.Random()
        )
        self._registered_at: float | None = None
        self.claims = _claims.CoordinatorClaims(clock)

    def apply_entry(self, found: objectstore.Object) -> None:
        """Add or update a VM from its entry in the object store.

        If the entry is invalid, a VM that is known stays so by its last valid
        one: peers poll it, so that they notice when it is gone.
        """
        try:
            member = _statuses.decode_member(found)
        except errors.ObjectBroken as error:
            if self._broken.add(found):
                LOG.warning('ignoring an invalid member entry: %s', error)
            return
        if member.name == self.own.name:
            self._registered_at = self._registered_at or self._clock()
            return
        known = self._members.get(member.name)
        if known is not None and known.run != member.run:
            LOG.info(
                'the process of a peer was started anew',
                extra={'peer': member.name, 'run': member.run},
            )
        if known is None or known.run != member.run:
            self._failures.pop(member.name, None)
            self._statuses.pop(member.name, None)
            self.claims.withdraw(member.name)
        self._members[member.name] = member
        if known is None or known.processor_cores != member.processor_cores:
            self._ranking.clear()

    def remove_entry(self, key: str) -> None:
        """Remove a VM whose entry was deleted from the object store."""
        name = key.removeprefix(_statuses.MEMBER_PREFIX)
        if name == self.own.name:
            self._registered_at = None
        elif name in self._members:
            del self._members[name]
            self.claims.withdraw(name)
            self._unreachable_since.pop(name, None)
            self._statuses.pop(name, None)
            self._failures.pop(name, None)
            self._ranking.clear()

    def _rank_members(self) -> list[str]:
        """Return all VMs, those with the most processor time first.

        The coordinator relays every event of every sample, which can take
        more processor time than a small VM has.
        """
        if not self._ranking:
            self._ranking = sorted(
                membership.rank_owners('coordinator', self._members),
                key=lambda name: self._members[name].processor_cores,
                reverse=True,
            )
        return self._ranking

    def is_registered(self) -> bool:
        """Return whether this VM's entry was seen and not deleted since."""
        return self._registered_at is not None

    def list_expired(self) -> list[str]:
        """Return the VMs unreachable for longer than ENTRY_EXPIRY_SECONDS."""
        oldest = self._clock() - ENTRY_EXPIRY_SECONDS
        return [
            name
            for name, since in self._unreachable_since.items()
            if since < oldest
        ]

    def has_converged(self) -> bool:
        """Return whether this VM has had time to learn of a coordinator."""
        if self._registered_at is None:
            return False
        return (
            _view.is_full_mesh(len(self._members))
            or self._clock() - self._registered_at > CONVERGENCE_SECONDS
        )

    def select_peers(self) -> list[_statuses.Member]:
        """Return the peers to poll in this round."""
        unreachable = {
            name for name in self._failures if self.is_unreachable(name)
        }
        selected = self._poll_selector.select(
            self._rank_members(), unreachable, self.newest_coordinator[0]
        )
        return [self._members[n] for n in selected if n in self._members]

    def record_status(self, status: _statuses.MemberStatus) -> None:
        """Record the status with which a peer answered."""
        if _is_unreachable(self._failures.pop(status.name, 0)):
            LOG.info('peer is reachable again', extra={'peer': status.name})
        self._statuses[status.name] = _ReceivedStatus(status, self._clock())
        self._unreachable_since.pop(status.name, None)
        if not status.fencing_token or status.lease_seconds <= 0:
            self.claims.withdraw(status.name)
        self.claims.record(
            status.name, status.fencing_token, status.lease_seconds
        )
        self.claims.record(
            status.coordinator,
            status.coordinator_token,
            status.coordinator_lease_seconds,
        )

    def record_coordinator(self, name: str, fencing_token: int) -> None:
        """Record who coordinates, without knowing whether it still does."""
        self.claims.record(name, fencing_token)

    @property
    def newest_coordinator(self) -> tuple[str, int]:
        """Return the name and token of the newest coordinator claimed."""
        return self.claims.newest

    def record_failure(self, name: str, unsent: bool) -> None:
        """Record that a peer did not answer a poll.

        Parameters
        ----------
        unsent : bool
            Whether the peer cannot have received the poll, as when it refused
            the connection; it then counts as unreachable at once.
        """
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + (
            UNREACHABLE_AFTER_FAILURES if unsent else 1
        )
        if not _is_unreachable(failures) and _is_unreachable(
            self._failures[name]
        ):
            self._unreachable_since[name] = self._clock()
            LOG.warning(
                'peer is unreachable', extra={'peer': name, 'refused': unsent}
            )

    def list_peers(self) -> list[_statuses.Member]:
        """Return all registered VMs except this one."""
        return [m for m in self._members.values() if m is not self.own]

    def list_statuses(
        self,
    ) -> collections.abc.Iterator[_statuses.MemberStatus]:
        """Yield the recent statuses of reachable peers."""
        oldest = self._clock() - MAX_STATUS_AGE_SECONDS
        for name, received in self._statuses.items():
            if received.at > oldest and not self.is_unreachable(name):
                yield received.status

    def is_unreachable(self, name: str) -> bool:
        """Return whether the last polls of a peer were not answered."""
        return _is_unreachable(self._failures.get(name, 0))

    def find(self, name: str) -> _statuses.Member | None:
        """Return the entry of a VM, or None if it is not registered."""
        return self._members.get(name)

    def find_reachable_coordinator(self) -> _statuses.Member | None:
        """Return the reachable peer that coordinates, or None.

        Its lease may have expired. Of several, the one with the highest
        fencing token is returned.
        """
        coordinating = [s for s in self.list_statuses() if s.fencing_token]
        if not coordinating:
            return None
        newest = max(coordinating, key=lambda status: status.fencing_token)
        return self._members.get(newest.name)

    def has_valid_coordinator(self) -> bool:
        """Return whether a reachable peer coordinates under a valid lease."""
        return any(
            status.fencing_token and status.lease_seconds > 0
            for status in self.list_statuses()
        )

    def find_lease_version(self) -> int:
        """Return the newest lease version that a peer reported, or 0.

        Reports of peers that have become unreachable count as well.
        """
        versions = [r.status.lease_version for r in self._statuses.values()]
        return max(versions, default=0)

    def list_relays(self) -> list[_statuses.Member]:
        """Return the reachable peers that reach the object store directly."""
        return [
            self._members[status.name]
            for status in self.list_statuses()
            if status.reaches_store and status.name in self._members
        ]

    def list_tunnels(self, service: str) -> list[_statuses.Tunnel]:
        """Return the peers that may reach a service and serve tunnels."""
        return [
            _statuses.Tunnel(member, f'{member.host}:{status.tunnel_port}')
            for status in self.list_statuses()
            for member in [self._members.get(status.name)]
            if member is not None
            and status.tunnel_port
            and status.state == 'live'
            and service not in status.cut_off
        ]

    def list_duty_tunnels(
        self, services: collections.abc.Collection[str]
    ) -> list[_statuses.Tunnel]:
        """Return the peers that may reach all services, by their rank."""
        reaching = [
            {t.member.name: t for t in self.list_tunnels(service)}
            for service in services
        ]
        if not reaching:
            return []
        return [
            reaching[0][name]
            for name in self._rank_members()
            if all(name in tunnels for tunnels in reaching)
        ]

    def list_caller_addresses(
        self, own_state: str, is_cut_off: bool = False
    ) -> list[str]:
        """Return the addresses of live VMs for callers, this VM's first.

        VMs that reach no server of some service are left out, unless they are
        more than half of all. In a large deployment, the others are this VM
        and the peers that it chose at random, if any of them is live, so that
        callers spread over all VMs.

        Parameters
        ----------
        own_state : str
            State of this VM.
        is_cut_off : bool
            Whether this VM reaches no server of some service.
        """
        live = {
            status.name: bool(status.cut_off)
            for status in self.list_statuses()
            if status.state == 'live' and status.name in self._members
        }
        random_peers = [
            name for name in live if name in self._poll_selector.random_peers
        ]
        listed = {name: live[name] for name in random_peers or live}
        if own_state == 'live':
            listed = {self.own.name: is_cut_off, **listed}
        reaching = [name for name, is_cut in listed.items() if not is_cut]
        if 2 * len(reaching) < len(listed):
            reaching = list(listed)
        addresses = [self._members[name].front for name in reaching]
        return addresses[:MAX_CALLER_ADDRESSES]

    def find_rank(self, skip_cut_off: bool = False) -> int:
        """Return this VM's rank among the candidates for coordinator.

        It is the number of candidates that precede this VM.

        In a large deployment, peers that were not polled count as candidates.

        Parameters
        ----------
        skip_cut_off : bool
            Whether VMs that reach no server of some service do not count.
        """
        ranking = self._rank_members()
        preceding = ranking[: ranking.index(self.own.name)]
        if not preceding:
            return 0
        live = {
            status.name
            for status in self.list_statuses()
            if status.state == 'live' and not (skip_cut_off and status.cut_off)
        }
        if _view.is_full_mesh(len(self._members)):
            return len(live.intersection(preceding))
        polled = self._failures.keys() | self._statuses.keys()
        return sum(
            1 for name in preceding if name in live or name not in polled
        )

    def is_seed(self) -> bool:
        """Return whether this VM is a seed, which many peers poll."""
        return self.find_rank() < _view.count_seeds(len(self._members))

    def summarize(self) -> dict[str, object]:
        """Return the members and their statuses, for the state dump."""
        name, fencing_token = self.newest_coordinator
        return {
            'rank': self.find_rank(),
            'coordinator': name,
            'coordinator_token': fencing_token,
            'members': sorted(self._members),
            'reached': {
                status.name: status for status in self.list_statuses()
            },
        }
