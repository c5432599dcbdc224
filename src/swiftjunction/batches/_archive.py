"""Batches and their results on the object store.

A batch is one object. Its results are a sequence of objects, each of which is
created under the next number and never changed: of two processes that both
run a batch, one creates the next object and the other one is told of the
conflict. So a result keeps its position and content, whoever runs the batch,
and no clock takes part in it.
"""

import collections.abc
import logging
import uuid

import msgspec

from swiftjunction.batches import _batch
from swiftjunction.batches import _snapshots
from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

BATCH_PREFIX = 'batches/'
CHECKPOINT_KEY = 'checkpoints/samples'
MAX_CHECKPOINT_BYTES = 600_000
# The store takes a megabyte; its own fields need some of it.
MAX_PART_BYTES = 900_000


class _Chunk(msgspec.Struct, frozen=True):
    # Unlike in every other write, so that a lost answer can be told.
    writer: str
    results: list[_batch.Result]


class StoredBatch(msgspec.Struct, frozen=True):
    """A batch and the version of the object that holds it."""

    batch: _batch.Batch
    version: int


class BatchSummary(msgspec.Struct, frozen=True):
    """One batch in a list.

    Attributes
    ----------
    listed : int
        How many of its samples have a result.
    total : int
        How many samples it has.
    """

    batch_id: str
    model: str
    step: int
    listed: int
    total: int
    ended: bool


class BatchArchive:
    """Reads and writes batches.

    Parameters
    ----------
    store : ObjectStore
        Where they are kept.
    """

    __slots__ = ('_checkpoint_version', '_store')

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store
        self._checkpoint_version = 0

    async def create(self, batch: _batch.Batch) -> None:
        """Keep a batch; one that is kept already is left as it is.

        Raises
        ------
        PlatformUnavailable
            If nothing was kept and nothing will be.
        WriteUncertain
            If it is not known whether it is kept.
        """
        writer = uuid.uuid4().hex
        whole = msgspec.structs.replace(batch, writer=writer)
        value = msgspec.json.encode(whole)
        if len(value) > MAX_PART_BYTES:
            value = await self._create_parts(whole)
        if not await self._create(BATCH_PREFIX + batch.batch_id, value):
            LOG.info(
                'batch was accepted before', extra={'batch': batch.batch_id}
            )

    async def _create_parts(self, batch: _batch.Batch) -> bytes:
        parts = list(_split_items(batch.items))
        for number, part in enumerate(parts):
            # Another process may have written the same part before.
            await self._create(_name_part(batch.batch_id, number), part)
        return msgspec.json.encode(
            msgspec.structs.replace(batch, items=[], parts=len(parts))
        )

    async def read(self, batch_id: str) -> StoredBatch:
        """Return a batch; ``ObjectMissing`` if there is none."""
        return await self.decode(
            await self._store.read(BATCH_PREFIX + batch_id)
        )

    async def decode(self, found: objectstore.Object) -> StoredBatch:
        """Return the batch of an object, with the samples of its parts."""
        batch = objectstore.decode_value(found, _batch.Batch)
        if batch.parts and not batch.ended:
            items: list[_batch.Item] = []
            for number in range(batch.parts):
                key = _name_part(batch.batch_id, number)
                part = await self._store.read(key)
                items += objectstore.decode_value(part, list[_batch.Item])
            batch = msgspec.structs.replace(batch, items=items)
        return StoredBatch(batch, found.version)

    async def end(
        self, batch_id: str, held: StoredBatch | None = None
    ) -> None:
        """Mark a batch as ended; what is listed of it remains.

        Parameters
        ----------
        held : StoredBatch
            As it was last read, where it was.

        Raises
        ------
        ObjectMissing
            If there is no such batch.
        PlatformError
            If the end may not be kept; ending again is safe.
        """
        if held is None:
            found = await self._store.read(BATCH_PREFIX + batch_id)
            batch = objectstore.decode_value(found, _batch.Batch)
            held = StoredBatch(batch, found.version)
        batch = held.batch
        if batch.ended:
            return
        ended = msgspec.structs.replace(
            batch, ended=True, items=[], writer=uuid.uuid4().hex
        )
        try:
            await objectstore.update_or_confirm(
                self._store,
                BATCH_PREFIX + batch_id,
                msgspec.json.encode(ended),
                held.version,
            )
        except errors.RevisionConflict:
            # What was held is old. Only the object says whether it is ended.
            await self.end(batch_id)

    async def append(
        self, batch_id: str, number: int, results: list[_batch.Result]
    ) -> None:
        """Create the next object of a batch's results.

        Raises
        ------
        RevisionConflict
            If another process created it first.
        """
        key = f'{_list_prefix(batch_id)}{number:06d}'
        chunk = _Chunk(uuid.uuid4().hex, results)
        if not await self._create(key, msgspec.json.encode(chunk)):
            raise errors.RevisionConflict(
                f'{key} is there already', step='append', peer='object API'
            )

    async def read_results(self, batch_id: str) -> list[list[_batch.Result]]:
        """Return the results of a batch, object by object."""
        listed = await self._store.list(_list_prefix(batch_id))
        found = {
            item.key.rpartition('/')[2]: item
            for item in listed.changed
            if not item.key.rpartition('/')[2].startswith('part-')
        }
        return [
            objectstore.decode_value(found[name], _Chunk).results
            for name in sorted(found)
        ]

    async def list_batches(self) -> list[BatchSummary]:
        """Return all batches that are kept, by model and step."""
        found = await self._store.list(BATCH_PREFIX)
        heads = [
            objectstore.decode_value(item, _batch.Batch)
            for item in found.changed
        ]
        return [
            await self._summarize(head)
            for head in sorted(heads, key=lambda b: (b.model, b.step))
        ]

    async def _summarize(self, batch: _batch.Batch) -> BatchSummary:
        chunks = await self.read_results(batch.batch_id)
        return BatchSummary(
            batch.batch_id,
            batch.model,
            batch.step,
            sum(len(chunk) for chunk in chunks),
            batch.total,
            batch.ended,
        )

    async def write_checkpoint(
        self, texts: list[_snapshots.ProgressSnapshot]
    ) -> None:
        """Keep the texts of samples under way, in place of the last ones.

        Where they do not fit into one object, the longest are kept.
        """
        chosen: list[_snapshots.ProgressSnapshot] = []
        size = 0
        for text in sorted(texts, key=lambda t: t.size, reverse=True):
            size += text.size
            if size > MAX_CHECKPOINT_BYTES:
                break
            chosen.append(text)
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

    async def read_checkpoint(self) -> list[_snapshots.ProgressSnapshot]:
        """Return the texts that were kept last."""
        found = await self._store.read(CHECKPOINT_KEY)
        self._checkpoint_version = found.version
        return objectstore.decode_value(
            found, list[_snapshots.ProgressSnapshot]
        )

    async def delete(self, batch_id: str) -> None:
        """Delete all that is kept of a batch, the batch itself last.

        So a deletion that was broken off is found and done again.
        """
        listed = await self._store.list(_list_prefix(batch_id))
        for item in listed.changed:
            await self._delete_object(item)
        try:
            head = await self._store.read(BATCH_PREFIX + batch_id)
        except errors.ObjectMissing:
            LOG.debug('batch %s is deleted already', batch_id)
            return
        await self._delete_object(head)

    async def _delete_object(self, found: objectstore.Object) -> None:
        try:
            await self._store.delete(found.key, found.version)
        except errors.ObjectMissing:
            LOG.debug('%s is deleted already', found.key)

    async def _create(self, key: str, value: bytes) -> bool:
        """Create an object that never changes; tell whether it is ours."""
        try:
            await objectstore.create_or_confirm(self._store, key, value)
        except errors.RevisionConflict:
            return False
        except errors.WriteUncertain as uncertain:
            try:
                found = await self._store.read(key)
            except errors.ObjectMissing:
                raise uncertain from None
            return found.value == value
        return True


def _list_prefix(batch_id: str) -> str:
    return f'batch-{batch_id}/'


def _name_part(batch_id: str, number: int) -> str:
    return f'{_list_prefix(batch_id)}part-{number:06d}'


def _split_items(
    items: list[_batch.Item],
) -> collections.abc.Iterator[bytes]:
    """Yield the items as encoded lists that each fit into one object."""
    part: list[bytes] = []
    size = 0
    for item in items:
        encoded = msgspec.json.encode(item)
        if part and size + len(encoded) > MAX_PART_BYTES:
            yield b'[' + b','.join(part) + b']'
            part, size = [], 0
        part.append(encoded)
        size += len(encoded) + 1
    if part:
        yield b'[' + b','.join(part) + b']'
