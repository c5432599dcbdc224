"""The VMs of this system: what each says of itself, and who is reached."""

import collections.abc
import logging
import random
import time

import msgspec

from swiftjunction.coordination import _view
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

MEMBER_PREFIX = 'members/'
# Callers are given at most so many addresses.
MAX_ADDRESSES = 64
# A VM that does not answer is asked once more before it is passed over.
LOST_AFTER_FAILURES = 2
# What a VM said of itself holds for so long.
STATUS_SECONDS = 3.0
# The entry of a VM that has not answered for so long is removed; if it lives,
# it enters itself again.
GONE_AFTER_SECONDS = 600.0
# In a large deployment, a VM that starts hears of the others within this
# time, before it tries to coordinate.
SETTLE_SECONDS = 0.6


class Member(msgspec.Struct, frozen=True):
    """One VM, as it has entered itself on the object store.

    Attributes
    ----------
    address : str
        ``ip:port`` for its peers.
    front : str
        ``ip:port`` for callers.
    run : str
        Unlike that of every other start.
    """

    name: str
    address: str
    front: str
    data_center: str
    region: str
    run: str


class MemberStatus(msgspec.Struct, frozen=True):
    """What a VM answers to its peers.

    Attributes
    ----------
    state : str
        ``starting``, ``live`` or ``draining``.
    fencing_token : int
        Of the lease under which it coordinates; 0 where it does not.
    lease_seconds : float
        How long that lease still holds.
    lease_version : int
        Of the object that holds the lease.
    reaches_store : bool
        Whether it reaches the object store by itself.
    revisions : dict of str to int
        Of each prefix, up to which revision it knows the objects.
    ages : dict of str to float
        For each prefix, how many seconds ago all its changes were known to
        this VM, or to one that it takes them from.
    coordinator : str
        The VM of the highest fencing token that it heard of.
    coordinator_token : int
        That fencing token; 0 where it heard of none.
    """

    name: str
    run: str
    state: str
    fencing_token: int = 0
    lease_seconds: float = 0.0
    lease_version: int = 0
    reaches_store: bool = False
    revisions: dict[str, int] = {}
    ages: dict[str, float] = {}
    coordinator: str = ''
    coordinator_token: int = 0


class _Heard(msgspec.Struct, frozen=True):
    status: MemberStatus
    at: float


def _is_lost(failures: int) -> bool:
    return failures >= LOST_AFTER_FAILURES


class MemberTable:
    """All VMs that are known, and what those that are reached have answered.

    Parameters
    ----------
    own : Member
        This VM.
    clock : callable
        Returns seconds of a monotonic clock.
    rng : random.Random
        Draws the peers that are asked in a large deployment.
    """

    __slots__ = (
        '_clock',
        '_coordinator',
        '_entered_at',
        '_failures',
        '_heard',
        '_lost_at',
        '_members',
        '_order',
        '_view',
        'own',
    )

    def __init__(
        self,
        own: Member,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.own = own
        self._clock = clock
        self._members: dict[str, Member] = {own.name: own}
        # All VMs by their ranks; empty until it is needed.
        self._order: list[str] = []
        self._heard: dict[str, _Heard] = {}
        self._failures: dict[str, int] = {}
        self._lost_at: dict[str, float] = {}
        self._view = _view.PeerView(own.name, rng or random.Random())
        self._entered_at: float | None = None
        self._coordinator = ('', 0)

    def apply_entry(self, found: objectstore.Object) -> None:
        """Take the entry of a VM from the object store."""
        try:
            member = objectstore.decode_value(found, Member)
        except errors.ObjectBroken as error:
            LOG.warning('member not understood: %s', error)
            return
        if member.name == self.own.name:
            self._entered_at = self._entered_at or self._clock()
            return
        held = self._members.get(member.name)
        if held is None or held.run != member.run:
            self._failures.pop(member.name, None)
            self._heard.pop(member.name, None)
        self._members[member.name] = member
        if held is None:
            self._order.clear()

    def remove_entry(self, key: str) -> None:
        """Drop a VM whose entry is gone."""
        name = key.removeprefix(MEMBER_PREFIX)
        if name == self.own.name:
            self._entered_at = None
        elif name in self._members:
            del self._members[name]
            self._lost_at.pop(name, None)
            self._heard.pop(name, None)
            self._failures.pop(name, None)
            self._order.clear()

    def _list_ranked(self) -> list[str]:
        if not self._order:
            self._order = membership.rank_owners('coordinator', self._members)
        return self._order

    def is_registered(self) -> bool:
        """Tell whether this VM's entry was seen, and not removed since."""
        return self._entered_at is not None

    def list_expired(self) -> list[str]:
        """Return the VMs that have not answered for so long that they go."""
        oldest = self._clock() - GONE_AFTER_SECONDS
        return [name for name, at in self._lost_at.items() if at < oldest]

    def has_converged(self) -> bool:
        """Tell whether this VM can know if another one coordinates."""
        if self._entered_at is None:
            return False
        return (
            _view.is_small(len(self._members))
            or self._clock() - self._entered_at > SETTLE_SECONDS
        )

    def choose_peers(self) -> list[Member]:
        """Return the peers to ask now."""
        lost = {
            n for n, failures in self._failures.items() if _is_lost(failures)
        }
        chosen = self._view.choose(
            self._list_ranked(), lost, self._coordinator[0]
        )
        return [self._members[n] for n in chosen if n in self._members]

    def record_status(self, status: MemberStatus) -> None:
        """Take the answer of a VM."""
        if _is_lost(self._failures.pop(status.name, 0)):
            LOG.info('peer reached again', extra={'peer': status.name})
        self._heard[status.name] = _Heard(status, self._clock())
        self._lost_at.pop(status.name, None)
        self.record_coordinator(status.coordinator, status.coordinator_token)
        self.record_coordinator(status.name, status.fencing_token)

    def record_coordinator(self, name: str, fencing_token: int) -> None:
        """Learn who coordinates under a fencing token."""
        if fencing_token > self._coordinator[1]:
            self._coordinator = (name, fencing_token)

    @property
    def coordinator(self) -> tuple[str, int]:
        """Return who is said to coordinate, and the fencing token."""
        return self._coordinator

    def record_failure(self, name: str, refused: bool) -> None:
        """Take note that a VM gave no answer, or refused the connection."""
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + (
            LOST_AFTER_FAILURES if refused else 1
        )
        if not _is_lost(failures) and _is_lost(self._failures[name]):
            self._lost_at[name] = self._clock()
            LOG.warning('peer lost', extra={'peer': name, 'refused': refused})

    def list_peers(self) -> list[Member]:
        """Return all VMs but this one."""
        return [m for m in self._members.values() if m is not self.own]

    def list_statuses(self) -> collections.abc.Iterator[MemberStatus]:
        """Yield the statuses of the peers that answer."""
        for status, _ in self.list_timed_statuses():
            yield status

    def list_timed_statuses(
        self,
    ) -> collections.abc.Iterator[tuple[MemberStatus, float]]:
        """Yield the statuses of the peers that answer, and when they came."""
        oldest = self._clock() - STATUS_SECONDS
        for name, heard in self._heard.items():
            if heard.at > oldest and not _is_lost(self._failures.get(name, 0)):
                yield heard.status, heard.at

    def find(self, name: str) -> Member | None:
        """Return a VM, if it is known."""
        return self._members.get(name)

    def find_coordinator(self) -> Member | None:
        """Return the peer that coordinates, if one is reached."""
        holding = [s for s in self.list_statuses() if s.fencing_token]
        if not holding:
            return None
        newest = max(holding, key=lambda status: status.fencing_token)
        return self._members.get(newest.name)

    def has_coordinator(self) -> bool:
        """Tell whether a peer is reached that coordinates under a lease."""
        return any(
            status.fencing_token and status.lease_seconds > 0
            for status in self.list_statuses()
        )

    def find_lease_version(self) -> int:
        """Return the newest version of the lease that a peer told; 0 if none.

        Also of one that is not reached any more.
        """
        versions = [h.status.lease_version for h in self._heard.values()]
        return max(versions, default=0)

    def list_relays(self) -> list[Member]:
        """Return the peers that reach the object store."""
        return [
            self._members[status.name]
            for status in self.list_statuses()
            if status.reaches_store and status.name in self._members
        ]

    def list_fronts(self, own_state: str) -> list[str]:
        """Return the addresses that callers may use, the own one first.

        In a large deployment each VM names others, which it drew; so callers
        are spread over all of them.
        """
        fronts = [self.own.front] if own_state == 'live' else []
        live = [
            status.name
            for status in self.list_statuses()
            if status.state == 'live' and status.name in self._members
        ]
        drawn = [name for name in live if name in self._view.others]
        fronts += [self._members[name].front for name in drawn or live]
        return fronts[:MAX_ADDRESSES]

    def find_rank(self) -> int:
        """Return this VM's place among those that may coordinate next.

        Peers that are not asked count as live.
        """
        ranked = self._list_ranked()
        before = ranked[: ranked.index(self.own.name)]
        if not before:
            return 0
        live = {s.name for s in self.list_statuses() if s.state == 'live'}
        if _view.is_small(len(self._members)):
            return len(live.intersection(before))
        away = self._failures.keys() | self._heard.keys()
        return sum(1 for name in before if name in live or name not in away)

    def is_seed(self) -> bool:
        """Tell whether this VM is among the first that others ask."""
        return self.find_rank() < _view.count_seeds(len(self._members))

    def summarize(self) -> dict[str, object]:
        """Return who is known and who answers, for a dump."""
        name, token = self._coordinator
        return {
            'rank': self.find_rank(),
            'coordinator': name,
            'coordinator_token': token,
            'members': sorted(self._members),
            'reached': {
                status.name: status for status in self.list_statuses()
            },
        }


def encode_member(member: Member) -> bytes:
    """Return the value of a VM's entry."""
    return msgspec.json.encode(member)
