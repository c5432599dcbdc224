"""Bounds the text of a sample."""

from swiftjunction.batches import _batch
from swiftjunction import errors

# A result is stored, and read by trainers, in a piece of less than 1 MB.
MAX_TEXT_BYTES = 512 * 1024
# An event has a token at least, so a sample has no more events than tokens.
# This is for samples that state fewer tokens than they have.
MIN_EVENT_LIMIT = 4096


class TextLength:
    """Counts the events and bytes of a sample's text.

    Parameters
    ----------
    sample : Sample
        The sample.
    events : list of str
        The data of the events so far.
    """

    __slots__ = ('_event_bytes', '_events', '_max_events')

    def __init__(self, sample: _batch.Sample, events: list[str]) -> None:
        self._max_events = max(sample.tokens, MIN_EVENT_LIMIT)
        self._events = len(events)
        self._event_bytes = sum(len(data.encode()) for data in events)

    def add(self, data: str, engine: str) -> None:
        """Count another event.

        Raises
        ------
        AnswerBroken
            If the text is longer than a valid one can be.
        """
        self._events += 1
        self._event_bytes += len(data.encode())
        if (
            self._events > self._max_events
            or self._event_bytes > MAX_TEXT_BYTES
        ):
            raise errors.AnswerBroken(
                f'the text exceeds {self._max_events} events or '
                f'{MAX_TEXT_BYTES} bytes',
                step='generate',
                peer=engine,
            )
