"""A rate-limited logging handler that never blocks on a full pipe."""

import collections.abc
import logging
import time

from swiftjunction.telemetry import _descriptors

MAX_BYTES_PER_SECOND = 64 * 1024
BURST_BYTES = 4 * MAX_BYTES_PER_SECOND
MIN_LINE_BYTES = 200
DROPPED_LINES_MESSAGE = 'log lines dropped'

Clock = collections.abc.Callable[[], float]


class RateLimitedHandler(logging.Handler):
    """Writes log lines to a file descriptor under a byte rate limit.

    Lines over the limit, and lines that a full pipe does not accept or that
    cannot be formatted or written, are dropped. A warning before the next
    written line gives their number. Nothing is reported for each of them.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to.
    clock : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    dropped_count : int
        Number of lines dropped since the last written line.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._budget_bytes = float(BURST_BYTES)
        self._refilled_at = clock()
        # The unwritten remainder of a partially written line.
        self._remainder = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it and count it."""
        try:
            if self._is_exhausted():
                self.dropped_count += 1
                return
            line = self._encode(record)
            if not self._spend(len(line)) or not self._flush():
                self.dropped_count += 1
                return
            if self.dropped_count:
                line = self._encode(self._make_dropped_record()) + line
            if self._write(line):
                self.dropped_count = 0
            else:
                self.dropped_count += 1
        except Exception:
            self.handleError(record)

    def handleError(self, record: logging.LogRecord) -> None:
        """Count a record that cannot be formatted or written."""
        self.dropped_count += 1

    def _encode(self, record: logging.LogRecord) -> bytes:
        return (self.format(record) + '\n').encode()

    def _make_dropped_record(self) -> logging.LogRecord:
        return logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.WARNING,
                'levelname': 'WARNING',
                'msg': DROPPED_LINES_MESSAGE,
                'count': self.dropped_count,
            }
        )

    def _is_exhausted(self) -> bool:
        """Refill the budget; return whether it is below `MIN_LINE_BYTES`.

        Lines are then dropped without the cost of formatting them.
        """
        now = self._clock()
        refill_bytes = (now - self._refilled_at) * MAX_BYTES_PER_SECOND
        self._budget_bytes = min(
            self._budget_bytes + refill_bytes, BURST_BYTES
        )
        self._refilled_at = now
        return self._budget_bytes < MIN_LINE_BYTES

    def _spend(self, size: int) -> bool:
        if size > self._budget_bytes:
            return False
        self._budget_bytes -= size
        return True

    def _flush(self) -> bool:
        """Write the remainder of the previous line.

        Returns False if the pipe accepts none of it.
        """
        remainder, self._remainder = self._remainder, b''
        return not remainder or self._write(remainder)

    def _write(self, data: bytes) -> bool:
        """Write `data`, and buffer what a full pipe does not accept.

        Returns False if nothing was written.
        """
        written = _descriptors.write_available(self._descriptor, data)
        if written:
            self._remainder = data[written:]
        return bool(written)
