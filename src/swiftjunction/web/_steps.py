"""Turns of the event loop between the steps of a long run.

One read of a connection can bring thousands of chunks or events. They are
handled one after the other without waiting for anything, so that nothing else
runs meanwhile.
"""

import anyio
import anyio.lowlevel

# Few enough for a short turn, and enough that the turns cost little.
STEPS_PER_TURN = 128

# Its holder waits for a turn of the event loop. The others queue, so that the
# length of a turn does not grow with the number of runs.
_turns = anyio.Lock()


class StepCounter:
    """Interrupts a run of steps after each ``STEPS_PER_TURN`` of them.

    However many runs are interrupted at a time, one of them goes on in a turn
    of the event loop.
    """

    __slots__ = ('_run', '_steps')

    def __init__(self) -> None:
        self._run = 0
        self._steps = 0

    async def record(self, run: int = 0) -> None:
        """Record a step, and let other work go on if it is time for that.

        Parameters
        ----------
        run : int
            Number of the run. A new one begins where something else was
            waited for.
        """
        if run != self._run:
            self._run = run
            self._steps = 0
        self._steps += 1
        if self._steps < STEPS_PER_TURN:
            return
        self._steps = 0
        async with _turns:
            await anyio.lowlevel.checkpoint()
