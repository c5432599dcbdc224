"""What the logs of all processes say of one request, in order."""

import collections.abc
import itertools
import typing

import msgspec

Line = dict[str, typing.Any]

# Fields by which a line names what it is about.
ID_FIELDS = ('request_id', 'batch')
# Shown at the front, or the same in every line.
HEAD_FIELDS = frozenset(
    {'time', 'level', 'name', 'message', 'process', 'vm', 'request_id'}
)


def parse_lines(
    text: collections.abc.Iterable[str],
) -> collections.abc.Iterator[Line]:
    """Yield the JSON lines of a log; what is before a brace is passed over."""
    for line in text:
        _, brace, rest = line.partition('{')
        if not brace:
            continue
        try:
            decoded = msgspec.json.decode(brace + rest)
        except msgspec.MsgspecError:
            # A line of another program, or one that was cut off.
            continue
        if isinstance(decoded, dict) and 'message' in decoded:
            yield decoded


def select_lines(
    lines: collections.abc.Iterable[Line], wanted: str
) -> list[Line]:
    """Return the lines on a request or a batch, in order of their times."""
    story = [
        line
        for line in lines
        if any(line.get(field) == wanted for field in ID_FIELDS)
        or wanted in str(line['message'])
    ]
    return sorted(story, key=lambda line: str(line.get('time', '')))


def format_line(line: Line) -> str:
    """Return a line as a person reads it."""
    head = (str(line.get(name, '')) for name in ('time', 'vm', 'message'))
    fields = (
        f'{name}={value}'
        for name, value in line.items()
        if name not in HEAD_FIELDS
    )
    return ' '.join(itertools.chain(head, fields))
