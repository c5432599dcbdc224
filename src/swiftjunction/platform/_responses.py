"""What the answers of backend servers say, beside their bodies."""

import collections.abc
import http

import httpx

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform import _names

MAX_ANSWER_BYTES = 32 * 1024 * 1024
# Statuses by which a server promises that it has not run a request.
PROMISES = frozenset({408, 421, 429, 503})


def broken(
    message: str, server: backends.BackendServer
) -> errors.AnswerBroken:
    """Return the error of an answer that cannot be used."""
    return errors.AnswerBroken(message, step='call', peer=server.name)


def check_match(
    response: httpx.Response, server: backends.BackendServer, request_id: str
) -> None:
    """Raise ``AnswerBroken`` where it is the answer of another request.

    A server may send a second answer behind the first. Only a refusal may
    come without the request's id.
    """
    answered = response.headers.get(_names.ATTEMPT_ID, '')
    if not answered and _is_promise(response):
        return
    if answered != request_id:
        raise broken(f'answer of another request: {answered!r}', server)


def _is_promise(response: httpx.Response) -> bool:
    return (
        response.status_code == http.HTTPStatus.MISDIRECTED_REQUEST
        or _names.NOT_EXECUTED in response.headers
    )


def check_promise(
    response: httpx.Response, server: backends.BackendServer
) -> None:
    """Raise ``BackendRefused`` where the server has not run the request."""
    status = response.status_code
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        if response.headers.get(_names.INSTANCE_ID) != server.name:
            server.mark_leaving()
        raise errors.BackendRefused(
            'another server has the address', step='call', peer=server.name
        )
    if response.headers.get(_names.NOT_EXECUTED):
        raise errors.BackendRefused(
            f'refused with {status}', step='call', peer=server.name
        )
    if status in PROMISES:
        raise broken(f'answered {status} without a promise', server)


def check_signature(
    response: httpx.Response, server: backends.BackendServer
) -> None:
    """Raise ``AnswerBroken`` where a success is not vouched for."""
    if response.is_success and not response.headers.get(_names.SIGNATURE):
        raise broken('success without a signature', server)


def is_stream(response: httpx.Response) -> bool:
    """Tell whether the body is a series of events."""
    return response.headers.get('content-type', '').startswith(
        'text/event-stream'
    )


def check_sample(
    response: httpx.Response, server: backends.BackendServer
) -> None:
    """Raise the error that an engine's status for a sample means."""
    status = response.status_code
    if status == http.HTTPStatus.OK:
        return
    message = f'sample answered {status}'
    match status:
        case http.HTTPStatus.UNPROCESSABLE_ENTITY:
            kind: type[errors.BackendError] = errors.SampleRefused
        case http.HTTPStatus.INTERNAL_SERVER_ERROR:
            kind = errors.SampleFailed
        case _:
            kind = errors.AnswerBroken
    raise kind(message, step='generate', peer=server.name)


def read_version(response: httpx.Response) -> int:
    """Return the weight version that begins a stream; 0 if not known."""
    text = response.headers.get(_names.WEIGHT_VERSIONS, '')
    return int(text) if text.isdecimal() else 0


async def read_parts(
    response: httpx.Response, server: backends.BackendServer
) -> collections.abc.AsyncGenerator[bytes, None]:
    """Yield the body as it comes; ``AnswerBroken`` if it ends early."""
    with backends.translate_errors('read', server.name):
        async for part in response.aiter_raw():
            yield part


async def read_body(
    response: httpx.Response, server: backends.BackendServer
) -> bytes:
    """Return the whole body; ``AnswerBroken`` if it ends early."""
    parts: list[bytes] = []
    size = 0
    async for part in read_parts(response, server):
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise broken(f'answer over {MAX_ANSWER_BYTES} bytes', server)
        parts.append(part)
    return b''.join(parts)
