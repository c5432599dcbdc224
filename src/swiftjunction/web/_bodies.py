"""Bounds on the bodies of responses."""

import collections.abc
import math
import time

import httpx

from swiftjunction.web import _heads
from swiftjunction.web import _steps

# The longest lists come from peers in one piece, and have several MB.
MAX_BODY_BYTES = 32 * 1024 * 1024
# A body of a few MB on a slow link takes this long. A longer read timeout
# applies instead.
MIN_BODY_SECONDS = 5.0
# The key of the request extension that holds another bound than
# `MAX_BODY_BYTES`, in bytes.
MAX_BODY_EXTENSION = 'max_body_bytes'
# For responses with a short body or none: health, orders, cancellations.
MAX_SHORT_BODY_BYTES = 64 * 1024
SHORT_BODY = {MAX_BODY_EXTENSION: MAX_SHORT_BODY_BYTES}
# For event streams. Their readers bound each event and the time between two.
UNBOUNDED_STREAM = {MAX_BODY_EXTENSION: math.inf}
EVENT_STREAM_TYPE = 'text/event-stream'


def bound_body(
    body: httpx.AsyncByteStream, response: httpx.Response
) -> collections.abc.AsyncIterator[bytes]:
    """Return an iterator over `body` that fails if it is too long or slow.

    Only an event stream is not bounded, and only if the request was sent with
    `UNBOUNDED_STREAM`: it has no fixed length.

    Raises
    ------
    httpx.RemoteProtocolError
        While iterating, if there are too many bytes.
    httpx.ReadTimeout
        While iterating, if the body takes too long in total.
    """
    content_type = response.headers.get('content-type', '')
    max_bytes = response.request.extensions.get(
        MAX_BODY_EXTENSION, MAX_BODY_BYTES
    )
    if max_bytes == math.inf:
        if content_type.startswith(EVENT_STREAM_TYPE):
            return _take_turns(body, response)
        max_bytes = MAX_BODY_BYTES
    chunks = _take_turns(body, response)
    return _iterate(chunks, response.request, max_bytes)


async def _take_turns(
    body: httpx.AsyncByteStream, response: httpx.Response
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the chunks of `body`, with turns of the event loop in between.

    A single read yields thousands of chunks if they have one byte each.
    """
    network_stream = response.extensions['network_stream']
    assert isinstance(network_stream, _heads.HeadBoundStream)
    steps = _steps.StepCounter()
    async for chunk in body:
        await steps.record(network_stream.reads)
        yield chunk


async def _iterate(
    body: collections.abc.AsyncIterator[bytes],
    request: httpx.Request,
    max_bytes: float,
) -> collections.abc.AsyncIterator[bytes]:
    read_seconds = request.extensions['timeout']['read']
    # The read timeout starts again with each byte.
    max_seconds = (
        math.inf
        if read_seconds is None
        else max(read_seconds, MIN_BODY_SECONDS)
    )
    size = 0
    ends_at = time.monotonic() + max_seconds
    async for chunk in body:
        size += len(chunk)
        if size > max_bytes:
            raise httpx.RemoteProtocolError(
                f'response body exceeds {max_bytes} bytes', request=request
            )
        if time.monotonic() > ends_at:
            raise httpx.ReadTimeout(
                f'no complete body within {max_seconds:.3f} s',
                request=request,
            )
        yield chunk
