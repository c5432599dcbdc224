"""What relaying a stream of events needs of a backend server."""

import abc
import collections.abc

import msgspec

from swiftjunction.backends import _server
from swiftjunction.backends import _service

# Of what stands before the first event, and of an answer that is no stream.
NO_EVENT = -1


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes
    ----------
    number : int
        Of the event in the whole stream; numbers increase.
    data : str
        Its part of the text.
    version : int
        The weight version that made it; 0 where that is not known.
    frame : bytes
        The event as it was sent, with the line that ends it.
    """

    number: int
    data: str
    version: int = 0
    frame: bytes = b''


class StreamPosition(msgspec.Struct, frozen=True):
    """The event after which a stream goes on.

    Attributes
    ----------
    number : int
        Of that event; ``NO_EVENT`` for a stream from its beginning.
    version : int
        The weight version that its reader knows; 0 where it knows none.
    """

    number: int = NO_EVENT
    version: int = 0


class ServiceStream(msgspec.Struct, frozen=True):
    """An answer while it comes.

    Attributes
    ----------
    events : async generator of StreamEvent
        To be closed by whoever reads it. An answer that is no stream is one
        event with the number ``NO_EVENT``.
    """

    status: int
    headers: list[tuple[str, str]]
    events: collections.abc.AsyncGenerator[StreamEvent, None]


class StreamTransport(abc.ABC):
    """Opens streams, in the protocol that backend servers speak."""

    __slots__ = ()

    @abc.abstractmethod
    async def open_stream(
        self,
        server: _server.BackendServer,
        call: _service.ServiceCall,
        position: StreamPosition,
    ) -> ServiceStream:
        """Send a request and return its answer from the headers on.

        The events raise ``AnswerBroken`` where the stream ends early.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If it did not run.
        AnswerBroken
            If whether it ran is unknown.
        """
