"""Bounds on the memory that the bodies of requests take."""

import collections.abc
import contextlib

import anyio
import starlette.requests

from swiftjunction import errors
from swiftjunction import web

# Small bodies have a part of the budget for themselves, so that large ones
# never keep them out.
LARGE_SHARE = 0.8
LARGE_BODY_BYTES = 1024 * 1024
# The rest of a refused body is read for this long, as a connection that is
# closed before may lose the response.
MAX_DISCARD_SECONDS = 1.0


class BodyReader:
    """Reads the bodies of requests within limits on each and on all.

    Parameters
    ----------
    budget : MemoryBudget
        Bounds what is held for all clients, for requests that did not come
        over a connection with an account.
    """

    __slots__ = ('_budget',)

    def __init__(self, budget: web.MemoryBudget) -> None:
        self._budget = budget

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
            If it has more than `max_bytes`, or more than large bodies may
            have together.
        NotRun
            If all bodies in progress are too large in total, or the body is
            not complete before the deadline.
        """
        account = web.get_account() or self._budget.open_account()
        largest = int(account.budget.limit_bytes * LARGE_SHARE)
        body = _Body(account.open_hold(), min(max_bytes, largest))
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


class _Body:
    """The parts of a body that have been received."""

    def __init__(self, hold: web.MemoryHold, max_bytes: int) -> None:
        self._hold = hold
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []

    def check_length(self, length: str) -> None:
        """Check the length that the caller announces, if it does."""
        if length.isascii() and length.isdecimal():
            # hypercorn accepts no more than 20 digits.
            self._check_size(int(length))

    def append(self, part: bytes) -> None:
        """Add a part.

        Raises
        ------
        BodyTooLarge
            If the body has too many bytes.
        NotRun
            If all bodies in progress have.
        """
        size = self._hold.size + len(part)
        self._check_size(size)
        share = LARGE_SHARE if size > LARGE_BODY_BYTES else 1.0
        if not self._hold.try_grow(len(part), share):
            raise errors.NotRun(
                'the bodies of all requests are too large in total',
                step='body',
            )
        self._parts.append(part)

    def join(self) -> bytes:
        """Return the whole body, and keep no part of it."""
        parts, self._parts = self._parts, []
        return b''.join(parts)

    def release(self) -> None:
        """Keep nothing of the body."""
        self._parts.clear()
        self._hold.release()

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            raise errors.BodyTooLarge(
                f'request body exceeds {self._max_bytes} bytes', step='body'
            )


async def _discard(chunks: collections.abc.AsyncIterator[bytes]) -> None:
    with anyio.move_on_after(MAX_DISCARD_SECONDS):
        async for _ in chunks:
            pass
