"""Shares the origins of streams between VMs.

The VM that opens a stream has two peers record its origin before the first
event is relayed, so that the origin outlives the VM. The peers are chosen by
the id of the stream, so that any VM knows whom to ask.
"""

import bisect
import collections.abc
import logging
import random

import anyio
import msgspec
import xxhash

from swiftjunction.coordination import _datagrams
from swiftjunction.coordination import _members
from swiftjunction.coordination import _statuses
from swiftjunction.coordination.records import _stored_origins
from swiftjunction import requests

LOG = logging.getLogger(__name__)

# Peers that record an origin, besides the VM that opened the stream.
REPLICA_COUNT = 2
# Peers that are asked for an origin: more than record it, as VMs may differ in
# which peers they take to be reachable.
ASKED_COUNT = 10
# Time to wait for a confirmation, for each time that a record is sent. The
# first event is late by the sum at most.
RECORD_TIMEOUTS_SECONDS = (0.025, 0.035)
# Time to wait for answers, for each time that peers are asked.
QUERY_TIMEOUTS_SECONDS = (0.1, 0.15)
MAX_LIFETIME_SECONDS = 3600.0
# Leaves room to count on.
CALL_NUMBER_BITS = 48


class OriginRecord(msgspec.Struct, frozen=True, tag='origin-record'):
    """Datagram that asks a peer to record an origin.

    Attributes
    ----------
    call_number : int
        The sender's number of the call; the confirmation repeats it.
    """

    call_number: int
    request_id: str
    origin: requests.StreamOrigin
    lifetime_seconds: float


class OriginConfirmation(msgspec.Struct, frozen=True, tag='origin-recorded'):
    """Datagram that confirms an :class:`OriginRecord`."""

    call_number: int


class OriginQuery(msgspec.Struct, frozen=True, tag='origin-query'):
    """Datagram that asks a peer for an origin."""

    call_number: int
    request_id: str


class OriginAnswer(msgspec.Struct, frozen=True, tag='origin-answer'):
    """Datagram that answers an :class:`OriginQuery`.

    Attributes
    ----------
    origin : StreamOrigin or None
        None if the peer does not have it.
    """

    call_number: int
    origin: requests.StreamOrigin | None


class _Call:
    """A call to several peers, of which one answer is enough.

    Attributes
    ----------
    unanswered : set of str
        The addresses of the peers that have not answered.
    ended : Event
        Set when one has given the answer, or all have answered.
    origin : StreamOrigin or None
        The answer, of a query.
    """

    __slots__ = ('ended', 'origin', 'unanswered')

    def __init__(self, peers: list[_statuses.Member]) -> None:
        self.unanswered = {peer.address for peer in peers}
        self.ended = anyio.Event()
        self.origin: requests.StreamOrigin | None = None

    def record_answer(
        self, sender: str, origin: requests.StreamOrigin | None
    ) -> None:
        self.unanswered.discard(sender)
        self.origin = self.origin or origin
        if self.origin is not None or not self.unanswered:
            self.ended.set()


class SharedOrigins(requests.OriginRegistry):
    """Registry of this VM and its peers.

    Parameters
    ----------
    members : MemberTable
        The peers.
    archive : OriginArchive, optional
        Keeps what this VM records while it is down.
    """

    __slots__ = (
        '_archive',
        '_call_number',
        '_calls',
        '_datagrams',
        '_members',
        '_ring',
        '_table',
    )

    def __init__(
        self,
        members: _members.MemberTable,
        archive: _stored_origins.OriginArchive | None = None,
    ) -> None:
        self._members = members
        self._archive = archive
        self._table = requests.OriginTable()
        self._ring = _Ring(frozenset())
        self._datagrams: _datagrams.PeerDatagrams | None = None
        # Of no call before a restart, to which a peer may answer only now.
        self._call_number = random.getrandbits(CALL_NUMBER_BITS)
        self._calls: dict[int, _Call] = {}

    def connect(self, datagrams: _datagrams.PeerDatagrams) -> None:
        """Send and receive messages over `datagrams` from now on."""
        self._datagrams = datagrams
        datagrams.listen(OriginRecord, self._handle_record)
        datagrams.listen(OriginConfirmation, self._handle_confirmation)
        datagrams.listen(OriginQuery, self._handle_query)
        datagrams.listen(OriginAnswer, self._handle_answer)

    def is_loaded(self) -> bool:
        """Return whether all is known that this VM has recorded."""
        return self._archive is None or self._archive.is_loaded

    async def run(self) -> None:
        """Keep what is recorded, until cancelled."""
        if self._archive is not None:
            await self._archive.run(self._table.add)

    def _add(
        self,
        request_id: str,
        origin: requests.StreamOrigin,
        lifetime_seconds: float,
    ) -> None:
        self._table.add(request_id, origin, lifetime_seconds)
        if (
            self._archive is not None
            and 0 < len(request_id) <= requests.MAX_REQUEST_ID_CHARS
        ):
            self._archive.add(request_id, origin, lifetime_seconds)

    async def record(
        self,
        request_id: str,
        origin: requests.StreamOrigin,
        lifetime_seconds: float,
    ) -> None:
        if len(request_id) > requests.MAX_REQUEST_ID_CHARS:
            return
        self._add(request_id, origin, lifetime_seconds)
        peers = self._select_replicas(request_id)
        if not peers:
            return
        number, call = self._begin_call(peers)
        message = OriginRecord(number, request_id, origin, lifetime_seconds)
        try:
            await self._send(message, call, peers, RECORD_TIMEOUTS_SECONDS)
        finally:
            del self._calls[number]
        if not call.ended.is_set():
            LOG.info('no peer has confirmed the origin of a stream')

    async def find(self, request_id: str) -> requests.StreamOrigin | None:
        origin = self._table.get(request_id)
        if origin is not None or not self._is_valid_id(request_id):
            return origin
        peers = list(self._iter_peers(request_id))[:ASKED_COUNT]
        if not peers:
            return None
        number, call = self._begin_call(peers)
        message = OriginQuery(number, request_id)
        try:
            await self._send(message, call, peers, QUERY_TIMEOUTS_SECONDS)
        finally:
            del self._calls[number]
        return call.origin

    def _is_valid_id(self, request_id: str) -> bool:
        return 0 < len(request_id) <= requests.MAX_REQUEST_ID_CHARS

    def _begin_call(self, peers: list[_statuses.Member]) -> tuple[int, _Call]:
        self._call_number += 1
        call = self._calls[self._call_number] = _Call(peers)
        return self._call_number, call

    async def _send(
        self,
        message: msgspec.Struct,
        call: _Call,
        peers: list[_statuses.Member],
        timeouts_seconds: collections.abc.Iterable[float],
    ) -> None:
        """Send a message until the call has ended, or time is up."""
        assert self._datagrams is not None
        for timeout_seconds in timeouts_seconds:
            for peer in peers:
                if peer.address not in call.unanswered:
                    continue
                try:
                    await self._datagrams.send(message, peer.address)
                except ValueError:
                    call.record_answer(peer.address, None)
            with anyio.move_on_after(timeout_seconds):
                await call.ended.wait()
                return

    async def _handle_record(self, message: OriginRecord, sender: str) -> None:
        self._add(
            message.request_id,
            message.origin,
            min(message.lifetime_seconds, MAX_LIFETIME_SECONDS),
        )
        await self._reply(OriginConfirmation(message.call_number), sender)

    async def _handle_confirmation(
        self, message: OriginConfirmation, sender: str
    ) -> None:
        call = self._calls.get(message.call_number)
        if call is not None:
            call.ended.set()

    async def _handle_query(self, message: OriginQuery, sender: str) -> None:
        if not self.is_loaded():
            # It may have it; its sender asks others, too.
            return
        origin = self._table.get(message.request_id)
        await self._reply(OriginAnswer(message.call_number, origin), sender)

    async def _handle_answer(self, message: OriginAnswer, sender: str) -> None:
        call = self._calls.get(message.call_number)
        if call is not None:
            call.record_answer(sender, message.origin)

    async def _reply(self, message: msgspec.Struct, sender: str) -> None:
        assert self._datagrams is not None
        await self._datagrams.send(message, sender)

    def _select_replicas(self, request_id: str) -> list[_statuses.Member]:
        """Return the peers that record an origin.

        The first ones for the id, but one of another data centre if there is
        one, so that the origin outlives a data centre.
        """
        peers = list(self._iter_peers(request_id))
        own = self._members.own
        remote = [p for p in peers if p.data_center != own.data_center][:1]
        others = [p for p in peers if p not in remote]
        return [*remote, *others][:REPLICA_COUNT]

    def _iter_peers(
        self, request_id: str
    ) -> collections.abc.Iterator[_statuses.Member]:
        """Yield the peers that may be reachable, the first for the id first.

        VMs with the same members have the same order.
        """
        peers = {peer.name: peer for peer in self._members.list_peers()}
        names = frozenset(peers) | {self._members.own.name}
        if names != self._ring.names:
            self._ring = _Ring(names)
        for name in self._ring.list_after(request_id):
            if name in peers and not self._members.is_unreachable(name):
                yield peers[name]


class _Ring:
    """The members in the order of the hashes of their names."""

    __slots__ = ('_hashes', '_ordered', 'names')

    def __init__(self, names: frozenset[str]) -> None:
        self.names = names
        self._ordered = sorted(names, key=_hash)
        self._hashes = [_hash(name) for name in self._ordered]

    def list_after(self, key: str) -> list[str]:
        """Return all members, those after the hash of a key first."""
        index = bisect.bisect(self._hashes, _hash(key))
        return self._ordered[index:] + self._ordered[:index]


def _hash(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
