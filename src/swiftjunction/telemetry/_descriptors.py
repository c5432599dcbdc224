"""Writes to file descriptors that never block."""

import collections.abc
import contextlib
import os
import select

# A pipe that polls as writable accepts this many bytes without blocking.
CHUNK_BYTES = 4096
STANDARD_ERROR = 2
STANDARD_DESCRIPTORS = (0, 1, STANDARD_ERROR)


def write_available(descriptor: int, data: bytes) -> int:
    """Write as much of `data` as a descriptor accepts at once.

    Returns
    -------
    int
        The number of bytes written; 0 if a pipe is full.

    Raises
    ------
    OSError
        If the descriptor is closed, or has no reader, before anything is
        written.
    """
    written = 0
    while written < len(data):
        try:
            if not _is_writable(descriptor):
                break
            chunk = data[written : written + CHUNK_BYTES]
            written += os.write(descriptor, chunk)
        except BlockingIOError:
            break
        except OSError:
            if not written:
                raise
            break
    return written


def report(lines: collections.abc.Iterable[str]) -> None:
    """Write lines to standard error, as far as it accepts them."""
    data = ''.join(f'{line}\n' for line in lines)
    with contextlib.suppress(OSError):
        write_available(
            STANDARD_ERROR, data.encode('utf-8', 'backslashreplace')
        )


def open_missing_descriptors() -> None:
    """Open the standard descriptors that the process was started without.

    A socket would otherwise get the number of one, and receive log lines.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # Gets the lowest free number, which is this one.
            os.open(os.devnull, os.O_RDWR)


def _is_writable(descriptor: int) -> bool:
    """Return whether a write does not block; it may fail."""
    # Unlike select, poll takes descriptors above 1023.
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))
