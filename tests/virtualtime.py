"""Event loop whose clock advances as soon as no task is ready."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout is None:
            raise AssertionError(
                'deadlock: no task is ready and no timer is set'
            )
        if not events and timeout:
            self.now += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Skips waits: `time` is the sum of the timeouts that were due."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now
