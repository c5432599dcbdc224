"""The ledger of a step: the permanent sequence number of each sample.

The head of the ledger is one object of the platform's object store. Every
change is a compare-and-swap on the version that its writer read last. If two
processes both believe that they own a step, the platform accepts the write of
only one. This relies on no clock, so it stops a paused owner as reliably as a
partitioned one. Object versions never decrease, so a former owner is also
stopped after the step has ended.
"""

import logging
import uuid

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.steps import _head
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

LEDGER_PREFIX = 'steps/'
WRITE_RETRY_DELAY_SECONDS = 0.25
# Maximum number of attempts of a write that a trainer's request waits for.
# Other writes are retried indefinitely.
MAX_INTERACTIVE_ATTEMPTS = 8
# The platform limits an object to one megabyte.
MAX_SPEC_PART_BYTES = 900_000
# Full blocks of the delivery order move from the head to objects of their
# own, so that the size of the head does not depend on the length of the step.
SEALED_BLOCK_SAMPLES = 1024


class Ledger:
    """The ledger of one step, as accessed by one process.

    Parameters
    ----------
    store : ObjectStore
        Holds the objects of the ledger.
    step_id : str
        Identifier of the step.
    owner : str
        Name of this process.

    Attributes
    ----------
    calls : int
        Number of calls to the platform so far, failed ones included.
    """

    __slots__ = (
        '_head',
        '_owner',
        '_store',
        '_version',
        '_writer',
        'calls',
        'step_id',
    )

    def __init__(
        self, store: objectstore.ObjectStore, step_id: str, owner: str
    ) -> None:
        self._store = store
        self._owner = owner
        self._writer = uuid.uuid4().hex
        self._head = _head.Head(owner, self._writer)
        self._version = 0
        self.calls = 0
        self.step_id = step_id

    async def open(
        self, spec: _step.StepSpec, expires_at: float = 0.0
    ) -> None:
        """Create the ledger with this process as the owner.

        Parameters
        ----------
        spec : StepSpec
            Stored in objects of at most ``MAX_SPEC_PART_BYTES``.
        expires_at : float
            Deadline of the step, in Unix seconds; 0 means none.

        Raises
        ------
        RevisionConflict
            If the step was opened before.
        PlatformError
            If the platform is unavailable; it is safe to open again.
        """
        data = msgspec.json.encode(spec)
        parts: list[str] = []
        for start in range(0, len(data), MAX_SPEC_PART_BYTES):
            key = f'{self._build_prefix()}spec-{self._writer}-{len(parts)}'
            await self._create(key, data[start : start + MAX_SPEC_PART_BYTES])
            parts.append(key)
        head = _head.Head(
            self._owner, self._writer, expires_at=expires_at, parts=parts
        )
        try:
            self._version = await self._create(
                self._head_key(), msgspec.json.encode(head)
            )
        except errors.RevisionConflict:
            await self._delete_objects(parts)
            raise
        self._head = head

    async def append(self, indices: list[int], acknowledged: int) -> None:
        """Assign the next sequence numbers to the samples at `indices`.

        Retries until the write has succeeded, however long the platform is
        unavailable.

        Raises
        ------
        LeaseLost
            If another process owns the step now.
        """
        await self._seal()
        await self._replace(
            msgspec.structs.replace(
                self._head,
                tail=[*self._head.tail, *indices],
                acknowledged=acknowledged,
            )
        )

    async def close(self, acknowledged: int, unacknowledged: int = 0) -> None:
        """Mark the step as ended.

        The head remains as a tombstone, so that a delayed retry of the
        submission does not open the step again.

        Parameters
        ----------
        acknowledged : int
            The last sequence number that the trainer acknowledged.
        unacknowledged : int
            Number of samples that were not acknowledged.

        Raises
        ------
        LeaseLost
            If another process owns the step now.
        """
        await self._replace(
            _head.Head(
                self._owner,
                self._writer,
                ended=True,
                acknowledged=acknowledged,
                missing=unacknowledged,
            )
        )

    async def take_over(self) -> _step.Step:
        """Make this process the owner and rebuild the step.

        Raises
        ------
        ObjectMissing
            If the step does not exist.
        StepEnded, StepIncomplete
            If the step has ended.
        PlatformError
            If the platform is unavailable; it is safe to retry.
        """
        for _ in range(MAX_INTERACTIVE_ATTEMPTS):
            step = await self.read()
            head = msgspec.structs.replace(
                self._head, owner=self._owner, writer=self._writer, serial=0
            )
            try:
                await self._replace(head, MAX_INTERACTIVE_ATTEMPTS)
            except errors.LeaseLost:
                await anyio.sleep(WRITE_RETRY_DELAY_SECONDS)
                continue
            return step
        raise errors.PlatformUnavailable(
            f'step {self.step_id} changed owners during each attempt',
            step='take over',
        )

    async def read(self) -> _step.Step:
        """Rebuild the step from the ledger.

        A stale read of the head is harmless, because the next write is
        conditional on the version that was read.
        """
        stored = await self._read_object(self._head_key())
        head = _head.decode_open_head(stored, self.step_id)
        data = b''.join(
            [(await self._read_object(key)).value for key in head.parts]
        )
        step = _step.Step(
            objectstore.decode_value(
                objectstore.Object(stored.key, stored.version, data),
                _step.StepSpec,
            )
        )
        step.expires_at = head.expires_at
        for block_number in range(head.sealed):
            block = await self._read_object(self._block_key(block_number))
            for index in objectstore.decode_value(block, list[int]):
                step.commit(index)
        for index in head.tail:
            step.commit(index)
        step.acknowledged = head.acknowledged
        self._head = head
        self._version = stored.version
        return step

    async def read_owner(self) -> str:
        """Return the name of the process that owns the step.

        Raises
        ------
        StepEnded, StepIncomplete, ObjectMissing
            As for :meth:`take_over`.
        """
        stored = await self._read_object(self._head_key())
        return _head.decode_open_head(stored, self.step_id).owner

    async def check_ownership(self) -> None:
        """Check that this process still owns the step.

        Raises
        ------
        LeaseLost
            If another process owns the step now.
        StepEnded, StepIncomplete, ObjectMissing, PlatformError
            As for :meth:`take_over`.
        """
        stored = await self._read_object(self._head_key())
        if _head.decode_open_head(stored, self.step_id).writer != self._writer:
            raise self._build_lease_lost()

    async def delete_data(self) -> None:
        """Delete all objects of an ended step except its head."""
        try:
            self.calls += 1
            listing = await self._store.list(self._build_prefix())
        except errors.PlatformError as error:
            LOG.info(
                'could not list ledger objects of step %s for deletion: %s',
                self.step_id,
                error,
            )
            return
        keys = {item.key for item in listing.changed}
        await self._delete_objects(sorted(keys - {self._head_key()}))

    def _build_prefix(self) -> str:
        return f'{LEDGER_PREFIX}{self.step_id}/'

    def _head_key(self) -> str:
        return f'{self._build_prefix()}head'

    def _block_key(self, block_number: int) -> str:
        return f'{self._build_prefix()}order-{block_number:06d}'

    async def _seal(self) -> None:
        """Move full blocks of the tail to immutable objects.

        Only indices that are already in the stored head are moved. Every
        owner therefore creates the same object for a block, and an existing
        object is correct.
        """
        head = self._head
        while len(head.tail) >= SEALED_BLOCK_SAMPLES:
            try:
                await self._create(
                    self._block_key(head.sealed),
                    msgspec.json.encode(head.tail[:SEALED_BLOCK_SAMPLES]),
                    max_attempts=0,
                )
            except errors.RevisionConflict:
                LOG.debug('block %s is already sealed', head.sealed)
            head = msgspec.structs.replace(
                head,
                sealed=head.sealed + 1,
                tail=head.tail[SEALED_BLOCK_SAMPLES:],
            )
        self._head = head

    async def _replace(self, head: _head.Head, max_attempts: int = 0) -> None:
        """Replace the stored head if this process still owns the step.

        If `max_attempts` is 0, failed writes are retried indefinitely.
        """
        serial = self._head.serial + 1
        head = msgspec.structs.replace(head, serial=serial)
        value = msgspec.json.encode(head)
        attempts = 0
        while True:
            attempts += 1
            try:
                self.calls += 1
                self._version = await self._store.update(
                    self._head_key(), value, self._version
                )
                break
            except errors.ObjectMissing as error:
                raise self._build_lease_lost() from error
            except errors.RevisionConflict:
                if await self._resolve_conflict(value, head.ended):
                    break
            except (errors.PlatformUnavailable, errors.WriteUncertain):
                # A retry is safe: of all writes that are conditional on the
                # same version, at most one takes effect.
                if attempts == max_attempts:
                    raise
            await anyio.sleep(WRITE_RETRY_DELAY_SECONDS)
        self._head = head

    async def _resolve_conflict(self, value: bytes, closing: bool) -> bool:
        """Resolve a version conflict; return whether `value` is stored.

        Raises
        ------
        LeaseLost
            If the head was replaced by another process, or by an earlier
            write of this one that must not be overwritten.
        """
        try:
            stored = await self._read_object(self._head_key())
        except errors.PlatformUnavailable:
            return False
        if stored.value == value:
            self._version = stored.version
            return True
        if stored.version <= self._version:
            # Stale read.
            return False
        head = objectstore.decode_value(stored, _head.Head)
        if head.writer != self._writer or head.ended or not closing:
            raise self._build_lease_lost()
        # An earlier write of this ledger took effect although its call was
        # cancelled. Closing the step is still correct, whereas any other
        # write would discard that change.
        self._version = stored.version
        return False

    def _build_lease_lost(self) -> errors.LeaseLost:
        return errors.LeaseLost(
            f'step {self.step_id} is owned by another process', step='ledger'
        )

    async def _create(
        self,
        key: str,
        value: bytes,
        max_attempts: int = MAX_INTERACTIVE_ATTEMPTS,
    ) -> int:
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._create_once(key, value)
            except (errors.PlatformUnavailable, errors.WriteUncertain):
                if attempts == max_attempts:
                    raise
            await anyio.sleep(WRITE_RETRY_DELAY_SECONDS)

    async def _create_once(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        An existing object with the same value is accepted: an earlier
        attempt may have taken effect although it failed.
        """
        try:
            self.calls += 1
            return await self._store.create(key, value)
        except errors.RevisionConflict as error:
            try:
                stored = await self._read_object(key)
            except errors.ObjectMissing:
                raise error from None
            if stored.value != value:
                raise
            return stored.version

    async def _read_object(self, key: str) -> objectstore.Object:
        self.calls += 1
        return await self._store.read(key)

    async def _delete_objects(self, keys: list[str]) -> None:
        for key in keys:
            try:
                stored = await self._read_object(key)
                self.calls += 1
                await self._store.delete(key, stored.version)
            except errors.PlatformError as error:
                LOG.info('could not delete ledger object %s: %s', key, error)
