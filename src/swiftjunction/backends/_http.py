"""Turns the failures of an HTTP call into this project's errors."""

import collections.abc
import contextlib
import math

import httpx

from swiftjunction.backends import _server
from swiftjunction import errors
from swiftjunction import web

OUTCOME_HEADER = 'x-request-outcome'
NOT_RUN = 'not-run'


@contextlib.contextmanager
def translate_errors(step: str, peer: str) -> collections.abc.Iterator[None]:
    """Raise ``BackendUnreachable`` or ``AnswerBroken`` for httpx's errors."""
    try:
        yield
    except web.UNSENT_ERRORS as error:
        raise errors.BackendUnreachable(
            f'cannot connect: {error or type(error).__name__}',
            step=step,
            peer=peer,
        ) from error
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise errors.AnswerBroken(
            f'no whole answer: {error or type(error).__name__}',
            step=step,
            peer=peer,
        ) from error


def check_refusal(response: httpx.Response, step: str, peer: str) -> None:
    """Raise ``BackendRefused`` if the server says it did not run it."""
    if response.headers.get(OUTCOME_HEADER) == NOT_RUN:
        raise errors.BackendRefused(
            f'refused with {response.status_code}', step=step, peer=peer
        )


def update_from_headers(
    response: httpx.Response, server: _server.BackendServer
) -> None:
    """Learn what an answer's headers, also a refusal's, say of the server."""
    if response.headers.get('x-leaving'):
        server.mark_leaving()
    load = read_load(response.headers)
    if load is not None:
        server.load = load


def read_load(headers: httpx.Headers) -> float | None:
    """Return the load that an answer's headers report, if they do."""
    try:
        load = float(headers['x-load'])
    except (KeyError, ValueError):
        return None
    return load if math.isfinite(load) else None
