"""The ledger of a step: a log on the platform that only its owner extends.

Each entry of the log is an object whose name ends in its place in the log,
made on the condition that it does not exist. Two daemons that both think
that they own a step therefore collide at the same place: one of them makes
the entry, and the other reads there that it is not the owner any more. No
clock takes part in this, so an owner that was paused is stopped as surely as
one that was cut off.
"""

import logging
import typing
import uuid

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import platform
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

LEDGER_PREFIX = 'steps/'
WRITE_RETRY_SECONDS = 0.25


class LedgerEntry(msgspec.Struct):
    """One entry.

    Attributes
    ----------
    kind : str
        ``open`` has the spec, ``place`` gives samples the next sequence
        numbers, ``take-over`` names a new owner, ``close`` ends the step.
    indices : list of int
        The samples placed, in the order of their sequence numbers.
    """

    kind: typing.Literal['open', 'place', 'take-over', 'close']
    owner: str
    nonce: str
    indices: list[int] = []
    acknowledged: int = 0
    spec: _step.StepSpec | None = None


class Ledger:
    """The ledger of one step, as its owner extends it.

    Parameters
    ----------
    store : ObjectStore
        Where the log lives.
    step_id : str
        The step.
    owner : str
        This process.
    """

    __slots__ = ('_next', '_owner', '_store', 'step_id')

    def __init__(
        self, store: platform.ObjectStore, step_id: str, owner: str
    ) -> None:
        self._store = store
        self._owner = owner
        self._next = 0
        self.step_id = step_id

    async def open(self, spec: _step.StepSpec) -> None:
        """Begin the log with this process as owner.

        Raises
        ------
        RevisionConflict
            If the step was opened before.
        """
        await self._append('open', spec=spec)

    async def place(self, indices: list[int], acknowledged: int) -> None:
        """Give `indices` the next sequence numbers.

        Raises
        ------
        LeaseLost
            If another process owns the step by now.
        PlatformError
            If it is not known whether they have them.
        """
        try:
            await self._append(
                'place', indices=indices, acknowledged=acknowledged
            )
        except errors.RevisionConflict as error:
            raise errors.LeaseLost(
                f'step {self.step_id} has another owner', step='place'
            ) from error

    async def close(self, acknowledged: int) -> None:
        """End the step."""
        try:
            await self._append('close', acknowledged=acknowledged)
        except errors.RevisionConflict as error:
            raise errors.LeaseLost(
                f'step {self.step_id} has another owner', step='close'
            ) from error

    async def take_over(self) -> _step.Step:
        """Become the owner and rebuild the step.

        Raises
        ------
        ObjectMissing
            If there is no such step.
        StepEnded
            If the trainer has all of it already.
        """
        while True:
            step = await self.read()
            try:
                await self._append('take-over')
            except errors.RevisionConflict:
                continue
            return step

    async def read(self) -> _step.Step:
        """Rebuild the step from the log, and stand at the log's end."""
        found = await self._store.list(self._prefix())
        entries = [
            platform.decode_value(item, LedgerEntry)
            for item in sorted(found.changed, key=lambda item: item.key)
        ]
        if not entries:
            raise errors.ObjectMissing(
                f'there is no step {self.step_id}', step='read ledger'
            )
        if any(entry.kind == 'close' for entry in entries):
            raise errors.StepEnded(
                f'step {self.step_id} has ended', step='read ledger'
            )
        assert entries[0].spec is not None, 'a log begins with its spec'
        step = _step.Step(entries[0].spec)
        for entry in entries:
            for index in entry.indices:
                step.place(index)
            step.acknowledged = max(step.acknowledged, entry.acknowledged)
        self._next = len(entries)
        return step

    async def read_owner(self) -> str:
        """Return who owns the step by the log."""
        found = await self._store.list(self._prefix())
        owner = ''
        for item in sorted(found.changed, key=lambda item: item.key):
            owner = platform.decode_value(item, LedgerEntry).owner
        return owner

    async def erase(self) -> None:
        """Delete the log of a step that has ended, all but its first entry.

        The first entry stays as a mark that the step has ended, so that a
        submission that is repeated late does not open it again.
        """
        mark = LedgerEntry('close', self._owner, uuid.uuid4().hex)
        try:
            found = await self._store.list(self._prefix())
            first, *rest = sorted(found.changed, key=lambda item: item.key)
            await self._store.update(
                first.key, msgspec.json.encode(mark), first.version
            )
            for item in rest:
                await self._store.delete(item.key, item.version)
        except errors.PlatformError as error:
            LOG.info('ledger of %s left behind: %s', self.step_id, error)

    def _prefix(self) -> str:
        return f'{LEDGER_PREFIX}{self.step_id}/'

    async def _append(
        self,
        kind: typing.Literal['open', 'place', 'take-over', 'close'],
        *,
        indices: list[int] | None = None,
        acknowledged: int = 0,
        spec: _step.StepSpec | None = None,
    ) -> None:
        entry = LedgerEntry(
            kind,
            self._owner,
            uuid.uuid4().hex,
            indices or [],
            acknowledged,
            spec,
        )
        key = f'{self._prefix()}{self._next:06d}'
        value = msgspec.json.encode(entry)
        while True:
            try:
                await self._store.create(key, value)
                break
            except errors.RevisionConflict:
                await self._check_own(key, value)
                break
            except (errors.PlatformUnavailable, errors.WriteUncertain):
                # Creating again is safe: it makes the entry or finds the
                # one that a lost answer had made.
                await anyio.sleep(WRITE_RETRY_SECONDS)
        self._next += 1

    async def _check_own(self, key: str, value: bytes) -> None:
        while True:
            try:
                found = await self._store.read(key)
                break
            except errors.PlatformUnavailable:
                await anyio.sleep(WRITE_RETRY_SECONDS)
        if found.value != value:
            raise errors.RevisionConflict(
                f'{key} was written by another', step='append'
            )
