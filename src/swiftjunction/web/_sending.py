"""Which requests HTTP can carry.

Names and values that arrive in messages are any text. What passes these checks
reaches a server as it is; for anything else, no server is at fault.
"""

import collections.abc
import re

from swiftjunction import errors

# The HTTP client accepts URL components of 65,536 characters.
MAX_TARGET_CHARACTERS = 32 * 1024
# They say where a request ends and whom it is for, so that the client alone
# sets them.
FRAMING_HEADERS = frozenset({'content-length', 'host', 'transfer-encoding'})

_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# Visible characters of Latin-1, with spaces and tabs between them.
_VALUE = re.compile(
    r'(?:[\x21-\x7e\x80-\xff]'
    r'(?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?'
)
_TARGET = re.compile(r'/[\x21\x22\x24-\x7e]*')


def find_name_problem(name: str) -> str:
    """Return why a header name cannot be sent; empty if it can be."""
    if not _NAME.fullmatch(name):
        return 'must be a token of ASCII letters, digits and marks'
    if name.lower() in FRAMING_HEADERS:
        return 'is set by the sender of the request alone'
    return ''


def find_value_problem(value: str) -> str:
    """Return why a header value cannot be sent; empty if it can be."""
    if not _VALUE.fullmatch(value):
        return (
            'must be visible Latin-1 characters, with spaces and tabs only '
            'between them'
        )
    return ''


def find_target_problem(target: str) -> str:
    """Return why a path and query cannot be sent; empty if they can be."""
    if len(target) > MAX_TARGET_CHARACTERS:
        return f'must have at most {MAX_TARGET_CHARACTERS} characters'
    if not _TARGET.fullmatch(target):
        return 'must begin with / and be visible ASCII characters without #'
    return ''


def check_request(
    target: str,
    host: str,
    headers: collections.abc.Iterable[tuple[str, str]],
) -> None:
    """Check whether any server can get a request.

    Parameters
    ----------
    target : str
        Path and query.
    host : str
        Value of the ``host`` header.

    Raises
    ------
    RequestUnsendable
        If none can.
    """
    _raise_problem('path', find_target_problem(target))
    _raise_problem('host', find_value_problem(host))
    for name, value in headers:
        _raise_problem(
            f'header {name!a}',
            find_name_problem(name) or find_value_problem(value),
        )


def _raise_problem(field: str, problem: str) -> None:
    if problem:
        raise errors.RequestUnsendable(f'{field} {problem}', step='send')
