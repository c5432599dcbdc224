"""Writes results to the object store, and then shows them."""

import logging

import anyio
import anyio.abc

from swiftjunction.batches import _archive
from swiftjunction.batches import _open_batch
from swiftjunction import errors

LOG = logging.getLogger(__name__)

WRITE_INTERVAL_SECONDS = 0.05
# Results that make no group whole wait for others, to be written together.
MAX_UNWRITTEN_SECONDS = 1.5
MIN_WRITE_GAP_SECONDS = 0.3
# An ended batch is kept in memory for readers that are a little late.
KEEP_ENDED_SECONDS = 20.0


def should_write(opened: _open_batch.OpenBatch, now: float) -> bool:
    """Tell whether a batch's finished samples are to be written now.

    A step is paid by whole groups, so results are written when they make a
    group whole; others wait a little, since every write has its price.
    """
    if not opened.finished or opened.writing:
        return False
    waited_seconds = now - opened.written_at
    if waited_seconds > MAX_UNWRITTEN_SECONDS:
        return True
    finished = {result.item_id for result in opened.finished}
    open_groups = opened.list_open_groups(finished)
    whole_groups = len(opened.list_groups()) - len(open_groups)
    if whole_groups >= opened.batch.wanted_groups > 0 and (
        not opened.is_satisfied()
    ):
        # Its trainer waits for just this.
        return True
    return waited_seconds >= MIN_WRITE_GAP_SECONDS and (
        whole_groups > opened.count_whole_groups()
    )


class ResultWriter:
    """Writes the results of all open batches, and drops ended ones.

    Parameters
    ----------
    archive : BatchArchive
        Writes them.
    open_batches : dict of str to OpenBatch
        The batches, by their ids.

    Attributes
    ----------
    stopping : bool
        Whether everything is to be written at once.
    """

    __slots__ = ('_archive', '_batches', 'stopping')

    def __init__(
        self,
        archive: _archive.BatchArchive,
        open_batches: dict[str, _open_batch.OpenBatch],
    ) -> None:
        self._archive = archive
        self._batches = open_batches
        self.stopping = False

    async def finish(self) -> None:
        """Wait until all results are written."""
        self.stopping = True
        while any(opened.finished for opened in self._batches.values()):
            await anyio.sleep(WRITE_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Write results until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._run(tasks)

    async def _run(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(WRITE_INTERVAL_SECONDS)
            now = anyio.current_time()
            for batch_id, opened in list(self._batches.items()):
                if opened.ended:
                    if now - opened.written_at > KEEP_ENDED_SECONDS:
                        del self._batches[batch_id]
                elif should_write(opened, now) or self._must_write(opened):
                    opened.writing = True
                    tasks.start_soon(self._write_chunk, opened)

    def _must_write(self, opened: _open_batch.OpenBatch) -> bool:
        return self.stopping and bool(opened.finished) and not opened.writing

    async def _write_chunk(self, opened: _open_batch.OpenBatch) -> None:
        batch_id = opened.batch.batch_id
        chunk = list(opened.finished)
        try:
            await self._archive.append(batch_id, opened.chunks, chunk)
            opened.list_chunk(chunk)
            LOG.info(
                'results listed',
                extra={
                    'batch': batch_id,
                    'request_ids': [result.item_id for result in chunk],
                    'listed': len(opened.results),
                    'whole_groups': opened.count_whole_groups(),
                },
            )
        except errors.RevisionConflict:
            await self._catch_up(opened)
        except errors.PlatformError as error:
            LOG.warning(
                'results not written: %s', error, extra={'batch': batch_id}
            )
        finally:
            opened.written_at = anyio.current_time()
            opened.writing = False

    async def _catch_up(self, opened: _open_batch.OpenBatch) -> None:
        """List what another process has written of a batch."""
        batch_id = opened.batch.batch_id
        LOG.warning(
            'another process runs the batch', extra={'batch': batch_id}
        )
        try:
            chunks = await self._archive.read_results(batch_id)
        except errors.PlatformError as error:
            LOG.warning('results not read: %s', error)
            return
        for chunk in chunks[opened.chunks :]:
            opened.list_chunk(chunk)
