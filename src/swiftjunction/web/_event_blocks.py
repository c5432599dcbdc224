"""Splits event streams into blocks without changing a byte.

A block is a run of lines up to and including the blank line that ends it. The
blocks of a stream, joined, are the bytes received. Lines end with LF, CRLF or
CR, in any mixture.
"""

import collections.abc
import re

from swiftjunction import errors
from swiftjunction.web import _event_streams

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# The CR of a CRLF is no line end by itself.
BLOCK_END = re.compile(rb'(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)')
# A block end of which the last byte is missing.
MAX_PARTIAL_END_BYTES = 2


class BlockSplitter:
    """Splits a stream into blocks as its bytes arrive.

    A block is returned as soon as it ends. Where it ends with a CR that is the
    last byte received, an LF that follows is a block of its own.
    """

    __slots__ = ('_buffer', '_ended_with_cr')

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._ended_with_cr = False

    def feed(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Yield the blocks that `data` ends.

        Raises
        ------
        ContentBroken
            If a block exceeds ``MAX_EVENT_BYTES`` without its end.
        """
        if not data:
            return
        search_from = max(len(self._buffer) - MAX_PARTIAL_END_BYTES, 0)
        self._buffer += data
        begin = 0
        if self._ended_with_cr and data.startswith(b'\n'):
            begin = search_from = 1
            yield b'\n'
        self._ended_with_cr = False
        while match := BLOCK_END.search(self._buffer, search_from):
            # A match keeps the buffer from being resized below.
            end = search_from = match.end()
            del match
            block = bytes(self._buffer[begin:end])
            begin = end
            self._ended_with_cr = end == len(self._buffer) and (
                block.endswith(b'\r')
            )
            yield block
        del self._buffer[:begin]
        if len(self._buffer) > _event_streams.MAX_EVENT_BYTES:
            raise errors.ContentBroken(
                f'event exceeds {_event_streams.MAX_EVENT_BYTES} bytes'
            )

    def get_rest(self) -> bytes:
        """Return what was received after the last block."""
        return bytes(self._buffer)


def iter_fields(
    block: bytes,
) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield the names and values of a block's fields, without comments.

    The byte order mark of a stream has to be removed before.

    Raises
    ------
    UnicodeDecodeError
        If the block is not UTF-8.
    """
    text = block.decode()
    # splitlines() would split at other characters, too.
    if '\r' in text:
        text = text.replace('\r\n', '\n').replace('\r', '\n')
    for line in text.split('\n'):
        name, _, value = line.partition(':')
        if name:
            yield name, value.removeprefix(' ')


def find_first_line(block: bytes) -> int:
    """Return where the first line that is not blank begins."""
    begin = len(BYTE_ORDER_MARK) if block.startswith(BYTE_ORDER_MARK) else 0
    text = block[begin:]
    return begin + len(text) - len(text.lstrip(b'\r\n'))
