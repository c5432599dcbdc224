"""Errors and headers of HTTP responses of backend servers."""

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
    """Translate httpx errors to ``BackendUnreachable`` or ``AnswerBroken``."""
    try:
        yield
    except web.UNSENT_ERRORS as error:
        raise errors.BackendUnreachable(
            f'cannot connect: {errors.describe(error)}',
            step=step,
            peer=peer,
        ) from error
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise errors.AnswerBroken(
            f'no complete response: {errors.describe(error)}',
            step=step,
            peer=peer,
        ) from error


def check_refusal(response: httpx.Response, step: str, peer: str) -> None:
    """Raise ``BackendRefused`` if the server did not run the request."""
    if response.headers.get(OUTCOME_HEADER) == NOT_RUN:
        raise errors.BackendRefused(
            f'server refused the request with status {response.status_code}',
            step=step,
            peer=peer,
        )


def update_from_headers(
    response: httpx.Response,
    server: _server.BackendServer,
    request_id: str = '',
    source: str = 'call',
) -> None:
    """Update the state of a server from the headers of any response."""
    if response.headers.get('x-leaving'):
        server.record_leaving(request_id, source)
    load = read_load(response.headers)
    if load is not None:
        server.load = load


def read_load(headers: httpx.Headers) -> float | None:
    """Return the load in the response headers; None if not a finite number."""
    try:
        load = float(headers['x-load'])
    except (KeyError, ValueError):
        return None
    return load if math.isfinite(load) else None
