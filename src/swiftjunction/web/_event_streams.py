"""Bounds on event streams that are received."""

import collections.abc
import time

import httpx

# A valid event has the text of a few tokens, at times of some hundred.
MAX_EVENT_BYTES = 256 * 1024
EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')
# A separator may be split over two reads.
MAX_SPLIT_BYTES = 3


class BoundedEventStream(httpx.AsyncByteStream):
    """An event stream that fails if an event has no end or does not come.

    Parameters
    ----------
    stream : httpx.AsyncByteStream
        The stream as received.
    max_gap_seconds : float
        Longest time without an event. The reader calls `record_event` at
        each event, as comments and empty lines are none.
    """

    def __init__(
        self, stream: httpx.AsyncByteStream, max_gap_seconds: float
    ) -> None:
        self._stream = stream
        self._max_gap_seconds = max_gap_seconds
        self._event_at = time.monotonic()

    def record_event(self) -> None:
        """Record that the reader received an event."""
        self._event_at = time.monotonic()

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        event_bytes = 0
        tail = b''
        async for chunk in self._stream:
            data = tail + chunk
            end = max(data.rfind(separator) for separator in EVENT_ENDS)
            event_bytes = (
                event_bytes + len(chunk) if end < 0 else len(data) - end
            )
            tail = data[-MAX_SPLIT_BYTES:]
            if event_bytes > MAX_EVENT_BYTES:
                raise httpx.RemoteProtocolError(
                    f'event exceeds {MAX_EVENT_BYTES} bytes'
                )
            if time.monotonic() - self._event_at > self._max_gap_seconds:
                raise httpx.ReadTimeout(
                    f'no event within {self._max_gap_seconds:.3f} s'
                )
            yield chunk

    async def aclose(self) -> None:
        await self._stream.aclose()


def bound_events(
    response: httpx.Response, max_gap_seconds: float
) -> BoundedEventStream:
    """Bound the events of a response that is not read yet."""
    assert isinstance(response.stream, httpx.AsyncByteStream)
    stream = BoundedEventStream(response.stream, max_gap_seconds)
    response.stream = stream
    return stream
