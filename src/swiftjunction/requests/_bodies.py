"""Bounds on the memory that the bodies of requests take."""

import collections.abc
import contextlib

import anyio
import starlette.requests

from swiftjunction import errors

# What all bodies in progress take together. Small ones have a part of it for
# themselves, so that large ones never keep them out.
MAX_TOTAL_BYTES = 80 * 1024 * 1024
MAX_LARGE_TOTAL_BYTES = 64 * 1024 * 1024
LARGE_BODY_BYTES = 1024 * 1024
# The rest of a refused body is read for this long, as a connection that is
# closed before may lose the response.
MAX_DISCARD_SECONDS = 1.0


class BodyReader:
    """Reads the bodies of requests within limits on each and on all."""

    __slots__ = ('_held_bytes',)

    def __init__(self) -> None:
        self._held_bytes = 0

    async def read(
        self,
        request: starlette.requests.Request,
        max_bytes: int,
        deadline: float,
        stack: contextlib.ExitStack,
    ) -> bytes:
        """Return the whole body of a request.

        It counts as in progress until `stack` is closed.

        Raises
        ------
        BodyTooLarge
            If it has more than `max_bytes` or `MAX_LARGE_TOTAL_BYTES`.
        NotRun
            If all bodies in progress are too large in total, or the body is
            not complete before the deadline.
        """
        body = _Body(self, min(max_bytes, MAX_LARGE_TOTAL_BYTES))
        stack.callback(body.release)
        chunks = request.stream()
        try:
            body.check_length(request.headers.get('content-length', ''))
            with anyio.move_on_at(deadline):
                async for chunk in chunks:
                    body.append(chunk)
                return body.join()
        except errors.RequestError:
            body.release()
            await _discard(chunks)
            raise
        raise errors.NotRun('the body is not complete in time', step='body')

    def hold(self, size: int, total_bytes: int) -> None:
        """Count bytes that belong to a body of `total_bytes` so far.

        Raises
        ------
        NotRun
            If all bodies in progress are too large in total.
        """
        is_large = total_bytes > LARGE_BODY_BYTES
        limit = MAX_LARGE_TOTAL_BYTES if is_large else MAX_TOTAL_BYTES
        if self._held_bytes + size > limit:
            raise errors.NotRun(
                'the bodies of all requests are too large in total',
                step='body',
            )
        self._held_bytes += size

    def release(self, size: int) -> None:
        """Count bytes no longer."""
        self._held_bytes -= size


class _Body:
    """The parts of a body that have been received."""

    def __init__(self, reader: BodyReader, max_bytes: int) -> None:
        self._reader = reader
        self._max_bytes = max_bytes
        self._size = 0
        self._parts: list[bytes] = []

    def check_length(self, length: str) -> None:
        """Check the length that the caller announces, if it does."""
        if length.isascii() and length.isdecimal():
            # hypercorn accepts no more than 20 digits.
            self._check_size(int(length))

    def append(self, part: bytes) -> None:
        self._check_size(self._size + len(part))
        self._reader.hold(len(part), self._size + len(part))
        self._size += len(part)
        self._parts.append(part)

    def join(self) -> bytes:
        parts, self._parts = self._parts, []
        return b''.join(parts)

    def release(self) -> None:
        size, self._size = self._size, 0
        self._parts.clear()
        self._reader.release(size)

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            raise errors.BodyTooLarge(
                f'request body exceeds {self._max_bytes} bytes', step='body'
            )


async def _discard(chunks: collections.abc.AsyncIterator[bytes]) -> None:
    with anyio.move_on_after(MAX_DISCARD_SECONDS):
        async for _ in chunks:
            pass
