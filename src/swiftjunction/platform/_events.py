"""Reads a stream of events as engines send them."""

import collections.abc

import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform import _names

EVENT_END = b'\n\n'


class EventReader:
    """Cuts a stream into events.

    An event is whole when its empty line has come; a stream may break off in
    the middle of one.

    Parameters
    ----------
    version : int
        The weight version that begins the stream.
    peer : str
        Who sends it.
    """

    __slots__ = ('_buffer', '_peer', '_version')

    def __init__(self, version: int, peer: str) -> None:
        self._buffer = b''
        self._version = version
        self._peer = peer

    def feed(
        self, data: bytes
    ) -> collections.abc.Iterator[backends.StreamEvent]:
        """Yield the events that are whole with `data`."""
        self._buffer += data
        while EVENT_END in self._buffer:
            text, _, self._buffer = self._buffer.partition(EVENT_END)
            event = self._parse(text)
            if event is not None:
                yield event

    def check_end(self) -> None:
        """Raise ``AnswerBroken`` if the stream ended within an event."""
        if self._buffer.strip():
            raise errors.AnswerBroken(
                'the stream ended within an event',
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
                    number = int(value)
                elif name == 'data':
                    data.append(value)
                elif name == _names.WEIGHT_VERSIONS:
                    self._version = int(value)
        except ValueError as error:
            raise errors.AnswerBroken(
                f'event not understood: {error}',
                step='generate',
                peer=self._peer,
            ) from error
        if number is None:
            return None
        return backends.StreamEvent(
            number, '\n'.join(data), self._version, text + EVENT_END
        )


def name_version(
    event: backends.StreamEvent, known_version: int
) -> backends.StreamEvent:
    """Return an event that names its version where its reader knows another.

    An engine that goes on with a stream says its version in the headers,
    which the stream's reader does not get.
    """
    line = f'{_names.WEIGHT_VERSIONS}:'.encode()
    if (
        not known_version
        or event.version in (0, known_version)
        or event.frame.startswith(line)
    ):
        return event
    frame = line + str(event.version).encode() + b'\n' + event.frame
    return msgspec.structs.replace(event, frame=frame)
