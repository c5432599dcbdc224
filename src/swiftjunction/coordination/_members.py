"""The VMs of this system: what each says of itself, and who is reached."""

import collections.abc
import logging

import msgspec

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

MEMBER_PREFIX = 'members/'
# Callers are given at most so many addresses.
MAX_ADDRESSES = 64
# A VM that does not answer is asked once more before it is passed over.
LOST_AFTER_FAILURES = 2


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
    watches : list of str
        The prefixes that it watches on the object store, and misses nothing.
    """

    name: str
    run: str
    state: str
    fencing_token: int = 0
    lease_seconds: float = 0.0
    lease_version: int = 0
    reaches_store: bool = False
    revisions: dict[str, int] = {}
    watches: list[str] = []


class MemberBook:
    """All VMs that are known, and what those that are reached have answered.

    Parameters
    ----------
    own : Member
        This VM.
    """

    __slots__ = ('_failures', '_members', '_statuses', 'own')

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._statuses: dict[str, MemberStatus] = {}
        self._failures: dict[str, int] = {}

    def learn(self, found: objectstore.Object) -> None:
        """Take the entry of a VM from the object store."""
        try:
            member = objectstore.decode_value(found, Member)
        except errors.ObjectBroken as error:
            LOG.warning('member not understood: %s', error)
            return
        if member.name == self.own.name:
            return
        held = self._members.get(member.name)
        if held is None or held.run != member.run:
            self._failures.pop(member.name, None)
            self._statuses.pop(member.name, None)
        self._members[member.name] = member

    def forget(self, key: str) -> None:
        """Drop a VM whose entry is gone."""
        name = key.removeprefix(MEMBER_PREFIX)
        if name != self.own.name:
            self._members.pop(name, None)
            self._statuses.pop(name, None)

    def note_status(self, status: MemberStatus) -> None:
        """Take the answer of a VM."""
        if self._failures.pop(status.name, 0) >= LOST_AFTER_FAILURES:
            LOG.info('peer reached again', extra={'peer': status.name})
        self._statuses[status.name] = status

    def note_silence(self, name: str, refused: bool) -> None:
        """Take note that a VM gave no answer, or refused the connection."""
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + (
            LOST_AFTER_FAILURES if refused else 1
        )
        if failures < LOST_AFTER_FAILURES <= self._failures[name]:
            LOG.warning('peer lost', extra={'peer': name, 'refused': refused})

    def list_peers(self) -> list[Member]:
        """Return all VMs but this one."""
        return [m for m in self._members.values() if m is not self.own]

    def list_reached(self) -> collections.abc.Iterator[MemberStatus]:
        """Yield the statuses of the peers that answer."""
        for name, status in self._statuses.items():
            if self._failures.get(name, 0) < LOST_AFTER_FAILURES:
                yield status

    def find(self, name: str) -> Member | None:
        """Return a VM, if it is known."""
        return self._members.get(name)

    def find_coordinator(self) -> Member | None:
        """Return the peer that coordinates, if one is reached."""
        holding = [s for s in self.list_reached() if s.fencing_token]
        if not holding:
            return None
        newest = max(holding, key=lambda status: status.fencing_token)
        return self._members.get(newest.name)

    def has_coordinator(self) -> bool:
        """Tell whether a peer is reached that coordinates under a lease."""
        return any(
            status.fencing_token and status.lease_seconds > 0
            for status in self.list_reached()
        )

    def find_lease_version(self) -> int:
        """Return the newest version of the lease that a peer told; 0 if none.

        Also of one that is not reached any more.
        """
        versions = [s.lease_version for s in self._statuses.values()]
        return max(versions, default=0)

    def list_relays(self) -> list[Member]:
        """Return the peers that reach the object store."""
        return [
            self._members[status.name]
            for status in self.list_reached()
            if status.reaches_store and status.name in self._members
        ]

    def list_fronts(self, own_state: str) -> list[str]:
        """Return the addresses that callers may use, the own one first."""
        fronts = [self.own.front] if own_state == 'live' else []
        fronts += [
            self._members[status.name].front
            for status in self.list_reached()
            if status.state == 'live' and status.name in self._members
        ]
        return fronts[:MAX_ADDRESSES]

    def find_rank(self) -> int:
        """Return this VM's place among those that may coordinate next."""
        live = [s.name for s in self.list_reached() if s.state == 'live']
        ordered = membership.rank_owners('coordinator', [self.own.name, *live])
        return ordered.index(self.own.name)


def encode(member: Member) -> bytes:
    """Return the value of a VM's entry."""
    return msgspec.json.encode(member)
