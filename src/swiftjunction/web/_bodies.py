"""Bounds on the bodies of responses."""

import collections.abc
import math
import time

import httpx

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


def bound_body(
    body: httpx.AsyncByteStream, response: httpx.Response
) -> collections.abc.AsyncIterator[bytes]:
    """Return an iterator over `body` that fails if it is too long or slow.

    An event stream is not bounded, as it has no fixed length. Its reader
    bounds its events and the time between them.

    Raises
    ------
    httpx.RemoteProtocolError
        While iterating, if there are too many bytes.
    httpx.ReadTimeout
        While iterating, if the body takes too long in total.
    """
    content_type = response.headers.get('content-type', '')
    if content_type.startswith('text/event-stream'):
        return aiter(body)
    return _iterate(body, response.request)


async def _iterate(
    body: httpx.AsyncByteStream, request: httpx.Request
) -> collections.abc.AsyncIterator[bytes]:
    max_bytes = request.extensions.get(MAX_BODY_EXTENSION, MAX_BODY_BYTES)
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
