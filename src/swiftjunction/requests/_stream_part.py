"""The part of a relayed stream that comes from one server.

What a server answers follows what the caller has only if it is the rest of the
same stream: a success that brings events, of which the first numbered one
follows the last that was relayed. Events without a number that the caller has
after that one must be repeated first, and are not relayed again.
"""

import http

import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _stream_place
from swiftjunction.requests import _stream_progress
from swiftjunction import web


class StreamPart:
    """The part that one server sends, checked before it is relayed.

    Parameters
    ----------
    progress : StreamProgress
        The state of the stream, of which this part is the next.
    stream : ServiceStream
        What the server answers.
    """

    __slots__ = (
        '_is_empty',
        '_mark',
        '_progress',
        '_repeated',
        '_resumes',
        '_server',
        '_stream',
    )

    def __init__(
        self,
        progress: _stream_progress.StreamProgress,
        stream: backends.ServiceStream,
        server: backends.BackendServer,
    ) -> None:
        self._progress = progress
        self._stream = stream
        self._server = server
        self._resumes = progress.has_events()
        self._repeated = _stream_place.RepeatedEvents(progress.place)
        self._is_empty = True
        # Valid at the beginning of the response only.
        follows = progress.first_stream is not None
        self._mark = web.BYTE_ORDER_MARK if follows else b''

    def check_head(self) -> None:
        """Check that the answer may follow what the caller has.

        Raises
        ------
        StreamNotContinued
            If the caller has a part of the stream, and the answer brings none.
            A caller that resumes a stream itself may have the failure of its
            server, as that comes with its own head.
        """
        stream = self._stream
        first = self._progress.first_stream
        if first is not None:
            continues = stream.has_events and stream.status == first.status
        elif self._resumes:
            continues = stream.has_events or not _is_success(stream.status)
        else:
            continues = True
        if not continues:
            raise self._build_error(
                f'status {stream.status} without the rest of the stream'
            )

    def accept(
        self, event: backends.StreamEvent
    ) -> backends.StreamEvent | None:
        """Return what the caller gets of an event, or of another block.

        Returns
        -------
        StreamEvent or None
            None if the caller has it already.

        Raises
        ------
        AnswerBroken
            If it repeats a numbered event or goes back, or if it skips one
            after a server has taken up the stream.
        StreamNotContinued
            If the events without a number differ from those that the caller
            has.
        """
        if self._is_repeated(event):
            return None
        if event.number != backends.NO_EVENT:
            self._check_number(event)
        return self._remove_mark(event)

    def _is_repeated(self, event: backends.StreamEvent) -> bool:
        if not event.is_event or not self._repeated.are_missing():
            return False
        self._is_empty = False
        if event.number != backends.NO_EVENT or not self._repeated.add(event):
            raise self._build_error(
                'the events without a number are not those sent before'
            )
        return True

    def _remove_mark(
        self, event: backends.StreamEvent
    ) -> backends.StreamEvent:
        """Return the first block without a byte order mark, others as is."""
        mark, self._mark = self._mark, b''
        if not mark or not event.frame.startswith(mark):
            return event
        return msgspec.structs.replace(
            event, frame=event.frame.removeprefix(mark)
        )

    def _check_number(self, event: backends.StreamEvent) -> None:
        last_number = self._progress.position.number
        follows = (
            event.number == last_number + 1
            if self._resumes
            else event.number > last_number
        )
        if not follows:
            raise errors.AnswerBroken(
                f'event {event.number} after event {last_number}',
                step='stream',
                peer=self._server.name,
            )

    def record_event(self, event: backends.StreamEvent) -> None:
        """Record an event, or another block, that is relayed now."""
        if event.is_event:
            self._is_empty = False
        self._progress.record_event(event, self._stream, self._server)

    def check_end(self) -> None:
        """Check that the whole stream may end as complete with this part.

        Raises
        ------
        StreamNotContinued
            If an earlier part broke off, and this one has no events, or not
            those that the caller has already.
        """
        if self._progress.first_stream is None:
            self._progress.first_stream = self._stream
        elif self._is_empty:
            raise self._build_error('the rest of the stream has no events')
        if self._repeated.are_missing():
            raise self._build_error('the stream ends before what was relayed')

    def _build_error(self, message: str) -> errors.StreamNotContinued:
        return errors.StreamNotContinued(
            message, step='resume', peer=self._server.name
        )


def _is_success(status: int) -> bool:
    return http.HTTPStatus.OK <= status < http.HTTPStatus.MULTIPLE_CHOICES
