"""Reading of the blocks of a server's stream, each event within its time."""

import collections.abc

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _forwarding
from swiftjunction.requests import _stream_progress

# Callers abandon a stream after two seconds without an event, so another
# server must have resumed it by then.
EVENT_TIMEOUT_SECONDS = 1.2


async def read_blocks(
    call: _forwarding.ForwardedCall,
    server: backends.BackendServer,
    stream: backends.ServiceStream,
    progress: _stream_progress.StreamProgress,
) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
    """Yield the blocks of a stream.

    Blocks that are no events, such as comments, are no progress: they do not
    put off the time by which the next event has to come.

    Raises
    ------
    AnswerBroken
        If the stream breaks off, or the next event does not come in time.
    RequestTimeout
        If the deadline of the request passes before the next event.
    """
    while True:
        timeout_seconds = get_event_timeout(call, progress)
        give_up_at = anyio.current_time() + timeout_seconds
        block = None
        while block is None or not block.is_event:
            with anyio.CancelScope(deadline=give_up_at) as scope:
                block = await anext(stream.events, None)
            if scope.cancelled_caught:
                raise build_timeout_error(call, server, timeout_seconds)
            if block is None:
                return
            yield block


def get_remaining_seconds(call: _forwarding.ForwardedCall) -> float:
    """Return the time until the deadline of a request, in seconds."""
    return max(call.deadline - anyio.current_time(), 0.0)


def get_event_timeout(
    call: _forwarding.ForwardedCall, progress: _stream_progress.StreamProgress
) -> float:
    """Return how long to wait for the next event, in seconds.

    A stream that no other server may resume can wait until the deadline, as
    ending it early would only fail the request.
    """
    remaining_seconds = get_remaining_seconds(call)
    if progress.resumable:
        return min(remaining_seconds, EVENT_TIMEOUT_SECONDS)
    return remaining_seconds


def build_timeout_error(
    call: _forwarding.ForwardedCall,
    server: backends.BackendServer,
    timeout_seconds: float,
) -> errors.SwiftjunctionError:
    """Return the error of a server that brings no event in time."""
    if not get_remaining_seconds(call):
        return errors.RequestTimeout(
            'the stream did not end before the deadline of the request',
            step='stream',
            peer=server.name,
        )
    return errors.AnswerBroken(
        f'no event within {timeout_seconds:.3f} s',
        step='stream',
        peer=server.name,
    )
