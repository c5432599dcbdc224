"""Spreads records between daemons: changes at once, comparisons repair."""

import collections.abc
import logging
import random
import time

import anyio

from swiftjunction import links
from swiftjunction.membership import _records

LOG = logging.getLogger(__name__)

COMPARE_INTERVAL_SECONDS = 2.0
FIRST_CATCH_UP_SECONDS = 0.5
MAX_CATCH_UP_SECONDS = 8.0
FLUSH_INTERVAL_SECONDS = 0.05
RECENT_SECONDS = 2 * _records.QUIET_SECONDS
# As many as fit into one message of a few hundred kilobytes.
RECORDS_PER_DELTA = 500
# Of a few tens of kilobytes; the next comparison goes on with the rest.
MARKS_PER_DIGEST = 1000
# About what a datagram holds, so that most changes go as datagrams.
SMALL_DELTA_BYTES = links.MAX_DATAGRAM_BYTES - 100


class Replicator:
    """Keeps one daemon's records in step with those of the others.

    A change is posted to the neighbours in the relay tree, which pass it on.
    Now and then the hashes of all buckets are sent to some other daemon,
    which answers where they differ; so a lost message, a dead relay or a cut
    is repaired whichever way the records lack.

    Parameters
    ----------
    transport : MessageTransport
        Takes messages to others.
    table : RecordTable
        The records to keep in step.
    rng : random.Random
        Chooses whom to compare with.
    clock : callable
        Returns seconds of a monotonic clock.
    """

    __slots__ = (
        '_transport',
        '_caught_up',
        '_changed',
        '_clock',
        '_contacts',
        '_note_ack',
        '_peers',
        '_recent',
        '_rng',
        '_source',
        '_table',
        '_unsent',
    )

    def __init__(
        self,
        transport: links.MessageTransport,
        table: _records.RecordTable,
        rng: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        # What comparisons pass over, as it changed a moment ago.
        self._recent: dict[str, tuple[links.Record, float]] = {}
        self._transport = transport
        self._table = table
        self._rng = rng
        self._peers: set[str] = set()
        self._contacts: list[str] = []
        # Of each record not passed on yet, the address that it came from.
        self._unsent: dict[str, tuple[links.Record, str]] = {}
        self._source = ''
        self._caught_up = False
        self._changed = anyio.Event()
        self._note_ack: collections.abc.Callable[[links.Ack], None] = (
            lambda ack: None
        )
        table.listen('', self._note_change)

    def set_ack_listener(
        self, note_ack: collections.abc.Callable[[links.Ack], None]
    ) -> None:
        """Call `note_ack` with each answer to a probe."""
        self._note_ack = note_ack

    def set_relay_peers(self, addresses: set[str]) -> None:
        """Pass changes on to exactly the peers at `addresses`."""
        wanted = addresses - {self._transport.address}
        # A new neighbour may lack what was passed on before it was one: its
        # relay died, and that is why it is a neighbour now.
        for address in wanted - self._peers:
            self._send_records(self._list_recent(), address)
            self._post_compare(address)
        self._peers = wanted

    def set_sync_peers(self, addresses: set[str]) -> None:
        """Compare records with those at `addresses` from time to time."""
        self._contacts = sorted(addresses - {self._transport.address})

    def _list_recent(self) -> list[links.Record]:
        self._forget_old()
        return [record for record, _ in self._recent.values()]

    def _forget_old(self) -> None:
        limit = self._clock() - RECENT_SECONDS
        # The oldest come first.
        while self._recent:
            key, (_, changed_at) = next(iter(self._recent.items()))
            if changed_at >= limit:
                break
            del self._recent[key]

    def list_relay_peers(self) -> list[str]:
        """Return the addresses that changes are passed on to."""
        return sorted(self._peers)

    async def run(self) -> None:
        """Exchange records until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush_often)
            tasks.start_soon(self._compare_often)

    def handle(self, message: links.Message) -> None:
        """Take in one message."""
        match message:
            case links.Delta():
                self._apply(message)
            case links.Compare():
                self._answer_compare(message)
            case links.Digest():
                self._answer_digest(message)
            case links.Ping():
                ack = links.Ack(self._transport.address, message.origin)
                self._transport.post(ack, message.sender)
            case links.PingRequest():
                ping = links.Ping(self._transport.address, message.sender)
                self._transport.post(ping, message.target)
            case links.Ack():
                self._pass_ack(message)

    def flush(self) -> None:
        """Pass on what changed since the last time."""
        unsent = list(self._unsent.values())
        self._unsent.clear()
        self._forget_old()
        for peer in self._peers:
            self._send_records(
                [record for record, source in unsent if source != peer], peer
            )

    def compare(self) -> None:
        """Send the hashes of all buckets to one contact."""
        if self._contacts:
            self._post_compare(self._rng.choice(self._contacts))

    def catch_up(self) -> None:
        """Ask one contact for all that this daemon lacks."""
        if self._contacts:
            digest = self._digest([], ask=True)
            self._transport.post(digest, self._rng.choice(self._contacts))

    def _post_compare(self, address: str) -> None:
        compare = links.Compare(
            self._transport.address, self._table.hash_buckets()
        )
        self._transport.post(compare, address)

    def _note_change(self, record: links.Record) -> None:
        self._unsent[record.key] = (record, self._source)
        self._recent.pop(record.key, None)
        self._recent[record.key] = (record, self._clock())
        self._changed.set()

    def _apply(self, delta: links.Delta) -> None:
        self._caught_up = True
        self._source = delta.sender
        self._table.apply(delta.records)
        self._source = ''

    async def _flush_often(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            self.flush()
            # Whatever changes meanwhile goes out together.
            await anyio.sleep(FLUSH_INTERVAL_SECONDS)

    async def _compare_often(self) -> None:
        pause_seconds = FIRST_CATCH_UP_SECONDS
        while not self._caught_up:
            self.catch_up()
            # When all start at once, a few of them are asked by everyone.
            await anyio.sleep(pause_seconds * self._rng.uniform(0.5, 1))
            pause_seconds = min(pause_seconds * 2, MAX_CATCH_UP_SECONDS)
        while True:
            await anyio.sleep(
                COMPARE_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2)
            )
            self.compare()

    def _answer_compare(self, compare: links.Compare) -> None:
        if len(compare.hashes) != len(self._table.hash_buckets()):
            LOG.warning('hashes of another release from %s', compare.sender)
            return
        differing = self._table.find_differing_buckets(compare.hashes)
        if differing:
            self._rng.shuffle(differing)
            count = max(
                1,
                MARKS_PER_DIGEST * _records.BUCKETS // (len(self._table) + 1),
            )
            digest = self._digest(differing[:count], ask=True)
            self._transport.post(digest, compare.sender)

    def _answer_digest(self, digest: links.Digest) -> None:
        if not all(0 <= b < _records.BUCKETS for b in digest.buckets):
            LOG.warning('buckets of another release from %s', digest.sender)
            return
        buckets = digest.buckets or list(range(_records.BUCKETS))
        missing = self._table.select_newer(digest.marks, buckets)
        self._send_records(missing, digest.sender)
        if digest.ask and self._table.is_behind(digest.marks):
            self._transport.post(
                self._digest(buckets, ask=False), digest.sender
            )
        elif digest.ask and not missing:
            # An empty delta says that the sender has all there is here.
            self._transport.post(
                links.Delta(self._transport.address, []), digest.sender
            )

    def _digest(self, buckets: list[int], *, ask: bool) -> links.Digest:
        covered = buckets or list(range(_records.BUCKETS))
        return links.Digest(
            self._transport.address,
            buckets,
            self._table.list_marks(covered),
            ask,
        )

    def _pass_ack(self, ack: links.Ack) -> None:
        if ack.origin and ack.origin != self._transport.address:
            self._transport.post(ack, ack.origin)
        else:
            self._note_ack(ack)

    def _send_records(self, records: list[links.Record], peer: str) -> None:
        batch: list[links.Record] = []
        size = 0
        for record in records:
            length = len(record.key) + len(record.value) + 16
            # A few small records go as one datagram; many go over a link.
            full = len(records) < 20 and size + length > SMALL_DELTA_BYTES
            if batch and (full or len(batch) == RECORDS_PER_DELTA):
                self._transport.post(
                    links.Delta(self._transport.address, batch), peer
                )
                batch, size = [], 0
            batch.append(record)
            size += length
        if batch:
            self._transport.post(
                links.Delta(self._transport.address, batch), peer
            )
