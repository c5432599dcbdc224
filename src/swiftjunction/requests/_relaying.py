"""Relaying of event streams from backend servers to callers.

Each block of a stream is relayed as it arrives, byte for byte. A resumable
stream that breaks or stalls is resumed on another server after the last
numbered event, so that the caller sees one stream without a gap. Any other
stream is retried on another server only while no server may have run the
request.
"""

import collections.abc
import contextlib
import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _budget
from swiftjunction.requests import _evidence
from swiftjunction.requests import _forwarding
from swiftjunction.requests import _origins
from swiftjunction.requests import _resuming
from swiftjunction.requests import _runs
from swiftjunction.requests import _stream_part
from swiftjunction.requests import _stream_progress
from swiftjunction.requests import _stream_reading
from swiftjunction.requests import _suspects
from swiftjunction import routing

LOG = logging.getLogger(__name__)


class RelayedStream(msgspec.Struct, frozen=True):
    """An open stream, with its first block if it has one.

    Attributes
    ----------
    status, headers
        From the first server that sent any of the body, also if another server
        resumes the stream.
    first : StreamEvent or None
        The first event or other block; None if the stream has none.
    rest : async generator of StreamEvent
        All that follows. The reader must close it.
    """

    status: int
    headers: list[tuple[str, str]]
    first: backends.StreamEvent | None
    rest: collections.abc.AsyncGenerator[backends.StreamEvent, None]


class StreamRelay:
    """Relays event streams, resuming them on other servers.

    Parameters
    ----------
    router : Router
        Chooses the server of each attempt.
    streams : StreamTransport
        Opens the streams.
    services : ServiceTransport
        Checks whether a server has crashed.
    budget : RetryBudget
        Limits the retries of all requests together.
    suspects : SuspectTracker
        Tracks the requests that may crash servers.
    directory : Directory, optional
        Tells which servers have ended.
    resumer : StreamResumer, optional
        Knows where streams began; by default, those of this relay only.
    runs : RunListener, optional
        Counts the requests of organisations that began to run.
    """

    __slots__ = (
        '_budget',
        '_observer',
        '_resumer',
        '_router',
        '_runs',
        '_streams',
        '_suspects',
    )

    def __init__(
        self,
        router: routing.Router,
        streams: backends.StreamTransport,
        services: backends.ServiceTransport,
        budget: _budget.RetryBudget,
        suspects: _suspects.SuspectTracker,
        directory: backends.Directory | None = None,
        resumer: _resuming.StreamResumer | None = None,
        runs: _runs.RunListener | None = None,
    ) -> None:
        self._runs = runs or _runs.NoRunListener()
        self._resumer = resumer or _resuming.StreamResumer(
            _origins.LocalOrigins()
        )
        self._observer = _evidence.CrashObserver(services, suspects, directory)
        self._router = router
        self._streams = streams
        self._budget = budget
        self._suspects = suspects

    async def open(
        self,
        call: _forwarding.ForwardedCall,
        resumable: bool,
        resume: _origins.ResumePoint | None = None,
    ) -> RelayedStream:
        """Open a stream and wait for its first event or other block.

        Parameters
        ----------
        resumable : bool
            Whether another server may resume the stream.
        resume : ResumePoint, optional
            From where the caller resumes the stream.

        Raises
        ------
        StreamNotResumable
            If it is not known where the stream began, or if no server of that
            software version is left.
        NotRun
            If the request did not run on any server.
        OutcomeUnknown
            If the request may have run. Reading the events raises it too.
        RequestTimeout
            An OutcomeUnknown: if the deadline passes before the first event,
            or, when the events are read, before the stream ends.
        PoisonRefused
            If the request was involved in several crashes of servers. Reading
            the events raises it too.
        """
        self._budget.deposit()
        # Refuses the request here if it must not run at all.
        self._suspects.must_isolate(call.fingerprint)
        if resume is None:
            progress = _stream_progress.StreamProgress(
                backends.StreamPosition(),
                resumable,
                call.service_call.request_id,
            )
        else:
            call, progress = await self._resumer.resume(
                call, resumable, resume
            )
        events = self._run(call, progress)
        first = await anext(events, None)
        assert progress.first_stream is not None
        return RelayedStream(
            progress.first_stream.status,
            progress.first_stream.headers,
            first,
            events,
        )

    async def _run(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        for _ in range(call.max_attempts):
            if not self._try_withdraw_attempt(progress):
                break
            isolated = self._suspects.must_isolate(call.fingerprint)
            try:
                async with contextlib.aclosing(
                    self._attempt(call, progress, isolated)
                ) as events:
                    async for event in events:
                        yield event
                if isolated:
                    self._suspects.clear(call.fingerprint)
                return
            except errors.BackendError as error:
                self._record_failure(call, progress, error)
                if progress.may_have_run and not progress.resumable:
                    break
        raise _build_request_error(progress)

    def _try_withdraw_attempt(
        self, progress: _stream_progress.StreamProgress
    ) -> bool:
        # Resuming a stream produces only the missing events, which adds little
        # load. Starting again adds more, and needs the retry budget.
        return (
            progress.last_error is None
            or progress.has_events()
            or self._budget.try_withdraw()
        )

    async def _attempt(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
        isolated: bool,
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        server = await self._acquire_server(call, progress, isolated)
        progress.excluded.add(server.name)
        async with self._observer.observe(call.fingerprint, server):
            with (
                server.track(),
                server.reserve() if isolated else contextlib.nullcontext(),
            ):
                events = self._read_events(call, progress, server)
                async with contextlib.aclosing(events):
                    async for event in events:
                        yield event
        server.record_success()

    async def _read_events(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
        server: backends.BackendServer,
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        """Yield the events that follow those relayed before."""
        await self._resumer.check_server(progress, server)
        latency_timer = server.start_latency_timer()
        try:
            stream = await self._open_stream(call, server, progress)
            progress.was_opened = True
            part = _stream_part.StreamPart(progress, stream, server)
            async with contextlib.aclosing(stream):
                part.check_head()
                blocks = _stream_reading.read_blocks(
                    call, server, stream, progress
                )
                async with contextlib.aclosing(blocks):
                    async for block in blocks:
                        if block.is_event:
                            latency_timer.stop()
                            self._count_run(call, progress)
                        event = part.accept(block)
                        if event is None:
                            continue
                        await self._resumer.record(
                            call, progress, server, event
                        )
                        part.record_event(event)
                        yield event
                part.check_end()
        except errors.StreamNotContinued:
            server.record_success()
            raise
        except (errors.BackendUnreachable, errors.AnswerBroken):
            server.record_failure()
            raise
        finally:
            latency_timer.stop()

    def _count_run(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
    ) -> None:
        """Count the request with the first event that it brings."""
        if progress.is_counted:
            return
        progress.is_counted = True
        organisation = call.service_call.organisation
        with _runs.track_run(self._runs, organisation) as run:
            run.record_start()

    async def _acquire_server(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
        isolated: bool,
    ) -> backends.BackendServer:
        request = routing.RoutingRequest(
            path=call.path,
            service=call.settings.service or '',
            excluded=frozenset(progress.excluded),
            isolated=isolated,
            request_class=call.settings.request_class or 'live',
            software=progress.software,
            deadline=call.deadline,
            organisation=call.service_call.organisation,
        )
        try:
            return await self._router.acquire(
                request, call.settings.policy or ''
            )
        except errors.NotRun as error:
            if progress.last_error is None:
                if progress.software is not None and type(error) is (
                    errors.NotRun
                ):
                    raise _resuming.build_resume_error(
                        error.message
                    ) from error
                raise
            # NotRun would be wrong if an earlier attempt may have run.
            LOG.info('no other server for the stream: %s', error)
            raise _build_request_error(progress) from error

    async def _open_stream(
        self,
        call: _forwarding.ForwardedCall,
        server: backends.BackendServer,
        progress: _stream_progress.StreamProgress,
    ) -> backends.ServiceStream:
        remaining_seconds = _stream_reading.get_remaining_seconds(call)
        service_call = msgspec.structs.replace(
            call.service_call, timeout_seconds=remaining_seconds
        )
        if progress.was_opened:
            # A server has begun to run the request, so its caller may have the
            # rest of the stream, even if the key has been removed since.
            service_call = msgspec.structs.replace(service_call, check=None)
        timeout_seconds = _stream_reading.get_event_timeout(call, progress)
        with anyio.move_on_after(timeout_seconds):
            return await self._streams.open_stream(
                server, service_call, progress.position
            )
        raise _stream_reading.build_timeout_error(
            call, server, timeout_seconds
        )

    def _record_failure(
        self,
        call: _forwarding.ForwardedCall,
        progress: _stream_progress.StreamProgress,
        error: errors.BackendError,
    ) -> None:
        progress.last_error = error.with_traceback(None)
        progress.may_have_run |= isinstance(
            error, (errors.AnswerBroken, errors.StreamNotContinued)
        )
        LOG.info(
            'stream attempt failed: %s',
            error,
            extra={
                'request_id': call.service_call.request_id,
                'last_event': progress.position.number,
                'software': progress.software,
            },
        )


def _build_request_error(
    progress: _stream_progress.StreamProgress,
) -> errors.RequestError:
    error = progress.last_error
    assert error is not None
    error_type = (
        errors.OutcomeUnknown if progress.may_have_run else errors.NotRun
    )
    return error_type(error.message, step=error.step, peer=error.peer)
