"""Relays streams of events from backend servers to callers.

Events go on as they come. Where the route allows it, a stream that breaks or
falls silent is taken up by another server after the last event that was
relayed, so that the caller sees one stream without a gap. All other streams
are sent to a second server only while the first one has not run them.
"""

import collections.abc
import contextlib
import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _budget
from swiftjunction.requests import _forwarding
from swiftjunction.requests import _suspects
from swiftjunction import routing

LOG = logging.getLogger(__name__)

# A caller gives a stream up after two seconds without an event; by then
# another server must have gone on with it.
STALL_SECONDS = 1.2


class RelayedStream(msgspec.Struct, frozen=True):
    """A stream of which the first event is there.

    Attributes
    ----------
    status, headers
        Of the first server; they stay when another one goes on.
    first : StreamEvent or None
        None where the stream has no event.
    rest : async generator of StreamEvent
        To be closed by whoever reads it.
    """

    status: int
    headers: list[tuple[str, str]]
    first: backends.StreamEvent | None
    rest: collections.abc.AsyncGenerator[backends.StreamEvent, None]


class _Progress:
    """How far a stream is, over all servers that were tried."""

    __slots__ = (
        'excluded',
        'head',
        'last_error',
        'may_have_run',
        'position',
        'resumable',
    )

    def __init__(
        self, position: backends.StreamPosition, resumable: bool
    ) -> None:
        self.position = position
        self.resumable = resumable
        self.head: backends.ServiceStream | None = None
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.last_error: errors.BackendError | None = None

    def note_event(self, event: backends.StreamEvent) -> None:
        self.position = backends.StreamPosition(event.number, event.version)

    def has_events(self) -> bool:
        return self.position.number > backends.NO_EVENT


class StreamForwarder:
    """Relays streams.

    Parameters
    ----------
    router : Router
        Chooses the server of each attempt.
    streams : StreamTransport
        Opens streams there.
    services : ServiceTransport
        Tells whether a server has crashed.
    budget : RetryBudget
        Bounds the retries of all requests together.
    suspects : SuspectList
        Knows the requests that servers crashed under.
    """

    __slots__ = ('_budget', '_router', '_services', '_streams', '_suspects')

    def __init__(
        self,
        router: routing.Router,
        streams: backends.StreamTransport,
        services: backends.ServiceTransport,
        budget: _budget.RetryBudget,
        suspects: _suspects.SuspectList,
    ) -> None:
        self._router = router
        self._streams = streams
        self._services = services
        self._budget = budget
        self._suspects = suspects

    async def open(
        self,
        call: _forwarding.ForwardedCall,
        resumable: bool,
        after: int = backends.NO_EVENT,
    ) -> RelayedStream:
        """Return a stream when its first event is there.

        Parameters
        ----------
        resumable : bool
            Whether another server may go on with it.
        after : int
            The event after which the caller wants it.

        Raises
        ------
        NotRun
            If the request ran nowhere.
        OutcomeUnknown
            If it may have run. The events raise it, too.
        RequestTimeout
            If there is no event within the time allowed.
        """
        self._budget.note_request()
        self._suspects.check(call.fingerprint)
        progress = _Progress(backends.StreamPosition(after), resumable)
        events = self._run(call, progress)
        first = await anext(events, None)
        assert progress.head is not None
        return RelayedStream(
            progress.head.status, progress.head.headers, first, events
        )

    async def _run(
        self, call: _forwarding.ForwardedCall, progress: _Progress
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        for _ in range(call.max_attempts):
            if not self._may_try(progress):
                break
            alone = self._suspects.check(call.fingerprint)
            try:
                async with contextlib.aclosing(
                    self._attempt(call, progress, alone)
                ) as events:
                    async for event in events:
                        yield event
                if alone:
                    self._suspects.clear(call.fingerprint)
                return
            except errors.BackendError as error:
                self._note_failure(call, progress, error)
                if progress.may_have_run and not progress.resumable:
                    break
        raise _describe_failure(progress)

    def _may_try(self, progress: _Progress) -> bool:
        # Going on with a stream makes only the events that are missing, which
        # adds no load; beginning again does.
        return (
            progress.last_error is None
            or progress.has_events()
            or self._budget.take_retry()
        )

    async def _attempt(
        self,
        call: _forwarding.ForwardedCall,
        progress: _Progress,
        alone: bool,
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        server = await self._choose(call, progress, alone)
        progress.excluded.add(server.name)
        began = self._suspects.now()
        latency_timer = server.start_latency_timer()
        with (
            server.track(),
            server.reserve() if alone else contextlib.nullcontext(),
        ):
            try:
                stream = await self._open(call, server, progress)
                if progress.head is None:
                    progress.head = stream
                async with contextlib.aclosing(stream.events) as events:
                    while True:
                        event = await self._read(
                            call, server, events, progress
                        )
                        latency_timer.stop()
                        if event is None:
                            break
                        if self._is_new(event, progress):
                            progress.note_event(event)
                            yield event
            except errors.BackendUnreachable:
                server.record_failure()
                raise
            except errors.AnswerBroken:
                server.record_failure()
                if await self._services.is_crashed(server):
                    self._suspects.note_crash(
                        call.fingerprint, server.name, began
                    )
                raise
            finally:
                latency_timer.stop()
        server.record_success()

    def _is_new(
        self, event: backends.StreamEvent, progress: _Progress
    ) -> bool:
        return (
            event.number == backends.NO_EVENT
            or event.number > progress.position.number
        )

    async def _choose(
        self,
        call: _forwarding.ForwardedCall,
        progress: _Progress,
        alone: bool,
    ) -> backends.BackendServer:
        request = routing.RoutingRequest(
            path=call.path,
            service=call.settings.service or '',
            excluded=frozenset(progress.excluded),
            alone=alone,
            request_class=call.settings.request_class or 'live',
            deadline=call.deadline,
        )
        try:
            return await self._router.acquire(
                request, call.settings.policy or ''
            )
        except errors.NotRun as error:
            if progress.last_error is None:
                raise
            # A refusal now does not undo an attempt that ran.
            LOG.info('no further server: %s', error)
            raise _describe_failure(progress) from error

    async def _open(
        self,
        call: _forwarding.ForwardedCall,
        server: backends.BackendServer,
        progress: _Progress,
    ) -> backends.ServiceStream:
        remaining_seconds = _find_remaining(call)
        service_call = msgspec.structs.replace(
            call.service_call, timeout_seconds=remaining_seconds
        )
        limit_seconds = _find_limit(call, progress)
        with anyio.move_on_after(limit_seconds):
            return await self._streams.open_stream(
                server, service_call, progress.position
            )
        raise _describe_silence(call, server, limit_seconds)

    async def _read(
        self,
        call: _forwarding.ForwardedCall,
        server: backends.BackendServer,
        events: collections.abc.AsyncGenerator[backends.StreamEvent, None],
        progress: _Progress,
    ) -> backends.StreamEvent | None:
        limit_seconds = _find_limit(call, progress)
        with anyio.move_on_after(limit_seconds):
            return await anext(events, None)
        raise _describe_silence(call, server, limit_seconds)

    def _note_failure(
        self,
        call: _forwarding.ForwardedCall,
        progress: _Progress,
        error: errors.BackendError,
    ) -> None:
        progress.last_error = error
        progress.may_have_run |= isinstance(error, errors.AnswerBroken)
        LOG.info(
            'stream attempt failed: %s',
            error,
            extra={
                'request_id': call.service_call.request_id,
                'last_event': progress.position.number,
            },
        )


def _find_remaining(call: _forwarding.ForwardedCall) -> float:
    return max(call.deadline - anyio.current_time(), 0.0)


def _find_limit(call: _forwarding.ForwardedCall, progress: _Progress) -> float:
    """Return how long to wait for the next event, in seconds.

    The silence of a server is no reason to end a stream that no other server
    may go on with.
    """
    remaining_seconds = _find_remaining(call)
    if progress.resumable:
        return min(remaining_seconds, STALL_SECONDS)
    return remaining_seconds


def _describe_silence(
    call: _forwarding.ForwardedCall,
    server: backends.BackendServer,
    limit_seconds: float,
) -> errors.SwiftjunctionError:
    if not _find_remaining(call):
        return errors.RequestTimeout(
            'the stream did not end within the time allowed',
            step='stream',
            peer=server.name,
        )
    return errors.AnswerBroken(
        f'no event within {limit_seconds:.3f} s',
        step='stream',
        peer=server.name,
    )


def _describe_failure(progress: _Progress) -> errors.RequestError:
    error = progress.last_error
    assert error is not None
    kind = errors.OutcomeUnknown if progress.may_have_run else errors.NotRun
    return kind(error.message, step=error.step, peer=error.peer)
