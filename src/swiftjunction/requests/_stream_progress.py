"""The state of a relayed stream across its attempts."""

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _stream_place


class StreamProgress:
    """State of a stream across its attempts.

    Parameters
    ----------
    position : StreamPosition
        The last event that the caller has.
    resumable : bool
        Whether another server may resume the stream.
    first_request_id : str
        Id of the caller's attempt that brings, or brought, the first event.
    software : str, optional
        The software version that wrote the events that the caller has.

    Attributes
    ----------
    position : StreamPosition
        The last numbered event that was relayed.
    place : PlaceDigest
        The events without a number that were relayed after it.
    software : str or None
        The software version of the servers that wrote the events, and of each
        server that may go on; None before the first event.
    is_recorded : bool
        Whether the origin of the stream has been recorded.
    is_counted : bool
        Whether the request has been counted as one that began to run.
    first_stream : ServiceStream or None
        The stream of the first server that sent any of its body, whose head
        the caller has; None while the caller has nothing.
    was_opened : bool
        Whether any server has begun to answer.
    excluded : set of str
        Names of the servers that were tried.
    may_have_run : bool
        Whether any server may have run the request.
    last_error : BackendError or None
        Why the last attempt failed.
    """

    __slots__ = (
        'excluded',
        'first_request_id',
        'first_stream',
        'is_counted',
        'is_recorded',
        'last_error',
        'may_have_run',
        'place',
        'position',
        'resumable',
        'software',
        'was_opened',
    )

    def __init__(
        self,
        position: backends.StreamPosition,
        resumable: bool,
        first_request_id: str,
        software: str | None = None,
    ) -> None:
        self.position = position
        self.place = _stream_place.PlaceDigest()
        self.resumable = resumable
        self.first_request_id = first_request_id
        self.software = software
        self.is_counted = False
        self.is_recorded = False
        self.first_stream: backends.ServiceStream | None = None
        self.was_opened = False
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.last_error: errors.BackendError | None = None

    def record_event(
        self,
        event: backends.StreamEvent,
        stream: backends.ServiceStream,
        server: backends.BackendServer,
    ) -> None:
        """Record an event, or another block, that is relayed now."""
        if self.first_stream is None:
            self.first_stream = stream
        if not event.is_event:
            return
        number = event.number
        if number == backends.NO_EVENT:
            self.place.add(event)
            number = self.position.number
        else:
            self.place = _stream_place.PlaceDigest()
        self.position = backends.StreamPosition(number, event.version)
        if self.software is None:
            self.software = server.software

    def has_events(self) -> bool:
        """Return whether the caller has any numbered events."""
        return self.position.number > backends.NO_EVENT
