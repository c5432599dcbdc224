"""The phases of a graceful shutdown, and how long each takes."""

import anyio

from swiftjunction import telemetry


class ShutdownPhases:
    """Measures the phases of a shutdown, one after the other.

    Parameters
    ----------
    metrics : Metrics
        Counts the seconds of each phase.
    """

    __slots__ = ('_began_at', '_metrics', '_name', '_seconds')

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self._metrics = metrics
        self._name = ''
        self._began_at = 0.0
        self._seconds: dict[str, float] = {}

    def begin(self, name: str) -> None:
        """Begin a phase, which ends the one before."""
        self.end()
        self._name = name
        self._began_at = anyio.current_time()

    def end(self) -> None:
        """End the phase in progress."""
        if not self._name:
            return
        seconds = anyio.current_time() - self._began_at
        self._seconds[self._name] = seconds
        self._metrics.count('shutdown_seconds', seconds, phase=self._name)
        self._name = ''

    def summarize(self) -> dict[str, float]:
        """Return the seconds of all phases that have ended."""
        return {
            name: round(seconds, 3) for name, seconds in self._seconds.items()
        }
