"""Reads and ends batches, whichever process runs them."""

import abc
import collections.abc
import logging
import typing

from swiftjunction.batches import _archive
from swiftjunction.batches import _open
from swiftjunction.batches import _runner
from swiftjunction import errors

LOG = logging.getLogger(__name__)

ReturnType = typing.TypeVar('ReturnType')


class BatchAccess(abc.ABC):
    """Interface for reading and ending batches.

    Each method raises ``ObjectMissing`` only if the batch does not exist, and
    another ``PlatformError`` if that could not be determined. For callers of
    one organisation, the batches of others do not exist: `organisation` is its
    name, empty for callers without one, and None if organisations do not
    matter.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def read_results(
        self,
        batch_id: str,
        position: int,
        wait_seconds: float,
        organisation: str | None = None,
    ) -> _open.ResultPage:
        """Return results from `position` on.

        Parameters
        ----------
        wait_seconds : float
            How long to wait for the first result.
        """

    @abc.abstractmethod
    async def read_body(
        self, batch_id: str, sample_id: str, organisation: str | None = None
    ) -> bytes | None:
        """Return the request body of a sample; None if it is not available.

        It is available at least while a batch has not ended and the sample
        has no stored result.
        """

    @abc.abstractmethod
    async def end(
        self, batch_id: str, organisation: str | None = None
    ) -> None:
        """End a batch; this is idempotent."""


class ArchiveAccess(BatchAccess):
    """Accesses batches in the object store.

    It returns only results that are already written, without waiting for
    more.

    Parameters
    ----------
    archive : BatchArchive
        Reads and writes the stored batches.
    """

    __slots__ = ('_archive',)

    def __init__(self, archive: _archive.BatchArchive) -> None:
        self._archive = archive

    async def read_results(
        self,
        batch_id: str,
        position: int,
        wait_seconds: float,
        organisation: str | None = None,
    ) -> _open.ResultPage:
        stored = await self._archive.read(batch_id, organisation)
        blocks = await self._archive.read_results(batch_id)
        results = [result for block in blocks for result in block]
        return _open.make_page(stored.batch.total, results, position)

    async def read_body(
        self, batch_id: str, sample_id: str, organisation: str | None = None
    ) -> bytes | None:
        stored = await self._archive.read(batch_id, organisation)
        for sample in stored.batch.samples:
            if sample.sample_id == sample_id:
                return sample.body
        return None

    async def end(
        self, batch_id: str, organisation: str | None = None
    ) -> None:
        await self._archive.end(batch_id, organisation=organisation)


class RunnerAccess(BatchAccess):
    """Accesses batches in the memory of the process that runs them.

    Batches that are not in memory are read from the object store.

    Parameters
    ----------
    runner : BatchRunner
        Runs the batches.
    archive : BatchArchive
        Reads and writes the stored batches.
    """

    __slots__ = ('_archive', '_archive_access', '_runner')

    def __init__(
        self, runner: _runner.BatchRunner, archive: _archive.BatchArchive
    ) -> None:
        self._runner = runner
        self._archive = archive
        self._archive_access = ArchiveAccess(archive)

    async def read_results(
        self,
        batch_id: str,
        position: int,
        wait_seconds: float,
        organisation: str | None = None,
    ) -> _open.ResultPage:
        open_batch = await self._find(batch_id, organisation)
        if open_batch is None:
            return await self._archive_access.read_results(
                batch_id, position, wait_seconds, organisation
            )
        page = await open_batch.read(position, wait_seconds)
        if page.results or not self._runner.may_lack_results(
            open_batch, position
        ):
            return page
        await self._runner.read_stored_results(open_batch)
        return await open_batch.read(position, 0)

    async def read_body(
        self, batch_id: str, sample_id: str, organisation: str | None = None
    ) -> bytes | None:
        open_batch = await self._find(batch_id, organisation)
        if open_batch is None:
            return await self._archive_access.read_body(
                batch_id, sample_id, organisation
            )
        return open_batch.find_body(sample_id)

    async def end(
        self, batch_id: str, organisation: str | None = None
    ) -> None:
        open_batch = self._runner.batches.get(batch_id)
        if open_batch is None:
            await self._archive_access.end(batch_id, organisation)
        else:
            _archive.check_access(open_batch.batch, organisation)
            if not open_batch.ended:
                known = _archive.StoredBatch(
                    open_batch.batch, open_batch.version
                )
                await self._archive.end(batch_id, known, organisation)
        self._runner.end(batch_id)

    async def _find(
        self, batch_id: str, organisation: str | None
    ) -> _open.OpenBatch | None:
        """Return the batch, opening it if needed.

        None if it has ended and is no longer in memory.
        """
        open_batch = self._runner.batches.get(batch_id)
        if open_batch is not None:
            _archive.check_access(open_batch.batch, organisation)
            return open_batch
        # The watch on the object store reports new batches with a delay.
        stored = await self._archive.read(batch_id, organisation)
        if stored.batch.ended:
            return None
        return await self._runner.open(stored)


class FailoverAccess(BatchAccess):
    """Tries the available ways to access a batch until one succeeds.

    Parameters
    ----------
    access_list : AccessList
        Lists the ways to access batches in the order in which to try them.
    """

    __slots__ = ('_access_list',)

    def __init__(self, access_list: 'AccessList') -> None:
        self._access_list = access_list

    async def read_results(
        self,
        batch_id: str,
        position: int,
        wait_seconds: float,
        organisation: str | None = None,
    ) -> _open.ResultPage:
        return await self._try_each(
            lambda access: access.read_results(
                batch_id, position, wait_seconds, organisation
            )
        )

    async def read_body(
        self, batch_id: str, sample_id: str, organisation: str | None = None
    ) -> bytes | None:
        return await self._try_each(
            lambda access: access.read_body(batch_id, sample_id, organisation)
        )

    async def end(
        self, batch_id: str, organisation: str | None = None
    ) -> None:
        await self._try_each(
            lambda access: access.end(batch_id, organisation), is_write=True
        )

    async def _try_each(
        self,
        call: collections.abc.Callable[
            [BatchAccess], collections.abc.Awaitable[ReturnType]
        ],
        is_write: bool = False,
    ) -> ReturnType:
        """Return the result of the first access that succeeds.

        Without one, this raises the last error. A write that one access may
        have carried out stays uncertain, whatever the others raise.
        """
        last_error: errors.PlatformError = errors.PlatformUnavailable(
            'no way to access the batch is available', step='find batch'
        )
        for access in self._access_list.list_accesses():
            try:
                return await call(access)
            except errors.ObjectMissing:
                raise
            except errors.PlatformError as error:
                LOG.info('batch access failed: %s', error)
                if not is_write or isinstance(
                    last_error, errors.PlatformUnavailable
                ):
                    last_error = error
        try:
            raise last_error
        finally:
            # Its traceback refers to this frame, and the cycle to the request.
            del last_error


class AccessList(abc.ABC):
    """Interface that lists the ways to access batches available now."""

    __slots__ = ()

    @abc.abstractmethod
    def list_accesses(self) -> list[BatchAccess]:
        """Return the ways to access batches, in the order to try them."""
