"""Spreads records between daemons: deltas at once, digests now and then."""

import logging
import random

import anyio
import anyio.abc

from swiftjunction import links
from swiftjunction.membership import _records

LOG = logging.getLogger(__name__)

DIGEST_INTERVAL_SECONDS = 2.0
FLUSH_INTERVAL_SECONDS = 0.05


class Exchange:
    """Keeps one daemon's records in step with those of its peers.

    Records that change here are posted to every peer in batches. A digest to
    one peer at a time repairs whatever a lost message left out.

    Parameters
    ----------
    name : str
        This process, as peers see it.
    inbox : Inbox
        Where peers reach this process.
    table : RecordTable
        The records to keep in step.
    rng : random.Random
        Chooses the peer of the next digest.
    """

    __slots__ = (
        '_changed',
        '_inbox',
        '_name',
        '_outboxes',
        '_rng',
        '_scopes',
        '_table',
        '_tasks',
        '_unsent',
    )

    def __init__(
        self,
        name: str,
        inbox: links.Inbox,
        table: _records.RecordTable,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._inbox = inbox
        self._table = table
        self._rng = rng
        self._outboxes: dict[str, links.Outbox] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._unsent: dict[str, links.Record] = {}
        self._changed = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        table.listen('', self._note_change)

    def set_peers(self, addresses: set[str]) -> None:
        """Talk to exactly the peers at `addresses`."""
        wanted = addresses - {self._inbox.address}
        for address in set(self._outboxes) - wanted:
            self._outboxes.pop(address)
            self._scopes.pop(address).cancel()
        for address in wanted - set(self._outboxes):
            self._add_peer(address)

    def peers(self) -> dict[str, int]:
        """Return the messages dropped so far for each peer."""
        return {a: box.dropped for a, box in self._outboxes.items()}

    async def run(self) -> None:
        """Exchange records until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for address, box in self._outboxes.items():
                tasks.start_soon(self._run_outbox, address, box)
            tasks.start_soon(self._receive_each)
            tasks.start_soon(self._flush_often)
            tasks.start_soon(self._send_digests)

    def _add_peer(self, address: str) -> None:
        box = links.Outbox(address)
        self._outboxes[address] = box
        self._scopes[address] = anyio.CancelScope()
        if self._tasks is not None:
            self._tasks.start_soon(self._run_outbox, address, box)
        box.post(self._digest())

    async def _run_outbox(self, address: str, box: links.Outbox) -> None:
        with self._scopes[address]:
            await box.run()

    def _note_change(self, record: links.Record) -> None:
        self._unsent[record.key] = record
        self._changed.set()

    async def _flush_often(self) -> None:
        while True:
            await self._changed.wait()
            await anyio.sleep(FLUSH_INTERVAL_SECONDS)
            self._changed = anyio.Event()
            records = list(self._unsent.values())
            self._unsent.clear()
            delta = links.Delta(self._name, records)
            for box in self._outboxes.values():
                box.post(delta)

    async def _receive_each(self) -> None:
        while True:
            message = await self._inbox.receive()
            if isinstance(message, links.Delta):
                self._table.apply(message.records)
            else:
                self._answer_digest(message)

    def _answer_digest(self, digest: links.Digest) -> None:
        box = self._outboxes.get(digest.reply_to)
        if box is None:
            return
        missing = self._table.newer_than(digest.versions)
        if missing:
            box.post(links.Delta(self._name, missing))

    def _digest(self) -> links.Digest:
        return links.Digest(
            self._name, self._inbox.address, self._table.versions()
        )

    async def _send_digests(self) -> None:
        while True:
            await anyio.sleep(
                DIGEST_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2)
            )
            if self._outboxes:
                address = self._rng.choice(sorted(self._outboxes))
                self._outboxes[address].post(self._digest())
