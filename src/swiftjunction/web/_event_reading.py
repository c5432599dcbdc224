"""Reading of the events of a stream, as an event source reads them."""

import collections.abc

import httpx
import msgspec

from swiftjunction import errors
from swiftjunction.web import _event_blocks
from swiftjunction.web import _steps


class ServerEvent(msgspec.Struct, frozen=True):
    """An event with data.

    Attributes
    ----------
    name : str
        The kind of the event; empty if it names none.
    data : str
        Its data; several lines are joined by LF.
    """

    name: str
    data: str


async def read_events(
    response: httpx.Response,
) -> collections.abc.AsyncGenerator[ServerEvent, None]:
    """Yield the events of a response whose body is an event stream.

    Blocks without data, such as comments, are no events, nor is what follows
    the last blank line.

    Raises
    ------
    RemoteProtocolError
        If an event is too long, or is not UTF-8.
    """
    splitter = _event_blocks.BlockSplitter()
    # Valid at the beginning of the stream only.
    mark = _event_blocks.BYTE_ORDER_MARK
    try:
        # Not decoded, as a small chunk could become a large one.
        async for data in response.aiter_raw():
            steps = _steps.StepCounter()
            for block in splitter.feed(data):
                await steps.record()
                event = _parse(block.removeprefix(mark))
                mark = b''
                if event is not None:
                    yield event
    except (errors.ContentBroken, UnicodeDecodeError) as error:
        raise httpx.RemoteProtocolError(f'invalid event: {error}') from error


def _parse(block: bytes) -> ServerEvent | None:
    name = ''
    data: list[str] = []
    for field, value in _event_blocks.iter_fields(block):
        if field == 'data':
            data.append(value)
        elif field == 'event':
            name = value
    return ServerEvent(name, '\n'.join(data)) if data else None
