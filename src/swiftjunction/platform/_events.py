"""Parses the server-sent events of engines."""

import collections.abc

import msgspec

from swiftjunction import backends
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import web

EVENT_SEPARATOR = b'\n\n'
MAX_NUMBER_CHARS = 32


class EventParser:
    """Incremental parser of an event stream.

    An event is complete once its terminating empty line has arrived; a
    connection may fail in the middle of an event.

    Parameters
    ----------
    version : int
        Weight version in effect at the start of the stream.
    peer : str
        Name of the server that sends the stream.
    """

    __slots__ = ('_buffer', '_peer', '_version')

    def __init__(self, version: int, peer: str) -> None:
        self._buffer = bytearray()
        self._version = version
        self._peer = peer

    def feed(
        self, data: bytes
    ) -> collections.abc.Iterator[backends.StreamEvent]:
        """Yield the events that `data` completes.

        Raises
        ------
        AnswerBroken
            If an event is invalid, or over ``web.MAX_EVENT_BYTES`` without its
            end.
        """
        # A separator may begin with the last byte received before.
        search_from = max(len(self._buffer) - 1, 0)
        self._buffer += data
        begin = 0
        while True:
            end = self._buffer.find(EVENT_SEPARATOR, search_from)
            if end < 0:
                break
            text = bytes(self._buffer[begin:end])
            begin = search_from = end + len(EVENT_SEPARATOR)
            event = self._parse(text)
            if event is not None:
                yield event
        del self._buffer[:begin]
        if len(self._buffer) > web.MAX_EVENT_BYTES:
            raise errors.AnswerBroken(
                f'event exceeds {web.MAX_EVENT_BYTES} bytes',
                step='generate',
                peer=self._peer,
            )

    def check_complete(self) -> None:
        """Raise ``AnswerBroken`` if the stream ended inside an event."""
        if self._buffer.strip():
            raise errors.AnswerBroken(
                'the stream ended inside an event',
                step='generate',
                peer=self._peer,
            )

    def _parse(self, text: bytes) -> backends.StreamEvent | None:
        number: int | None = None
        data: list[str] = []
        try:
            for line in text.decode().split('\n'):
                name, _, value = line.partition(':')
                value = value.removeprefix(' ')
                if name == 'id':
                    number = parse_number(value)
                elif name == 'data':
                    data.append(value)
                elif name == _names.WEIGHT_VERSIONS_HEADER:
                    self._version = parse_number(value)
        except ValueError as error:
            raise errors.AnswerBroken(
                f'invalid event: {error}',
                step='generate',
                peer=self._peer,
            ) from error
        if number is None:
            return None
        return backends.StreamEvent(
            number, '\n'.join(data), self._version, text + EVENT_SEPARATOR
        )


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
    if (
        not known_version
        or event.version in (0, known_version)
        or event.frame.startswith(line)
    ):
        return event
    frame = line + str(event.version).encode() + b'\n' + event.frame
    return msgspec.structs.replace(event, frame=frame)
