"""Measurement of the event loop's scheduling lag."""

import anyio

LAG_CHECK_INTERVAL_SECONDS = 0.05
SMOOTHING_FACTOR = 0.3
# Approximate number of times that a request waits for the event loop.
LOOP_PASSES_PER_REQUEST = 4
# A latency is attributed to the server only if the lag makes up at most this
# share of it.
MAX_LAG_SHARE = 0.25


class LoopLag:
    """An exponential moving average of the event loop's lag.

    A latency that is measured while the loop lags depends more on this process
    than on the backend server.

    Attributes
    ----------
    average_seconds : float
        The average lag, in seconds.
    """

    __slots__ = ('average_seconds',)

    def __init__(self) -> None:
        self.average_seconds = 0.0

    def distorts(self, latency_seconds: float) -> bool:
        """Return whether lag may make up too much of a measured latency."""
        return (
            self.average_seconds * LOOP_PASSES_PER_REQUEST
            > latency_seconds * MAX_LAG_SHARE
        )

    async def run(self) -> None:
        """Measure the lag until cancelled."""
        while True:
            due = anyio.current_time() + LAG_CHECK_INTERVAL_SECONDS
            await anyio.sleep(LAG_CHECK_INTERVAL_SECONDS)
            lag_seconds = anyio.current_time() - due
            self.average_seconds += SMOOTHING_FACTOR * (
                lag_seconds - self.average_seconds
            )
