"""Opens stored batches, again after errors."""

import collections.abc
import logging

import anyio

from swiftjunction.batches import _archive
from swiftjunction.batches import _open
from swiftjunction.batches import _recent_names
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import supervision

LOG = logging.getLogger(__name__)

READ_RETRY_SECONDS = 0.5
# The delay after an unexpected error doubles each time.
FIRST_ERROR_DELAY_SECONDS = 0.5
MAX_ERROR_DELAY_SECONDS = 30.0

OpenBatch = collections.abc.Callable[
    [_archive.StoredBatch], collections.abc.Awaitable[_open.OpenBatch]
]


class BatchOpener:
    """Opens batches as the object store reports them.

    Parameters
    ----------
    supervisor : Supervisor
        Logs and counts unexpected errors.
    archive : BatchArchive
        Reads the samples of a batch.
    open_batch : callable
        Begins to run a batch.
    known : dict of str to OpenBatch
        The batches in memory, by id.
    ended : RecentNames
        Ids of batches that have ended.
    """

    __slots__ = ('_archive', '_ended', '_known', '_open_batch', '_supervisor')

    def __init__(
        self,
        supervisor: supervision.Supervisor,
        archive: _archive.BatchArchive,
        open_batch: OpenBatch,
        known: collections.abc.Mapping[str, _open.OpenBatch],
        ended: _recent_names.RecentNames,
    ) -> None:
        self._supervisor = supervisor
        self._archive = archive
        self._open_batch = open_batch
        self._known = known
        self._ended = ended

    async def open(self, found: objectstore.Object) -> None:
        """Open a batch that is new or was listed again.

        An unexpected error delays this batch, and no other one.
        """
        batch_id = found.key.removeprefix(_archive.BATCH_PREFIX)
        delay_seconds = FIRST_ERROR_DELAY_SECONDS
        is_handled = False

        async def open_once() -> None:
            nonlocal is_handled
            await self._open(found, batch_id)
            is_handled = True

        while True:
            await self._supervisor.run_isolated(
                'open batch', open_once, batch=batch_id
            )
            if is_handled or batch_id in self._ended:
                return
            await anyio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_ERROR_DELAY_SECONDS)

    async def _open(self, found: objectstore.Object, batch_id: str) -> None:
        while batch_id not in self._known:
            try:
                await self._open_batch(
                    await self._archive.resolve_parts(found)
                )
            except errors.ObjectBroken as error:
                LOG.error('stored batch could not be decoded: %s', error)
                return
            except errors.PlatformError as error:
                LOG.warning(
                    'batch %s could not be read, retrying: %s', batch_id, error
                )
                await anyio.sleep(READ_RETRY_SECONDS)
