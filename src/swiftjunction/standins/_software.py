"""Judges which versions of the servers' software wrote a text.

Each event of an engine stand-in names the software version of the engine that
wrote it, so that a text shows by itself whether its events fit together.
"""

import collections.abc

DEFAULT_SOFTWARE = 'v1'
DATA_PREFIX = 'data: '
# The data that some engines send after the last event.
END_DATA = '[DONE]'


def make_event_data(text_id: str, number: int, software: str) -> str:
    """Return the data of an event, as an engine of that software writes it."""
    return f'{text_id} {number} {software}'


def list_event_data(lines: collections.abc.Iterable[str]) -> list[str]:
    """Return the data of the numbered events in the lines of a stream."""
    data = [
        line.removeprefix(DATA_PREFIX)
        for line in lines
        if line.startswith(DATA_PREFIX)
    ]
    return [item for item in data if item != END_DATA]


def find_software(data: collections.abc.Iterable[str]) -> set[str]:
    """Return the software versions that wrote events.

    Parameters
    ----------
    data : iterable of str
        The data of the events, of one text or of several parts of it.
    """
    return {item.rpartition(' ')[2] for item in data}
