"""Statuses, headers and bodies of responses from backend servers."""

import collections.abc
import http
import re

import httpx

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction.platform.servers import _events
from swiftjunction import web

# Statuses that mean the request was not run, if the response confirms it with
# the not-executed header.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
# Any other value of the leaving header announces that the server leaves: to
# avoid a server that stays costs capacity, and to use one that leaves costs
# requests.
STAYING_VALUE = '0'
# Longer values are invalid.
MAX_LIMIT_CHARS = 64
LIMIT_PATTERN = re.compile(r'\d+(\.\d*)?|\.\d+', re.ASCII)


def build_response_error(
    message: str, server: backends.BackendServer
) -> errors.AnswerBroken:
    """Return the error for a response that cannot be used."""
    return errors.AnswerBroken(message, step='call', peer=server.name)


def record_leaving(
    response: httpx.Response,
    server: backends.BackendServer,
    request_id: str,
    source: str,
) -> None:
    """Record whether a response announces that its server is leaving.

    The headers suffice, also if the response turns out to be invalid.

    Parameters
    ----------
    request_id : str
        The id of the request; empty if it has none.
    source : str
        The kind of the request, for the log.
    """
    values = response.headers.get_list(
        _names.SERVER_LEAVING_HEADER, split_commas=True
    )
    if all(value.strip() == STAYING_VALUE for value in values):
        return
    if not _is_from_another(response, server):
        server.record_leaving(request_id, source)


def record_rate_limit(
    response: httpx.Response,
    server: backends.BackendServer,
    request_id: str,
    sent_at: float,
) -> None:
    """Record the request limit that a response names.

    Invalid values say nothing. A response without a limit ends the one before
    if it is that of the request: a report or an order need not name it.

    Parameters
    ----------
    request_id : str
        The id of the request; empty if it has none.
    sent_at : float
        The time at which the request was sent, on the server's clock of rates.
    """
    if _is_from_another(response, server):
        return
    values = response.headers.get_list(
        _names.SERVER_LIMIT_HEADER, split_commas=True
    )
    limits = [float(v) for v in values if _is_limit(v)]
    if limits:
        server.record_rate_limit(min(limits), sent_at)
    elif not values and request_id:
        answered_id = response.headers.get(_names.ATTEMPT_ID_HEADER)
        if answered_id == request_id:
            server.record_rate_limit(backends.UNLIMITED, sent_at)


def _is_limit(value: str) -> bool:
    return (
        len(value) <= MAX_LIMIT_CHARS
        and LIMIT_PATTERN.fullmatch(value) is not None
    )


def _is_from_another(
    response: httpx.Response, server: backends.BackendServer
) -> bool:
    """Return whether another server refused a request to its address."""
    return (
        response.status_code == http.HTTPStatus.MISDIRECTED_REQUEST
        and response.headers.get(_names.INSTANCE_ID_HEADER) != server.name
    )


def check_request_id(
    response: httpx.Response, server: backends.BackendServer, request_id: str
) -> None:
    """Raise ``AnswerBroken`` if the response belongs to another request.

    A server may send a second response after the first on a kept-alive
    connection. Only a refusal may lack the request's id.
    """
    response_id = response.headers.get(_names.ATTEMPT_ID_HEADER, '')
    if not response_id and _is_refusal(response):
        return
    if response_id != request_id:
        raise build_response_error(
            f'response belongs to request {response_id!r}', server
        )


def _is_refusal(response: httpx.Response) -> bool:
    return (
        response.status_code == http.HTTPStatus.MISDIRECTED_REQUEST
        or _names.NOT_EXECUTED_HEADER in response.headers
    )


def check_executed(
    response: httpx.Response, server: backends.BackendServer
) -> None:
    """Raise the error of a response that refuses the request.

    Raises
    ------
    BackendRefused
        If the server states that it did not run the request.
    AnswerBroken
        If the status is that of a refusal, but the statement is missing.
    """
    status = response.status_code
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        if _is_from_another(response, server):
            server.mark_leaving()
        raise errors.BackendRefused(
            'the address belongs to another server',
            step='call',
            peer=server.name,
        )
    if response.headers.get(_names.NOT_EXECUTED_HEADER):
        raise errors.BackendRefused(
            f'the server refused the request with status {status}',
            step='call',
            peer=server.name,
        )
    if status in REFUSAL_STATUSES:
        raise build_response_error(
            f'status {status} without {_names.NOT_EXECUTED_HEADER}', server
        )


def check_signature(
    response: httpx.Response, server: backends.BackendServer
) -> None:
    """Raise ``AnswerBroken`` if a successful response has no signature."""
    if response.is_success and not response.headers.get(
        _names.SIGNATURE_HEADER
    ):
        raise build_response_error(
            'successful response without a signature', server
        )


def is_event_stream(response: httpx.Response) -> bool:
    """Return whether the response is a success that brings events."""
    media_type = response.headers.get('content-type', '').partition(';')[0]
    return (
        response.is_success
        and media_type.strip().lower() == web.EVENT_STREAM_TYPE
        and 'content-encoding' not in response.headers
    )


def check_sample_status(
    response: httpx.Response, server: backends.BackendServer
) -> None:
    """Raise the error that matches an engine's status for a sample."""
    status = response.status_code
    if status == http.HTTPStatus.OK:
        return
    message = f'the engine answered the sample with status {status}'
    match status:
        case http.HTTPStatus.UNPROCESSABLE_ENTITY:
            error_type: type[errors.BackendError] = errors.SampleRefused
        case http.HTTPStatus.INTERNAL_SERVER_ERROR:
            error_type = errors.SampleFailed
        case _:
            error_type = errors.AnswerBroken
    raise error_type(message, step='generate', peer=server.name)


def parse_weight_version(
    response: httpx.Response, server: backends.BackendServer
) -> int:
    """Return the weight version at the start of a stream; 0 if unknown.

    Raises
    ------
    AnswerBroken
        If the number is out of range.
    """
    text = response.headers.get(_names.WEIGHT_VERSIONS_HEADER, '')
    if not text.isdecimal():
        return 0
    try:
        return _events.parse_number(text)
    except ValueError as error:
        raise build_response_error(
            f'invalid weight version: {error}', server
        ) from error


async def read_chunks(
    response: httpx.Response, server: backends.BackendServer
) -> collections.abc.AsyncGenerator[bytes, None]:
    """Yield the body as it arrives; ``AnswerBroken`` if it ends early."""
    with backends.translate_errors('read', server.name):
        async for chunk in response.aiter_raw():
            yield chunk
