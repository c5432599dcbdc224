"""How late this process's own event loop is."""

import anyio

CHECK_INTERVAL_SECONDS = 0.05
WEIGHT = 0.3
# A request passes the loop about so often from its start to its answer.
PASSES = 4
# Of a latency that is mostly the server's own, this much may be ours.
MAX_OWN_SHARE = 0.25


class LoopLag:
    """A running mean of the loop's lag.

    A latency that is measured while the loop is late says more of this
    process than of the backend server.

    Attributes
    ----------
    seconds : float
        The mean of late.
    """

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        self.seconds = 0.0

    def distorts(self, latency_seconds: float) -> bool:
        """Tell whether too much of a latency is this process's own."""
        return self.seconds * PASSES > latency_seconds * MAX_OWN_SHARE

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = anyio.current_time() + CHECK_INTERVAL_SECONDS
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            late_seconds = anyio.current_time() - due
            self.seconds += WEIGHT * (late_seconds - self.seconds)
