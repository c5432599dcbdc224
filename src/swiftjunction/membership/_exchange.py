"""Replicates records between daemons.

Each change is sent to the neighbours in the relay tree at once. Periodic
comparisons of bucket hashes (anti-entropy) repair what was lost.
"""

import collections.abc
import logging
import random
import time

import anyio

from swiftjunction import links
from swiftjunction.membership import _records

LOG = logging.getLogger(__name__)

COMPARE_INTERVAL_SECONDS = 2.0
FIRST_CATCH_UP_DELAY_SECONDS = 0.5
MAX_CATCH_UP_DELAY_SECONDS = 8.0
FLUSH_INTERVAL_SECONDS = 0.05
RECENT_CHANGE_SECONDS = 2 * _records.BUCKET_STABLE_SECONDS
# Keeps a message at a few hundred kilobytes.
RECORDS_PER_DELTA = 500
# Keeps a digest at a few tens of kilobytes; later comparisons cover the rest.
MARKS_PER_DIGEST = 1000
# Leaves room for the message header, so that most changes fit in a datagram.
SMALL_DELTA_BYTES = links.MAX_DATAGRAM_BYTES - 100


class Replicator:
    """Replicates the records of this daemon to and from the others.

    A change is sent to the neighbours in the relay tree, which relay it.
    Periodically, the hashes of all buckets are sent to a random daemon, which
    replies with a digest of the buckets that differ. This repairs lost
    messages, dead relays and network partitions, whichever side is behind.

    Parameters
    ----------
    transport : MessageTransport
        Sends messages to other daemons.
    table : RecordTable
        The records to replicate.
    rng : random.Random
        Selects the daemon to compare with.
    clock : callable
        Returns the monotonic time in seconds.
    """

    __slots__ = (
        '_changed',
        '_clock',
        '_current_sender',
        '_has_received_delta',
        '_on_ack',
        '_pending',
        '_recent_changes',
        '_relay_peers',
        '_rng',
        '_comparison_peers',
        '_table',
        '_transport',
    )

    def __init__(
        self,
        transport: links.MessageTransport,
        table: _records.RecordTable,
        rng: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        # Comparisons skip buckets that changed recently, so these changes are
        # sent to each new relay peer.
        self._recent_changes: dict[str, tuple[links.Record, float]] = {}
        self._transport = transport
        self._table = table
        self._rng = rng
        self._relay_peers: set[str] = set()
        self._comparison_peers: list[str] = []
        # The records that have not been relayed yet, each with the address of
        # its sender; empty for a change of this daemon.
        self._pending: dict[str, tuple[links.Record, str]] = {}
        self._current_sender = ''
        self._has_received_delta = False
        self._changed = anyio.Event()
        self._on_ack: collections.abc.Callable[[links.Ack], None] = (
            lambda ack: None
        )
        table.listen('', self._record_change)

    def set_ack_listener(
        self, on_ack: collections.abc.Callable[[links.Ack], None]
    ) -> None:
        """Call `on_ack` with each acknowledgement of a probe."""
        self._on_ack = on_ack

    def set_relay_peers(self, addresses: set[str]) -> None:
        """Relay changes to the peers at `addresses` and to no others."""
        wanted = addresses - {self._transport.address}
        # A daemon often becomes a neighbour because its previous relay died,
        # so it may lack changes that were relayed before.
        for address in wanted - self._relay_peers:
            self._send_records(self._list_recent_changes(), address)
            self._send_compare(address)
        self._relay_peers = wanted

    def set_comparison_peers(self, addresses: set[str]) -> None:
        """Compare records periodically with the daemons at `addresses`."""
        self._comparison_peers = sorted(addresses - {self._transport.address})

    def _list_recent_changes(self) -> list[links.Record]:
        self._drop_old_changes()
        return [record for record, _ in self._recent_changes.values()]

    def _drop_old_changes(self) -> None:
        oldest_kept = self._clock() - RECENT_CHANGE_SECONDS
        # Ordered by the time of the change, oldest first.
        while self._recent_changes:
            key, (_, changed_at) = next(iter(self._recent_changes.items()))
            if changed_at >= oldest_kept:
                break
            del self._recent_changes[key]

    def list_relay_peers(self) -> list[str]:
        """Return the addresses that changes are relayed to."""
        return sorted(self._relay_peers)

    async def run(self) -> None:
        """Replicate records until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush_on_change)
            tasks.start_soon(self._compare_periodically)

    def handle(self, message: links.Message) -> None:
        """Handle one message from another daemon."""
        match message:
            case links.Delta():
                self._apply_delta(message)
            case links.Compare():
                self._handle_compare(message)
            case links.Digest():
                self._handle_digest(message)
            case links.Ping():
                ack = links.Ack(self._transport.address, message.origin)
                self._transport.post(ack, message.sender)
            case links.PingRequest():
                ping = links.Ping(self._transport.address, message.sender)
                self._transport.post(ping, message.target)
            case links.Ack():
                self._forward_ack(message)

    def flush(self) -> None:
        """Send all changes since the last flush to the relay peers."""
        pending = list(self._pending.values())
        self._pending.clear()
        self._drop_old_changes()
        for peer in self._relay_peers:
            self._send_records(
                [record for record, sender in pending if sender != peer], peer
            )

    def compare(self) -> None:
        """Send the hashes of all buckets to one random daemon."""
        if self._comparison_peers:
            self._send_compare(self._rng.choice(self._comparison_peers))

    def catch_up(self) -> None:
        """Ask one random daemon for all records that this one lacks."""
        if self._comparison_peers:
            digest = self._make_digest([], ask=True)
            self._transport.post(
                digest, self._rng.choice(self._comparison_peers)
            )

    def _send_compare(self, address: str) -> None:
        compare = links.Compare(
            self._transport.address, self._table.hash_buckets()
        )
        self._transport.post(compare, address)

    def _record_change(self, record: links.Record) -> None:
        self._pending[record.key] = (record, self._current_sender)
        self._recent_changes.pop(record.key, None)
        self._recent_changes[record.key] = (record, self._clock())
        self._changed.set()

    def _apply_delta(self, delta: links.Delta) -> None:
        self._has_received_delta = True
        self._current_sender = delta.sender
        self._table.apply(delta.records)
        self._current_sender = ''

    async def _flush_on_change(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            self.flush()
            # Changes during this delay are sent together.
            await anyio.sleep(FLUSH_INTERVAL_SECONDS)

    async def _compare_periodically(self) -> None:
        delay_seconds = FIRST_CATCH_UP_DELAY_SECONDS
        while not self._has_received_delta:
            self.catch_up()
            # When all daemons start at once, they all ask the same few. The
            # growing random delay spreads these requests.
            await anyio.sleep(delay_seconds * self._rng.uniform(0.5, 1))
            delay_seconds = min(delay_seconds * 2, MAX_CATCH_UP_DELAY_SECONDS)
        while True:
            await anyio.sleep(
                COMPARE_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2)
            )
            self.compare()

    def _handle_compare(self, compare: links.Compare) -> None:
        if len(compare.hashes) != len(self._table.hash_buckets()):
            LOG.warning(
                'ignoring bucket hashes of an incompatible release from %s',
                compare.sender,
            )
            return
        differing = self._table.find_differing_buckets(compare.hashes)
        if differing:
            self._rng.shuffle(differing)
            max_buckets = max(
                1,
                MARKS_PER_DIGEST
                * _records.BUCKET_COUNT
                // (len(self._table) + 1),
            )
            digest = self._make_digest(differing[:max_buckets], ask=True)
            self._transport.post(digest, compare.sender)

    def _handle_digest(self, digest: links.Digest) -> None:
        if not all(0 <= b < _records.BUCKET_COUNT for b in digest.buckets):
            LOG.warning(
                'ignoring a digest of an incompatible release from %s',
                digest.sender,
            )
            return
        buckets = digest.buckets or list(range(_records.BUCKET_COUNT))
        missing = self._table.select_newer(digest.marks, buckets)
        self._send_records(missing, digest.sender)
        if digest.ask and self._table.is_behind(digest.marks):
            self._transport.post(
                self._make_digest(buckets, ask=False), digest.sender
            )
        elif digest.ask and not missing:
            # An empty delta tells the sender that it lacks nothing, which
            # ends its catch-up.
            self._transport.post(
                links.Delta(self._transport.address, []), digest.sender
            )

    def _make_digest(self, buckets: list[int], *, ask: bool) -> links.Digest:
        covered = buckets or list(range(_records.BUCKET_COUNT))
        return links.Digest(
            self._transport.address,
            buckets,
            self._table.list_marks(covered),
            ask,
        )

    def _forward_ack(self, ack: links.Ack) -> None:
        if ack.origin and ack.origin != self._transport.address:
            self._transport.post(ack, ack.origin)
        else:
            self._on_ack(ack)

    def _send_records(self, records: list[links.Record], peer: str) -> None:
        batch: list[links.Record] = []
        size_bytes = 0
        for record in records:
            # Includes 16 bytes for the version and the encoding.
            length = len(record.key) + len(record.value) + 16
            # Few records are split into datagrams. Many are sent in large
            # deltas, which the transport sends over a connection.
            exceeds_datagram = (
                len(records) < 20 and size_bytes + length > SMALL_DELTA_BYTES
            )
            if batch and (exceeds_datagram or len(batch) == RECORDS_PER_DELTA):
                self._transport.post(
                    links.Delta(self._transport.address, batch), peer
                )
                batch, size_bytes = [], 0
            batch.append(record)
            size_bytes += length
        if batch:
            self._transport.post(
                links.Delta(self._transport.address, batch), peer
            )
