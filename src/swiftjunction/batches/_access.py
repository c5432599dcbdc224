"""Reading and ending batches, from wherever a caller asks."""

import abc
import collections.abc
import logging
import typing

from swiftjunction.batches import _archive
from swiftjunction.batches import _open_batch
from swiftjunction.batches import _runner
from swiftjunction import errors

LOG = logging.getLogger(__name__)

Answer = typing.TypeVar('Answer')


class BatchAccess(abc.ABC):
    """One way to the batches.

    Each method raises ``ObjectMissing`` only where there is no such batch,
    and another ``PlatformError`` where that is not known.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def read_results(
        self, batch_id: str, position: int, wait_seconds: float
    ) -> _open_batch.ResultPage:
        """Return results from `position` on, waiting for the first one."""

    @abc.abstractmethod
    async def read_body(self, batch_id: str, item_id: str) -> bytes | None:
        """Return the body of a sample without a result; None for others."""

    @abc.abstractmethod
    async def end(self, batch_id: str) -> None:
        """End a batch; ending it again has no effect."""


class ArchiveAccess(BatchAccess):
    """Reads from the object store; it knows what was written, and no more.

    Parameters
    ----------
    archive : BatchArchive
        Where batches are kept.
    """

    __slots__ = ('_archive',)

    def __init__(self, archive: _archive.BatchArchive) -> None:
        self._archive = archive

    async def read_results(
        self, batch_id: str, position: int, wait_seconds: float
    ) -> _open_batch.ResultPage:
        stored = await self._archive.read(batch_id)
        chunks = await self._archive.read_results(batch_id)
        results = [result for chunk in chunks for result in chunk]
        return _open_batch.make_page(stored.batch.total, results, position)

    async def read_body(self, batch_id: str, item_id: str) -> bytes | None:
        stored = await self._archive.read(batch_id)
        for item in stored.batch.items:
            if item.item_id == item_id:
                return item.body
        return None

    async def end(self, batch_id: str) -> None:
        await self._archive.end(batch_id)


class RunnerAccess(BatchAccess):
    """Reads from the memory of the process that runs the batches.

    What it does not have in memory, it takes from the object store.

    Parameters
    ----------
    runner : BatchRunner
        Which runs them.
    archive : BatchArchive
        Where batches are kept.
    """

    __slots__ = ('_archive', '_kept', '_runner')

    def __init__(
        self, runner: _runner.BatchRunner, archive: _archive.BatchArchive
    ) -> None:
        self._runner = runner
        self._archive = archive
        self._kept = ArchiveAccess(archive)

    async def read_results(
        self, batch_id: str, position: int, wait_seconds: float
    ) -> _open_batch.ResultPage:
        opened = await self._find(batch_id)
        if opened is None:
            return await self._kept.read_results(
                batch_id, position, wait_seconds
            )
        return await opened.read(position, wait_seconds)

    async def read_body(self, batch_id: str, item_id: str) -> bytes | None:
        opened = await self._find(batch_id)
        if opened is None:
            return await self._kept.read_body(batch_id, item_id)
        return opened.find_body(item_id)

    async def end(self, batch_id: str) -> None:
        opened = self._runner.batches.get(batch_id)
        if opened is None:
            await self._kept.end(batch_id)
        elif not opened.ended:
            held = _archive.StoredBatch(opened.batch, opened.version)
            await self._archive.end(batch_id, held)
        self._runner.end(batch_id)

    async def _find(self, batch_id: str) -> _open_batch.OpenBatch | None:
        """Return the batch if it is open, or may be opened now."""
        opened = self._runner.batches.get(batch_id)
        if opened is not None:
            return opened
        # A batch that was accepted a moment ago is not known here yet.
        stored = await self._archive.read(batch_id)
        if stored.batch.ended:
            return None
        return await self._runner.open(stored)


class FailoverAccess(BatchAccess):
    """Asks one way, and another one where the first does not answer.

    Parameters
    ----------
    choose : callable
        Returns the ways in the order in which they are to be tried.
    """

    __slots__ = ('_choose',)

    def __init__(self, choose: 'AccessSelector') -> None:
        self._choose = choose

    async def read_results(
        self, batch_id: str, position: int, wait_seconds: float
    ) -> _open_batch.ResultPage:
        return await self._try_ways(
            lambda way: way.read_results(batch_id, position, wait_seconds)
        )

    async def read_body(self, batch_id: str, item_id: str) -> bytes | None:
        return await self._try_ways(
            lambda way: way.read_body(batch_id, item_id)
        )

    async def end(self, batch_id: str) -> None:
        await self._try_ways(lambda way: way.end(batch_id))

    async def _try_ways(
        self,
        ask: collections.abc.Callable[
            [BatchAccess], collections.abc.Awaitable[Answer]
        ],
    ) -> Answer:
        last: errors.PlatformError = errors.PlatformUnavailable(
            'nobody can be asked for the batch', step='find batch'
        )
        for way in self._choose.list_candidates():
            try:
                return await ask(way)
            except errors.ObjectMissing:
                raise
            except errors.PlatformError as error:
                LOG.info('batch not reached: %s', error)
                last = error
        raise last


class AccessSelector(abc.ABC):
    """Says which ways to the batches there are now."""

    __slots__ = ()

    @abc.abstractmethod
    def list_candidates(self) -> list[BatchAccess]:
        """Return the ways, the one to be tried first at the front."""
