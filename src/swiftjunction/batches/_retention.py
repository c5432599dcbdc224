"""Deletes ended batches whose retention time is over."""

import logging

import anyio

from swiftjunction.batches import _archive
from swiftjunction import errors
from swiftjunction import supervision

LOG = logging.getLogger(__name__)

EXPIRY_CHECK_INTERVAL_SECONDS = 5.0
# Allows for late readers, and for callers whose clocks differ from this VM's.
DELETION_MARGIN_SECONDS = 30.0
# Time until a deletion with an unexpected error is tried again.
ERROR_DELAY_SECONDS = 60.0


class Retention:
    """Deletes ended batches after their retention time.

    The time counts from when this process first saw a batch, which is never
    before its submission. A new coordinator may therefore keep batches for
    longer than required, but never for less.

    Parameters
    ----------
    archive : BatchArchive
        Deletes the batches.
    keep_seconds : float
        Minimum time for which results stay readable after the submission of a
        batch.
    supervisor : Supervisor
        Logs and counts unexpected errors.
    """

    __slots__ = ('_archive', '_first_seen_at', '_keep_seconds', '_supervisor')

    def __init__(
        self,
        archive: _archive.BatchArchive,
        keep_seconds: float,
        supervisor: supervision.Supervisor,
    ) -> None:
        self._supervisor = supervisor
        self._archive = archive
        self._keep_seconds = keep_seconds
        self._first_seen_at: dict[str, float] = {}

    def record_ended(self, batch_id: str, first_seen_at: float) -> None:
        """Record that a batch has ended, to delete it later.

        Parameters
        ----------
        first_seen_at : float
            When this process first saw it, on the event loop's clock in
            seconds.
        """
        self._first_seen_at.setdefault(batch_id, first_seen_at)

    def forget(self, batch_id: str) -> None:
        """Record that a batch is no longer in the object store."""
        self._first_seen_at.pop(batch_id, None)

    async def run(self) -> None:
        """Delete expired batches until cancelled."""
        await self._supervisor.run_rounds(
            'delete expired batches',
            lambda: self.delete_expired(anyio.current_time()),
            EXPIRY_CHECK_INTERVAL_SECONDS,
        )

    async def delete_expired(self, now: float) -> None:
        """Delete the ended batches that have expired at `now`.

        After a failure, the rest waits for the next call.
        """
        cutoff = now - self._keep_seconds - DELETION_MARGIN_SECONDS
        expired = [
            batch_id
            for batch_id, seen_at in self._first_seen_at.items()
            if seen_at < cutoff
        ]
        for batch_id in expired:
            try:
                if not await self._delete(batch_id):
                    self._first_seen_at[batch_id] = (
                        cutoff + ERROR_DELAY_SECONDS
                    )
            except errors.PlatformError as error:
                LOG.info(
                    'batch could not be deleted, will retry: %s',
                    error,
                    extra={'batch': batch_id},
                )
                return

    async def _delete(self, batch_id: str) -> bool:
        """Delete a batch; return False after an unexpected error."""
        platform_error: errors.PlatformError | None = None

        async def delete() -> None:
            nonlocal platform_error
            try:
                await self._archive.delete(batch_id)
            except errors.PlatformError as error:
                platform_error = error

        if not await self._supervisor.run_isolated(
            'delete batch', delete, batch=batch_id
        ):
            return False
        if platform_error is not None:
            raise platform_error
        LOG.info('expired batch deleted', extra={'batch': batch_id})
        self.forget(batch_id)
        return True
