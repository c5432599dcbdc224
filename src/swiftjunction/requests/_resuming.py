"""Resuming of streams at the software version that began them."""

import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _forwarding
from swiftjunction.requests import _origins
from swiftjunction.requests import _stream_progress

LOG = logging.getLogger(__name__)


class StreamResumer:
    """Records where streams begin, and finds it when a caller resumes one.

    Parameters
    ----------
    origins : OriginRegistry
        Knows where streams began.
    verifier : RunVerifier, optional
        Tells whether servers run what is listed; by default, they do.
    """

    __slots__ = ('_origins', '_verifier')

    def __init__(
        self,
        origins: _origins.OriginRegistry,
        verifier: backends.RunVerifier | None = None,
    ) -> None:
        self._origins = origins
        self._verifier = verifier or backends.ListTrust()

    async def resume(
        self,
        call: _forwarding.ForwardedCall,
        resumable: bool,
        point: _origins.ResumePoint,
    ) -> tuple[_forwarding.ForwardedCall, _stream_progress.StreamProgress]:
        """Return the call at the service that began a stream, and its state.

        Raises
        ------
        StreamNotResumable
            If it is not known where the stream began, or if its route no
            longer allows that service.
        """
        origin = await self._origins.find(point.first_request_id)
        if origin is None:
            raise build_resume_error('it is not known where it began')
        if origin.service not in point.services:
            raise build_resume_error(f'its route does not allow {origin}')
        LOG.info(
            'stream is resumed',
            extra={
                'request_id': call.service_call.request_id,
                'resumes': point.first_request_id,
                'last_event': point.after_number,
                'software': origin.software,
            },
        )
        progress = _stream_progress.StreamProgress(
            backends.StreamPosition(point.after_number),
            resumable,
            point.first_request_id,
            origin.software,
        )
        settings = msgspec.structs.replace(
            call.settings, service=origin.service
        )
        return msgspec.structs.replace(call, settings=settings), progress

    async def check_server(
        self,
        progress: _stream_progress.StreamProgress,
        server: backends.BackendServer,
    ) -> None:
        """Check that a server runs the software that wrote the stream.

        Raises
        ------
        BackendRefused
            If it may have started again with other software.
        """
        if progress.software is not None and not (
            await self._verifier.may_continue(server)
        ):
            raise errors.BackendRefused(
                'the server may run other software than is listed',
                step='resume',
                peer=server.name,
            )

    async def record(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
        server: backends.BackendServer,
        event: backends.StreamEvent,
    ) -> None:
        """Record where a stream began, before its first event is relayed.

        That of a stream that is resumed is recorded again, so that it
        outlives the VMs that had it. A stream of unknown software is not
        recorded, and nobody goes on with it.
        """
        if (
            progress.is_recorded
            or not progress.resumable
            or event.number == backends.NO_EVENT
        ):
            return
        progress.is_recorded = True
        if progress.software is None and not (
            await self._verifier.may_begin(server)
        ):
            progress.software = backends.UNKNOWN_SOFTWARE
            return
        remaining_seconds = max(call.deadline - anyio.current_time(), 0.0)
        await self._origins.record(
            progress.first_request_id,
            _origins.StreamOrigin(
                call.settings.service or '', server.software
            ),
            remaining_seconds + _origins.EXTRA_LIFETIME_SECONDS,
        )


def build_resume_error(reason: str) -> errors.StreamNotResumable:
    """Return the error of a stream that cannot be resumed.

    The caller may request it from its beginning at once.
    """
    return errors.StreamNotResumable(
        f'the stream cannot be resumed: {reason}',
        step='resume',
        retry_after_seconds=0.0,
    )
