"""Tells the coordinator the counts of this VM, until it has them."""

import abc
import logging
import math
import random

import anyio
import msgspec
import xxhash

from swiftjunction import coordination
from swiftjunction.usage import _counter
from swiftjunction.usage import _messages
from swiftjunction.usage import _windows

LOG = logging.getLogger(__name__)

# Changes within this time after a message go into the next one.
TELL_INTERVAL_SECONDS = 0.25
# How long to wait for a change before looking for something else to tell.
IDLE_INTERVAL_SECONDS = 0.5
# Keeps a message within one packet.
MAX_ENTRIES = 32
MAX_MESSAGES_PER_ROUND = 8
# Messages whose receipt is awaited.
MAX_AWAITED = 64
# Without a receipt for so long, messages also go through a peer.
RELAY_AFTER_SECONDS = 1.0
# VMs say at different times that a window has ended.
SPREAD_SECONDS = 0.5
MAX_HASH = 2**64


class UsageCollector(abc.ABC):
    """Takes the counts of VMs while this VM is the coordinator."""

    __slots__ = ()

    @abc.abstractmethod
    def receive(
        self, message: _messages.UsageCounts
    ) -> _messages.UsageReceipt | None:
        """Record counts; return None if this VM is not the coordinator."""


class UsageExchange:
    """Sends the counts of this VM, and passes on what peers sent.

    Parameters
    ----------
    counter : UsageCounter
        The counts of this VM.
    windows : Windows
        Tells which windows have ended.
    members : MemberTable
        Finds the coordinator and the peers.
    collector : UsageCollector
        Takes the counts if this VM is the coordinator.
    rng : random.Random
        Chooses the peers that pass messages on.
    """

    __slots__ = (
        '_awaited',
        '_changed',
        '_collector',
        '_counter',
        '_datagrams',
        '_members',
        '_number',
        '_rng',
        '_spread_seconds',
        '_token',
        '_told_through',
        '_unanswered_since',
        '_windows',
    )

    def __init__(
        self,
        counter: _counter.UsageCounter,
        windows: _windows.Windows,
        members: coordination.MemberTable,
        collector: UsageCollector,
        rng: random.Random,
    ) -> None:
        self._counter = counter
        self._windows = windows
        self._members = members
        self._collector = collector
        self._rng = rng
        self._datagrams: coordination.PeerDatagrams | None = None
        self._changed = anyio.Event()
        counter.listen(self._wake)
        self._number = 0
        # The fencing token of the newest coordinator that is known, and the
        # last window that it has confirmed.
        self._token = 0
        self._told_through = -1
        self._awaited: dict[int, _messages.UsageCounts] = {}
        self._unanswered_since = math.inf
        digest = xxhash.xxh3_64_intdigest(members.own.name.encode())
        self._spread_seconds = digest / MAX_HASH * SPREAD_SECONDS

    def connect(self, datagrams: coordination.PeerDatagrams) -> None:
        """Send and receive messages over `datagrams` from now on."""
        self._datagrams = datagrams
        datagrams.listen(_messages.UsageCounts, self._handle_counts)
        datagrams.listen(_messages.UsageReceipt, self._handle_receipt)

    async def run(self) -> None:
        """Tell each change, until cancelled."""
        while True:
            with anyio.move_on_after(IDLE_INTERVAL_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()
            await self.tell()
            await anyio.sleep(TELL_INTERVAL_SECONDS)
            if self._counter.list_untold():
                self._wake()

    def _wake(self) -> None:
        self._changed.set()

    async def tell(self) -> None:
        """Send what the coordinator lacks, once."""
        # Windows that are too old are forgotten also without a receipt.
        self._counter.forget_fixed(-1)
        self._note_token(self._members.newest_coordinator[1])
        for message in self._build_messages():
            self._awaited[message.number] = message
            while len(self._awaited) > MAX_AWAITED:
                del self._awaited[next(iter(self._awaited))]
            receipt = self._collector.receive(message)
            if receipt is not None:
                self._record_receipt(receipt)
            else:
                await self._send(message)

    def _note_token(self, token: int) -> None:
        """Learn of a coordinator; another one has been told nothing.

        The token is also lower if the one before turns out to be wrong.
        """
        if token != self._token:
            self._token = token
            self._told_through = -1
            self._counter.forget_received()
            self._awaited.clear()

    def _build_messages(self) -> list[_messages.UsageCounts]:
        untold = self._counter.list_untold()
        complete = self._find_complete()
        if not untold and complete <= self._told_through:
            return []
        messages = []
        starts = range(0, max(len(untold), 1), MAX_ENTRIES)
        for start in starts[:MAX_MESSAGES_PER_ROUND]:
            end = start + MAX_ENTRIES
            told_through = complete
            if end < len(untold):
                told_through = min(complete, untold[end].window - 1)
            self._number += 1
            messages.append(
                _messages.UsageCounts(
                    self._members.own.name,
                    self._members.own.run,
                    self._number,
                    untold[start:end],
                    self._token,
                    told_through,
                )
            )
        return messages

    def _find_complete(self) -> int:
        complete = self._counter.find_complete()
        if self._windows.compute_age(complete) < self._spread_seconds:
            return complete - 1
        return complete

    async def _send(self, message: _messages.UsageCounts) -> None:
        now = anyio.current_time()
        self._unanswered_since = min(self._unanswered_since, now)
        name = self._members.newest_coordinator[0]
        await self._send_to_member(message, name)
        if now - self._unanswered_since < RELAY_AFTER_SECONDS:
            return
        others = [
            peer.name
            for peer in self._members.list_peers()
            if peer.name != name
            and not self._members.is_unreachable(peer.name)
        ]
        if others:
            await self._send_to_member(message, self._rng.choice(others))

    async def _send_to_member(
        self, message: msgspec.Struct, name: str
    ) -> None:
        member = self._members.find(name)
        if member is None or member.name == self._members.own.name:
            return
        await self._send_to_address(message, member.address)

    async def _send_to_address(
        self, message: msgspec.Struct, address: str
    ) -> None:
        assert self._datagrams is not None
        try:
            await self._datagrams.send(message, address)
        except ValueError as error:
            LOG.warning('cannot send usage to a peer: %s', error)

    async def _handle_counts(
        self, message: _messages.UsageCounts, sender: str
    ) -> None:
        receipt = self._collector.receive(message)
        if receipt is not None:
            await self._send_to_address(receipt, sender)
        elif not message.is_relayed:
            relayed = msgspec.structs.replace(message, is_relayed=True)
            await self._send_to_member(
                relayed, self._members.newest_coordinator[0]
            )

    async def _handle_receipt(
        self, receipt: _messages.UsageReceipt, sender: str
    ) -> None:
        if receipt.vm != self._members.own.name:
            await self._send_to_member(receipt, receipt.vm)
        elif receipt.run == self._members.own.run:
            self._record_receipt(receipt)
            coordinator = self._members.find(
                self._members.newest_coordinator[0]
            )
            if coordinator is not None and coordinator.address == sender:
                # Only a receipt that comes from the coordinator itself shows
                # that messages need no relay.
                self._unanswered_since = math.inf

    def _record_receipt(self, receipt: _messages.UsageReceipt) -> None:
        if receipt.fencing_token != self._token:
            return
        message = self._awaited.pop(receipt.number, None)
        if message is not None and message.fencing_token == self._token:
            self._counter.record_received(message.number, message.entries)
            self._told_through = max(self._told_through, message.told_through)
        self._counter.forget_fixed(receipt.fixed_through)
