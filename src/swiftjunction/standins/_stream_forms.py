"""Forms in which engines may send one and the same event stream."""

import collections.abc
import re
import zlib

import msgspec

from swiftjunction.standins import _software

LINE_ENDS = ('\n', '\n', '\r\n', '\r')
COMMENTS = ('', '', ': ping\n\n')
END_MARKS = ('', f'data: {_software.END_DATA}\n\n', 'event: end\n\n')
VERSION_LINE = re.compile(rb'swiftjunction-weight-versions:\d+(\r\n|\n|\r)')
COMMENT_BLOCK = re.compile(rb': ping(\r\n\r\n|\n\n|\r\r)')


class StreamForm(msgspec.Struct, frozen=True):
    """The form of a stream.

    Attributes
    ----------
    line_end : str
        What ends each line.
    comment : str
        Precedes each event; empty for none.
    end_mark : str
        Follows the last event, without a number; empty for none.
    """

    line_end: str = '\n'
    comment: str = ''
    end_mark: str = ''

    def encode(self, text: str) -> bytes:
        """Return a part of the stream, given with LF."""
        return text.replace('\n', self.line_end).encode()

    async def apply(
        self, events: collections.abc.AsyncIterable[bytes]
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield events, given with LF, in this form."""
        async for event in events:
            yield self.encode(self.comment + event.decode())


def choose_form(stream_id: str) -> StreamForm:
    """Return the form of a stream, which is the same at all engines."""
    number = zlib.crc32(stream_id.encode())
    number, line_end = divmod(number, len(LINE_ENDS))
    number, comment = divmod(number, len(COMMENTS))
    return StreamForm(
        LINE_ENDS[line_end],
        COMMENTS[comment],
        END_MARKS[number % len(END_MARKS)],
    )


def remove_additions(body: bytes) -> bytes:
    """Return a body without its comments and lines of weight versions.

    Both depend on the engines that sent the parts of the stream.
    """
    return COMMENT_BLOCK.sub(b'', VERSION_LINE.sub(b'', body))
