"""Pacing of reads from streams.

Reading each chunk as it arrives costs a pass through the event loop, the
timers and the socket for a few tokens. With a pause between reads, one read
returns several chunks. The pause grows with the number of streams, so a
single stream is read almost immediately and many streams need less processor
time.
"""

import collections.abc
import contextlib

PAUSE_SECONDS_PER_STREAM = 0.004
MAX_PAUSE_SECONDS = 0.2
# Share of the time since the start of the stream, so that a pause does not add
# much to a short response.
MAX_PAUSE_SHARE = 0.1


class ReadPacing:
    """Computes pauses between reads from the number of open streams."""

    __slots__ = ('_streams',)

    def __init__(self) -> None:
        self._streams = 0

    def compute_pause(self, elapsed_seconds: float) -> float:
        """Return the pause before the next read, in seconds.

        Parameters
        ----------
        elapsed_seconds : float
            The time since the start of the stream.
        """
        return min(
            self._streams * PAUSE_SECONDS_PER_STREAM,
            MAX_PAUSE_SECONDS,
            elapsed_seconds * MAX_PAUSE_SHARE,
        )

    @contextlib.contextmanager
    def count_stream(self) -> collections.abc.Iterator[None]:
        """Count a stream as open within the context."""
        self._streams += 1
        try:
            yield
        finally:
            self._streams -= 1
