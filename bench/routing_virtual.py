"""An event loop whose time is counted, not waited for.

Whenever every task waits, the clock jumps to the next timer. A run is as fast
as its work, gives the same result each time, and does not depend on what else
the machine does.
"""

import asyncio
import collections.abc
import selectors
import typing

import anyio


class _JumpingSelector(selectors.SelectSelector):
    """Adds each wait to a clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('every task waits, and none for a time')
        self.now += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop; :meth:`time` starts at 0."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual time in seconds."""
        return self._jumping.now


def run(
    task: collections.abc.Callable[
        ..., collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ],
    *args: object,
) -> typing.Any:
    """Run `task` in virtual time and return its result."""
    return anyio.run(
        task, *args, backend_options={'loop_factory': VirtualLoop}
    )
