"""Interface for relaying event streams of backend servers."""

import abc
import collections.abc

import msgspec

from swiftjunction.backends import _server
from swiftjunction.backends import _service

# As a position: before the first numbered event. As the number of an event: it
# has none, or holds a complete response that is not an event stream.
NO_EVENT = -1


class StreamEvent(msgspec.Struct, frozen=True):
    """An event of a stream, or another block of it.

    Attributes
    ----------
    number : int
        The number of the event in the stream, or ``NO_EVENT``; numbers
        increase, by one in a stream that is resumed.
    data : str
        The text of the event.
    version : int
        The weight version that generated it; 0 if not known.
    frame : bytes
        The event as received, including the blank line that ends it.
    is_event : bool
        False for a block that the reader of the stream gets no event for, such
        as a comment that keeps the connection open.
    """

    number: int
    data: str
    version: int = 0
    frame: bytes = b''
    is_event: bool = True


class StreamPosition(msgspec.Struct, frozen=True):
    """The position after which a stream continues.

    Attributes
    ----------
    number : int
        The number of the last event received; ``NO_EVENT`` for the start of
        the stream.
    version : int
        The last weight version that the reader received; 0 for none.
    """

    number: int = NO_EVENT
    version: int = 0


class ServiceStream(msgspec.Struct, frozen=True):
    """A response whose body is still being received.

    Attributes
    ----------
    events : async generator of StreamEvent
        A response that is not an event stream is yielded as a single event
        with the number ``NO_EVENT``.
    has_events : bool
        Whether it is a success whose body is an event stream.
    close : callable
        Closes the response, also if no event was read.
    """

    status: int
    headers: list[tuple[str, str]]
    events: collections.abc.AsyncGenerator[StreamEvent, None]
    has_events: bool
    close: collections.abc.Callable[[], collections.abc.Awaitable[None]]

    async def aclose(self) -> None:
        """Close the events and the response; the reader must call it."""
        await self.events.aclose()
        # An async generator that was never read does not run its own cleanup.
        await self.close()


class StreamTransport(abc.ABC):
    """Opens event streams in the protocol of the backend servers."""

    __slots__ = ()

    @abc.abstractmethod
    async def open_stream(
        self,
        server: _server.BackendServer,
        call: _service.ServiceCall,
        position: StreamPosition,
    ) -> ServiceStream:
        """Send a request and return the response once its headers arrive.

        Reading the events raises ``AnswerBroken`` if the stream ends early.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If the request did not run.
        AnswerBroken
            If it is unknown whether the request ran.
        """
