"""Writes log lines to a file descriptor, never waiting for its reader."""

import collections.abc
import logging
import os
import select
import time

MAX_BYTES_PER_SECOND = 64 * 1024
BURST_BYTES = 4 * MAX_BYTES_PER_SECOND
# A pipe that is ready takes so much without a wait.
PIECE_BYTES = 4096
SHORT_LINE_BYTES = 200
LEFT_OUT_MESSAGE = 'log lines left out'

Clock = collections.abc.Callable[[], float]


class RateLimitedHandler(logging.Handler):
    """Writes at most so many bytes a second, and nothing to a full pipe.

    What is left out is counted, and the count is told in the next line that
    is written.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    clock : callable
        Returns seconds of a monotonic clock.

    Attributes
    ----------
    left_out : int
        Lines since the last one that was written.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        super().__init__()
        self.left_out = 0
        self._descriptor = descriptor
        self._clock = clock
        self._budget = float(BURST_BYTES)
        self._filled_at = clock()
        # The end of a line whose beginning is written.
        self._rest = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it."""
        try:
            if self._is_spent():
                self.left_out += 1
                return
            line = self._encode(record)
            if not self._take(len(line)) or not self._flush():
                self.left_out += 1
                return
            if self.left_out:
                line = self._encode(self._make_notice()) + line
            if self._write(line):
                self.left_out = 0
            else:
                self.left_out += 1
        except Exception:
            self.handleError(record)

    def _encode(self, record: logging.LogRecord) -> bytes:
        return (self.format(record) + '\n').encode()

    def _make_notice(self) -> logging.LogRecord:
        return logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.WARNING,
                'levelname': 'WARNING',
                'msg': LEFT_OUT_MESSAGE,
                'count': self.left_out,
            }
        )

    def _is_spent(self) -> bool:
        """Tell whether not even a short line may be written now."""
        now = self._clock()
        gained = (now - self._filled_at) * MAX_BYTES_PER_SECOND
        self._budget = min(self._budget + gained, BURST_BYTES)
        self._filled_at = now
        return self._budget < SHORT_LINE_BYTES

    def _take(self, size: int) -> bool:
        if size > self._budget:
            return False
        self._budget -= size
        return True

    def _flush(self) -> bool:
        """Write the rest of the last line; tell whether it is out."""
        rest, self._rest = self._rest, b''
        return not rest or self._write(rest)

    def _write(self, data: bytes) -> bool:
        """Write `data`; tell whether it is out, or begun and kept."""
        begun = False
        while data:
            if not self._is_ready():
                if begun:
                    self._rest = data
                return begun
            written = os.write(self._descriptor, data[:PIECE_BYTES])
            data = data[written:]
            begun = True
        return True

    def _is_ready(self) -> bool:
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        return bool(ready)
