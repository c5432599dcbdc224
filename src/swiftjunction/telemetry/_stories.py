"""Parsing, selection and formatting of JSON log lines."""

import collections.abc
import itertools
import typing

from swiftjunction import decoding
from swiftjunction import errors

LogLine = dict[str, typing.Any]

# Fields that identify the request, the batch or the server of a line. All
# attempts of callers at one request share its fingerprint.
ID_FIELDS = ('request_id', 'resumes', 'batch', 'server', 'fingerprint')
# Fields that are not formatted as ``name=value``: some come first in the line,
# the others are left out.
UNLABELLED_FIELDS = frozenset(
    {'time', 'level', 'name', 'message', 'process', 'vm', 'request_id'}
)


def parse_lines(
    texts: collections.abc.Iterable[str],
) -> collections.abc.Iterator[LogLine]:
    """Yield the decoded JSON lines of a log; other lines are skipped.

    A prefix before the first brace, such as of a log collector, is ignored.
    """
    for text in texts:
        _, brace, remainder = text.partition('{')
        if not brace:
            continue
        try:
            decoded = decoding.decode_json(brace + remainder, object)
        except errors.ContentBroken:
            # The line is truncated, or another program wrote it.
            continue
        if isinstance(decoded, dict) and 'message' in decoded:
            yield decoded


def select_lines(
    lines: collections.abc.Iterable[LogLine], wanted: str
) -> list[LogLine]:
    """Return the lines about a request, batch or server, sorted by time.

    These are lines with `wanted` as an identifier or within the message.
    """
    selected = [
        line
        for line in lines
        if any(line.get(field) == wanted for field in ID_FIELDS)
        or wanted in str(line['message'])
    ]
    return sorted(selected, key=lambda line: str(line.get('time', '')))


def format_line(line: LogLine) -> str:
    """Return a log line as human-readable text."""
    values = (str(line.get(name, '')) for name in ('time', 'vm', 'message'))
    fields = (
        f'{name}={value}'
        for name, value in line.items()
        if name not in UNLABELLED_FIELDS
    )
    return ' '.join(itertools.chain(values, fields))
