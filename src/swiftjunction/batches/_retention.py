"""Deletes ended batches that nobody may ask for any more."""

import logging

import anyio

from swiftjunction.batches import _archive
from swiftjunction import errors

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 5.0
# Readers may be late, and callers' clocks are not ours.
MARGIN_SECONDS = 30.0


class Retention:
    """Keeps ended batches for as long as their results must be found.

    The time is counted from when this process first saw a batch, which is no
    earlier than its submission; so a new coordinator keeps batches longer
    than needed, and never for too short a time.

    Parameters
    ----------
    archive : BatchArchive
        Deletes them.
    keep_seconds : float
        From the submission of a batch.
    """

    __slots__ = ('_archive', '_keep_seconds', '_seen_at')

    def __init__(
        self, archive: _archive.BatchArchive, keep_seconds: float
    ) -> None:
        self._archive = archive
        self._keep_seconds = keep_seconds
        self._seen_at: dict[str, float] = {}

    def note_ended(self, batch_id: str, seen_at: float) -> None:
        """Take note that a batch first seen at `seen_at` has ended."""
        self._seen_at.setdefault(batch_id, seen_at)

    def forget(self, batch_id: str) -> None:
        """Take note that a batch is gone from the object store."""
        self._seen_at.pop(batch_id, None)

    async def run(self) -> None:
        """Delete what is too old until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            await self.delete_old(anyio.current_time())

    async def delete_old(self, now: float) -> None:
        """Delete the batches that were seen long enough before `now`."""
        oldest = now - self._keep_seconds - MARGIN_SECONDS
        old = [name for name, seen in self._seen_at.items() if seen < oldest]
        for batch_id in old:
            try:
                await self._archive.delete(batch_id)
            except errors.PlatformError as error:
                LOG.info(
                    'batch not deleted: %s', error, extra={'batch': batch_id}
                )
                return
            LOG.info('batch deleted', extra={'batch': batch_id})
            self.forget(batch_id)
