"""Parses the server-sent events of engines."""

import collections.abc

import msgspec

from swiftjunction import backends
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import web

MAX_NUMBER_CHARS = 32
# A block with any of them is an event; other blocks hold comments or the
# reconnection time.
EVENT_FIELDS = frozenset({'data', 'event', 'id'})


class EventParser:
    """Incremental parser of an event stream.

    The frames of what it yields, joined, are the bytes of the stream. An event
    is complete once its terminating empty line has arrived; a connection may
    fail in the middle of an event.

    Parameters
    ----------
    version : int
        Weight version in effect at the start of the stream.
    peer : str
        Name of the server that sends the stream.
    """

    __slots__ = ('_blocks', '_mark', '_peer', '_version')

    def __init__(self, version: int, peer: str) -> None:
        self._blocks = web.BlockSplitter()
        # Valid at the beginning of the stream only.
        self._mark = web.BYTE_ORDER_MARK
        self._version = version
        self._peer = peer

    def feed(
        self, data: bytes
    ) -> collections.abc.Iterator[backends.StreamEvent]:
        """Yield the events, and the other blocks, that `data` completes.

        Raises
        ------
        AnswerBroken
            If an event is invalid, or over ``web.MAX_EVENT_BYTES`` without its
            end.
        """
        try:
            for block in self._blocks.feed(data):
                yield self._parse(block)
        except errors.ContentBroken as error:
            raise self._build_error(error.message) from error

    def finish(self) -> collections.abc.Iterator[backends.StreamEvent]:
        """Yield what follows the last block of a stream that has ended.

        Comments and blank lines need no blank line after them.

        Raises
        ------
        AnswerBroken
            If the stream ended inside an event.
        """
        rest = self._blocks.get_rest()
        if not rest:
            return
        if not all(_is_comment(line) for line in rest.splitlines()):
            raise self._build_error('the stream ended inside an event')
        yield self._parse(rest)

    def _parse(self, block: bytes) -> backends.StreamEvent:
        number = backends.NO_EVENT
        data: list[str] = []
        is_event = False
        text = block.removeprefix(self._mark)
        self._mark = b''
        try:
            for name, value in web.iter_fields(text):
                is_event |= name in EVENT_FIELDS
                if name == 'data':
                    data.append(value)
                elif name == 'id' and value:
                    number = parse_number(value)
                elif name == _names.WEIGHT_VERSIONS_HEADER:
                    self._version = parse_number(value)
        except ValueError as error:
            raise self._build_error(f'invalid event: {error}') from error
        return backends.StreamEvent(
            number, '\n'.join(data), self._version, block, is_event
        )

    def _build_error(self, message: str) -> errors.AnswerBroken:
        return errors.AnswerBroken(message, step='generate', peer=self._peer)


def _is_comment(line: bytes) -> bool:
    return not line or line.startswith(b':')


def parse_number(value: str) -> int:
    """Return the number of an event, or a weight version.

    Raises
    ------
    ValueError
        If it is no number, negative or out of range.
    """
    if len(value) > MAX_NUMBER_CHARS:
        raise ValueError(f'a number has {len(value)} characters')
    number = int(value)
    if not 0 <= number <= decoding.MAX_INTEGER:
        raise ValueError(f'the number {number} is out of range')
    return number


def insert_version(
    event: backends.StreamEvent, known_version: int
) -> backends.StreamEvent:
    """Add the weight version to an event if its reader knows another one.

    An engine that resumes a stream states its version only in the response
    headers, which are not forwarded to the reader of the stream.
    """
    line = f'{_names.WEIGHT_VERSIONS_HEADER}:'.encode()
    begin = web.find_first_line(event.frame)
    if (
        not known_version
        or event.version in (0, known_version)
        or event.frame.startswith(line, begin)
    ):
        return event
    frame = b'%s%s%d\n%s' % (
        event.frame[:begin],
        line,
        event.version,
        event.frame[begin:],
    )
    return msgspec.structs.replace(event, frame=frame)
