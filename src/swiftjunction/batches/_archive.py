"""Stores batches and their results in the object store.

A batch is one object, with its samples in further objects if they do not fit.
Its results are a sequence of blocks, immutable objects with consecutive
numbers. If two processes run the same batch, only one of them can create the
next block, and the other one gets a conflict. So the position and content of a
result never change, whichever process runs the batch, and this does not depend
on clocks.
"""

import collections.abc
import logging
import uuid

import msgspec

from swiftjunction.batches import _batch
from swiftjunction.batches import _kept
from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

BATCH_PREFIX = _batch.BATCH_PREFIX
CHECKPOINT_KEY = 'checkpoints/samples'
# Compared with the characters of the text; the rest of the object is for JSON
# escapes and other fields.
MAX_CHECKPOINT_BYTES = 600_000
# The object store limits objects to 1 MB, including its own fields.
MAX_PART_BYTES = 900_000


class _ResultBlock(msgspec.Struct, frozen=True):
    # Unique for each write, to recognize a write whose response was lost.
    writer: str
    results: list[_batch.Result]


class StoredBatch(msgspec.Struct, frozen=True):
    """A batch and the version of the object that stores it."""

    batch: _batch.Batch
    version: int


class BatchSummary(msgspec.Struct, frozen=True):
    """The state of one batch, as operators list it.

    Attributes
    ----------
    listed : int
        Number of its samples with a stored result, which readers can list.
    total : int
        Number of its samples.
    """

    batch_id: str
    model: str
    step: int
    listed: int
    total: int
    ended: bool


class BatchArchive:
    """Reads and writes stored batches, their results and checkpoints.

    Parameters
    ----------
    store : ObjectStore
        The object store that holds them.
    """

    __slots__ = ('_checkpoint_version', '_store')

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store
        self._checkpoint_version = 0

    async def create(self, batch: _batch.Batch) -> None:
        """Store a batch, unless a batch with its id exists already.

        Raises
        ------
        PlatformUnavailable
            If the batch was not stored and will not be.
        WriteUncertain
            If it is unknown whether the batch was stored.
        RequestInvalid
            If the batch with its id belongs to another organisation.
        """
        writer = uuid.uuid4().hex
        written = msgspec.structs.replace(batch, writer=writer)
        value = msgspec.json.encode(written)
        if len(value) > MAX_PART_BYTES:
            value = await self._create_parts(written)
        if not await self._create(BATCH_PREFIX + batch.batch_id, value):
            LOG.info(
                'batch is already stored', extra={'batch': batch.batch_id}
            )
            if batch.organisation:
                await self._check_owner(batch)

    async def _check_owner(self, batch: _batch.Batch) -> None:
        try:
            found = await self._store.read(BATCH_PREFIX + batch.batch_id)
        except errors.PlatformUnavailable as error:
            # The batch is stored, which PlatformUnavailable would deny.
            raise errors.WriteUncertain(
                f'the owner of the stored batch is unknown: {error.message}',
                step='submit',
                peer=error.peer,
            ) from error
        stored = _batch.decode_batch(found)
        if not _batch.is_accessible(stored, batch.organisation):
            raise errors.RequestInvalid(
                'the id of the batch is in use', step='submit'
            )

    async def _create_parts(self, batch: _batch.Batch) -> bytes:
        parts = list(_split_samples(batch.samples))
        for number, part in enumerate(parts):
            # Another process may have written the same part already.
            await self._create(_make_part_key(batch.batch_id, number), part)
        return msgspec.json.encode(
            msgspec.structs.replace(batch, samples=[], parts=len(parts))
        )

    async def read(
        self, batch_id: str, organisation: str | None = None
    ) -> StoredBatch:
        """Return a stored batch with its samples.

        Parameters
        ----------
        organisation : str, optional
            Who asks, see :class:`BatchAccess`.

        Raises
        ------
        ObjectMissing
            If there is no such batch for that organisation.
        """
        found = await self._store.read(BATCH_PREFIX + batch_id)
        batch = _batch.decode_batch(found)
        check_access(batch, organisation)
        return await self.resolve_parts(found)

    async def resolve_parts(self, found: objectstore.Object) -> StoredBatch:
        """Decode a batch, and read its samples if other objects hold them.

        The samples of an ended batch are not read.
        """
        batch = _batch.decode_batch(found)
        if batch.parts and not batch.ended:
            samples: list[_batch.Sample] = []
            for number in range(batch.parts):
                key = _make_part_key(batch.batch_id, number)
                part = await self._store.read(key)
                samples += objectstore.decode_value(part, list[_batch.Sample])
            batch = msgspec.structs.replace(batch, samples=samples)
        return StoredBatch(batch, found.version)

    async def end(
        self,
        batch_id: str,
        known: StoredBatch | None = None,
        organisation: str | None = None,
    ) -> None:
        """Mark a batch as ended; its stored results remain.

        Parameters
        ----------
        known : StoredBatch
            The batch as it was last read; None to read it now.
        organisation : str, optional
            Who asks, see :class:`BatchAccess`.

        Raises
        ------
        ObjectMissing
            If there is no such batch for that organisation.
        PlatformError
            If the end may not have been stored; calling this again is safe.
        """
        if known is None:
            found = await self._store.read(BATCH_PREFIX + batch_id)
            batch = _batch.decode_batch(found)
            known = StoredBatch(batch, found.version)
        batch = known.batch
        check_access(batch, organisation)
        if batch.ended:
            return
        ended = msgspec.structs.replace(
            batch, ended=True, samples=[], writer=uuid.uuid4().hex
        )
        try:
            await objectstore.update_or_confirm(
                self._store,
                BATCH_PREFIX + batch_id,
                msgspec.json.encode(ended),
                known.version,
            )
        except errors.RevisionConflict:
            # The known version is outdated: read the object again to find out
            # whether the batch has ended.
            await self.end(batch_id, organisation=organisation)

    async def append(
        self, batch_id: str, number: int, results: list[_batch.Result]
    ) -> None:
        """Store results of a batch as its next block.

        Parameters
        ----------
        number : int
            Number of blocks that hold earlier results of the batch.

        Raises
        ------
        RevisionConflict
            If another process has already created that object.
        """
        key = f'{_make_batch_prefix(batch_id)}{number:06d}'
        block = _ResultBlock(uuid.uuid4().hex, results)
        if not await self._create(key, msgspec.json.encode(block)):
            raise errors.RevisionConflict(
                f'{key} exists already', step='append', peer='object API'
            )

    async def read_results(self, batch_id: str) -> list[list[_batch.Result]]:
        """Return the stored results of a batch, one list for each block."""
        listed = await self._store.list(_make_batch_prefix(batch_id))
        found = {
            stored.key.rpartition('/')[2]: stored
            for stored in listed.changed
            if not stored.key.rpartition('/')[2].startswith('part-')
        }
        return [
            objectstore.decode_value(found[name], _ResultBlock).results
            for name in sorted(found)
        ]

    async def list_batches(self) -> list[BatchSummary]:
        """Return all stored batches, sorted by model and step."""
        found = await self._store.list(BATCH_PREFIX)
        stored_batches = []
        for stored in found.changed:
            try:
                stored_batches.append(_batch.decode_batch(stored))
            except errors.ObjectBroken as error:
                LOG.warning('ignoring an invalid batch: %s', error)
        return [
            await self._summarize(batch)
            for batch in sorted(
                stored_batches, key=lambda b: (b.model, b.step)
            )
        ]

    async def _summarize(self, batch: _batch.Batch) -> BatchSummary:
        blocks = await self.read_results(batch.batch_id)
        return BatchSummary(
            batch.batch_id,
            batch.model,
            batch.step,
            sum(len(block) for block in blocks),
            batch.total,
            batch.ended,
        )

    async def write_checkpoint(
        self, snapshots: list[_kept.ProgressSnapshot]
    ) -> None:
        """Replace the checkpoint by snapshots of running samples.

        If they do not fit into one object, only the longest are written. If
        another process has changed the checkpoint, nothing is written: only
        its version is noted, for the next call.
        """
        chosen: list[_kept.ProgressSnapshot] = []
        size = 0
        for snapshot in sorted(snapshots, key=lambda s: s.size, reverse=True):
            size += snapshot.size
            if size > MAX_CHECKPOINT_BYTES:
                break
            chosen.append(snapshot)
        value = msgspec.json.encode(chosen)
        try:
            if not self._checkpoint_version:
                self._checkpoint_version = await self._store.create(
                    CHECKPOINT_KEY, value
                )
                return
            self._checkpoint_version = await self._store.update(
                CHECKPOINT_KEY, value, self._checkpoint_version
            )
        except errors.RevisionConflict:
            found = await self._store.read(CHECKPOINT_KEY)
            self._checkpoint_version = found.version

    async def read_checkpoint(self) -> list[_kept.ProgressSnapshot]:
        """Return the snapshots of the last checkpoint.

        Raises
        ------
        ObjectMissing
            If no checkpoint has been written yet.
        """
        found = await self._store.read(CHECKPOINT_KEY)
        self._checkpoint_version = found.version
        return objectstore.decode_value(found, list[_kept.ProgressSnapshot])

    async def delete(self, batch_id: str) -> None:
        """Delete all objects of a batch, the batch itself last.

        After an interrupted deletion, the batch is therefore still listed and
        can be deleted again.
        """
        listed = await self._store.list(_make_batch_prefix(batch_id))
        for stored in listed.changed:
            await self._delete_object(stored)
        try:
            found = await self._store.read(BATCH_PREFIX + batch_id)
        except errors.ObjectMissing:
            LOG.debug('batch %s was already deleted', batch_id)
            return
        await self._delete_object(found)

    async def _delete_object(self, found: objectstore.Object) -> None:
        try:
            await self._store.delete(found.key, found.version)
        except errors.ObjectMissing:
            LOG.debug('object %s was already deleted', found.key)

    async def _create(self, key: str, value: bytes) -> bool:
        """Create an immutable object; return whether this call created it."""
        try:
            await objectstore.create_or_confirm(self._store, key, value)
        except errors.RevisionConflict:
            return False
        except errors.WriteUncertain as uncertain:
            try:
                found = await self._store.read(key)
            except errors.PlatformError as error:
                # A missing object may still be created, and a read that fails
                # says nothing about the write.
                LOG.warning(
                    'outcome of the write of %s is unknown: %s', key, error
                )
                raise uncertain from None
            return found.value == value
        return True


def check_access(batch: _batch.Batch, organisation: str | None) -> None:
    """Raise ``ObjectMissing`` if a batch is of another organisation."""
    if not _batch.is_accessible(batch, organisation):
        raise errors.ObjectMissing(
            f'{BATCH_PREFIX}{batch.batch_id} does not exist', step='read'
        )


def _make_batch_prefix(batch_id: str) -> str:
    return f'batch-{batch_id}/'


def _make_part_key(batch_id: str, number: int) -> str:
    return f'{_make_batch_prefix(batch_id)}part-{number:06d}'


def _split_samples(
    samples: list[_batch.Sample],
) -> collections.abc.Iterator[bytes]:
    """Yield JSON lists of samples, each of which fits into one object."""
    part: list[bytes] = []
    size = 0
    for sample in samples:
        encoded = msgspec.json.encode(sample)
        if part and size + len(encoded) > MAX_PART_BYTES:
            yield b'[' + b','.join(part) + b']'
            part, size = [], 0
        part.append(encoded)
        size += len(encoded) + 1
    if part:
        yield b'[' + b','.join(part) + b']'
