"""Keeps the need for a write until the write has been completed.

If a write ends with an unexpected error, or is cancelled, the object store may
or may not hold the new value. What was to be written stays in the memory of
its owner, the write stays requested, and the error is passed on: the task that
writes fails, and writes everything when it runs again.
"""

import collections.abc

import anyio


class PendingWrite:
    """Tells a task that writes what other tasks change that there is a change.

    Requests made before a write begins are served by that write.
    """

    __slots__ = ('_requested',)

    def __init__(self) -> None:
        self._requested = anyio.Event()

    def request(self) -> None:
        """Request a write of the current state."""
        self._requested.set()

    async def wait(self) -> None:
        """Wait until a write is requested."""
        await self._requested.wait()

    async def perform(
        self,
        write: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Write the current state; a request meanwhile is for another write.

        If `write` raises any exception, the write is requested again, and the
        exception is passed on.
        """
        self._requested = anyio.Event()
        try:
            await write()
        except BaseException:
            self.request()
            raise
