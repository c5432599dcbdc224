"""Keeps what is under way, for a process that takes over."""

import collections.abc
import logging

import anyio

from swiftjunction.batches import _archive
from swiftjunction.batches import _open_batch
from swiftjunction.batches import _snapshots
from swiftjunction import errors

LOG = logging.getLogger(__name__)

# What a process that takes over has to make again, at most.
CHECKPOINT_SECONDS = 1.5


class Checkpoints:
    """Writes the texts of samples under way, and reads them back.

    Parameters
    ----------
    archive : BatchArchive
        Writes them.
    open_batches : dict of str to OpenBatch
        The batches, by their ids.

    Attributes
    ----------
    kept : ProgressCache
        What was read back, and what ended batches left.
    """

    __slots__ = ('_archive', '_batches', 'kept')

    def __init__(
        self,
        archive: _archive.BatchArchive,
        open_batches: dict[str, _open_batch.OpenBatch],
    ) -> None:
        self._archive = archive
        self._batches = open_batches
        self.kept = _snapshots.ProgressCache()

    async def restore(self) -> None:
        """Take what the coordinator before had under way."""
        try:
            self.kept.keep(await self._archive.read_checkpoint())
        except errors.ObjectMissing:
            return
        except errors.PlatformError as error:
            LOG.warning('checkpoint not read: %s', error)

    async def run(self) -> None:
        """Write checkpoints until cancelled."""
        while True:
            await anyio.sleep(CHECKPOINT_SECONDS)
            now = anyio.current_time()
            await self.write(
                progress
                for opened in self._batches.values()
                if not opened.ended
                for progress in opened.left.values()
                if progress.engine
                and progress.events
                and now - progress.began_at > CHECKPOINT_SECONDS
            )

    async def write(
        self, samples: collections.abc.Iterable[_open_batch.SampleProgress]
    ) -> None:
        """Write the texts of some samples, in place of the last ones."""
        texts = [_snapshots.copy_text(progress) for progress in samples]
        if not texts:
            return
        try:
            await self._archive.write_checkpoint(texts)
        except errors.PlatformError as error:
            LOG.info('checkpoint not written: %s', error)
