"""Writes checkpoints from which another process resumes running samples."""

import collections.abc
import logging

import anyio

from swiftjunction.batches import _archive
from swiftjunction.batches import _kept
from swiftjunction.batches import _open
from swiftjunction import errors
from swiftjunction import supervision

LOG = logging.getLogger(__name__)

# Limits the work that is repeated when another process takes over. A training
# step ends with its longest sample, so that what that one repeats makes the
# step later by as much.
CHECKPOINT_INTERVAL_SECONDS = 0.75
# A text that began more recently is not worth the bytes: generating it again
# takes no longer.
MIN_TEXT_SECONDS = 0.5


class CheckpointManager:
    """Writes snapshots of running samples and reads them after a failover.

    Parameters
    ----------
    archive : BatchArchive
        Reads and writes the checkpoint.
    open_batches : dict of str to OpenBatch
        The batches in memory, by id.
    supervisor : Supervisor
        Logs and counts unexpected errors.

    Attributes
    ----------
    cache : ProgressCache
        Snapshots from the checkpoint and from batches that have ended.
    """

    __slots__ = ('_archive', '_batches', '_supervisor', 'cache')

    def __init__(
        self,
        archive: _archive.BatchArchive,
        open_batches: dict[str, _open.OpenBatch],
        supervisor: supervision.Supervisor,
    ) -> None:
        self._supervisor = supervisor
        self._archive = archive
        self._batches = open_batches
        self.cache = _kept.ProgressCache()

    async def restore(self) -> None:
        """Load the checkpoint of the previous coordinator into the cache.

        If it cannot be loaded, the samples start over.
        """
        await self._supervisor.run_isolated(
            'restore checkpoint', self._restore
        )

    async def _restore(self) -> None:
        try:
            self.cache.add(await self._archive.read_checkpoint())
        except errors.ObjectMissing:
            return
        except errors.PlatformError as error:
            LOG.warning(
                'checkpoint could not be read; samples start over: %s', error
            )

    async def run(self) -> None:
        """Write checkpoints until cancelled."""
        await self._supervisor.run_rounds(
            'write checkpoint', self._write_texts, CHECKPOINT_INTERVAL_SECONDS
        )

    async def _write_texts(self) -> None:
        await self.write(self._select_texts(anyio.current_time()))

    def _select_texts(
        self, now: float
    ) -> collections.abc.Iterator[_open.SampleProgress]:
        """Yield the samples with text that takes time to generate again.

        Which attempt generated it does not matter, nor whether one is running:
        a sample that waits for another engine, for its score or to be written
        has its text in this process only.
        """
        for open_batch in self._batches.values():
            if open_batch.ended:
                continue
            for progress in open_batch.pending.values():
                text_seconds = now - progress.text_began_at
                if progress.events and text_seconds > MIN_TEXT_SECONDS:
                    yield progress

    async def write(
        self, samples: collections.abc.Iterable[_open.SampleProgress]
    ) -> None:
        """Replace the checkpoint by snapshots of the given samples.

        Without any samples, the earlier checkpoint stays.
        """
        snapshots = [_kept.take_snapshot(progress) for progress in samples]
        if not snapshots:
            return
        try:
            await self._archive.write_checkpoint(snapshots)
        except errors.PlatformError as error:
            LOG.info('checkpoint could not be written: %s', error)
