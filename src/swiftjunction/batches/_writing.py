"""Writes results to the object store, from which on readers see them."""

import collections.abc
import functools
import logging

import anyio
import anyio.abc

from swiftjunction.batches import _archive
from swiftjunction.batches import _open
from swiftjunction import errors
from swiftjunction import supervision

LOG = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.05
# Results that complete no group are delayed, to write more of them at once.
MAX_WRITE_DELAY_SECONDS = 1.5
MIN_WRITE_INTERVAL_SECONDS = 0.3
# An ended batch stays in memory for late readers.
ENDED_IN_MEMORY_SECONDS = 20.0


def should_write(open_batch: _open.OpenBatch, now: float) -> bool:
    """Return whether to write the results of a batch now.

    Only complete groups count for a training step, so results are written when
    they complete a group. Others are delayed to save writes.
    """
    if not open_batch.unwritten or open_batch.writing:
        return False
    elapsed_seconds = now - open_batch.written_at
    if elapsed_seconds > MAX_WRITE_DELAY_SECONDS:
        return True
    unwritten = {result.sample_id for result in open_batch.unwritten}
    incomplete_groups = open_batch.list_incomplete_groups(unwritten)
    complete_groups = len(open_batch.list_groups()) - len(incomplete_groups)
    if complete_groups >= open_batch.batch.wanted_groups > 0 and (
        not open_batch.has_wanted_groups()
    ):
        # These results complete what the trainer waits for.
        return True
    return elapsed_seconds >= MIN_WRITE_INTERVAL_SECONDS and (
        complete_groups > open_batch.count_complete_groups()
    )


class ResultWriter:
    """Writes results of open batches, and removes ended ones from memory.

    Parameters
    ----------
    archive : BatchArchive
        Writes the results.
    open_batches : dict of str to OpenBatch
        The batches in memory, by id.
    may_write : callable
        Returns whether no other process can be the coordinator. A successor
        may have read a batch already, and would not have what is written
        after that in memory.
    supervisor : Supervisor
        Runs each write.

    Attributes
    ----------
    flushing : bool
        Whether to write the results of open batches without delay.
    """

    __slots__ = (
        '_archive',
        '_batches',
        '_may_write',
        '_supervisor',
        'flushing',
    )

    def __init__(
        self,
        archive: _archive.BatchArchive,
        open_batches: dict[str, _open.OpenBatch],
        may_write: collections.abc.Callable[[], bool],
        supervisor: supervision.Supervisor,
    ) -> None:
        self._supervisor = supervisor
        self._archive = archive
        self._batches = open_batches
        self._may_write = may_write
        self.flushing = False

    async def flush(self) -> None:
        """Write the results of open batches without delay, and wait for that.

        Results of ended batches are not written. If there are any, this
        returns only after those batches are removed from memory, so callers
        need a timeout.
        """
        self.flushing = True
        while any(
            open_batch.unwritten for open_batch in self._batches.values()
        ):
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Write results of open batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._run(tasks)

    async def _run(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            now = anyio.current_time()
            for batch_id, open_batch in list(self._batches.items()):
                if open_batch.ended:
                    if now - open_batch.written_at > ENDED_IN_MEMORY_SECONDS:
                        del self._batches[batch_id]
                elif self._may_write() and (
                    should_write(open_batch, now)
                    or self._must_flush(open_batch)
                ):
                    open_batch.writing = True
                    tasks.start_soon(self._write_isolated, open_batch)

    def _must_flush(self, open_batch: _open.OpenBatch) -> bool:
        return (
            self.flushing
            and bool(open_batch.unwritten)
            and not open_batch.writing
        )

    async def _write_isolated(self, open_batch: _open.OpenBatch) -> None:
        """Write results; after an unexpected error, another write is due."""
        await self._supervisor.run_isolated(
            'write results',
            functools.partial(self._write_results, open_batch),
            batch=open_batch.batch.batch_id,
        )

    async def _write_results(self, open_batch: _open.OpenBatch) -> None:
        batch_id = open_batch.batch.batch_id
        block = list(open_batch.unwritten)
        number = open_batch.block_count
        # Readers of the store may see the block before its write returns, and
        # also if the write fails for this process.
        open_batch.write_uncertain = True
        try:
            await self._archive.append(batch_id, number, block)
            # A reader may have read the block from the store already.
            if open_batch.block_count == number:
                open_batch.add_block(block)
            open_batch.write_uncertain = False
            LOG.info(
                'results written',
                extra={
                    'batch': batch_id,
                    'request_ids': [result.sample_id for result in block],
                    'listed': len(open_batch.results),
                    'whole_groups': open_batch.count_complete_groups(),
                },
            )
        except errors.RevisionConflict:
            await self._reload_results(open_batch)
        except errors.PlatformError as error:
            LOG.warning(
                'results could not be written, retrying: %s',
                error,
                extra={'batch': batch_id},
            )
        finally:
            open_batch.written_at = anyio.current_time()
            open_batch.writing = False

    async def _reload_results(self, open_batch: _open.OpenBatch) -> None:
        """Add the blocks of a batch that another process has written."""
        batch_id = open_batch.batch.batch_id
        LOG.warning(
            'another process is also running the batch',
            extra={'batch': batch_id},
        )
        try:
            blocks = await self._archive.read_results(batch_id)
        except errors.PlatformError as error:
            LOG.warning('results could not be read: %s', error)
            return
        open_batch.merge_blocks(blocks)
        open_batch.write_uncertain = False
