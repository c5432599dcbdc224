"""How often streams are read.

Reading a stream at each chunk costs a pass through the event loop, the
timers and the socket for a few tokens. A reader that pauses between reads
finds several chunks in one read. The pause grows with the number of streams:
one stream alone is read as it comes, and many share the processor better.
"""

import collections.abc
import contextlib

PAUSE_SECONDS_PER_STREAM = 0.004
MAX_PAUSE_SECONDS = 0.2
# Of the time that an answer has taken so far, so that a short answer is not
# held up by a pause as long as itself.
MAX_PAUSE_SHARE = 0.1


class ReadPacing:
    """Counts the streams of this process and says how long to pause."""

    __slots__ = ('_streams',)

    def __init__(self) -> None:
        self._streams = 0

    def choose_pause(self, elapsed_seconds: float) -> float:
        """Return how long to pause before reading again, in seconds.

        Parameters
        ----------
        elapsed_seconds : float
            Since the stream began.
        """
        return min(
            self._streams * PAUSE_SECONDS_PER_STREAM,
            MAX_PAUSE_SECONDS,
            elapsed_seconds * MAX_PAUSE_SHARE,
        )

    @contextlib.contextmanager
    def count_stream(self) -> collections.abc.Iterator[None]:
        """Count one stream during the body."""
        self._streams += 1
        try:
            yield
        finally:
            self._streams -= 1
