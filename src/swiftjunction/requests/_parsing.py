"""Parsing and validation of callers' requests."""

import math
import re
import uuid

import anyio
import msgspec
import starlette.requests

from swiftjunction import configuration
from swiftjunction import decoding
from swiftjunction import errors

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_TOKENS = 1_000_000
REQUEST_ID_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')


class CompletionRequest(msgspec.Struct):
    """The body of a completion request, a subset of OpenAI's API."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    seed: int = 0


def read_request_id(request: starlette.requests.Request) -> str:
    """Return the caller's request id, or a new one.

    The id becomes part of URLs on engines, so an id that is missing or not
    safe in a URL is replaced by a generated one.
    """
    request_id = request.headers.get('x-request-id', '')
    if REQUEST_ID_PATTERN.fullmatch(request_id):
        return request_id
    return uuid.uuid4().hex


def read_deadline(
    request: starlette.requests.Request,
    settings: configuration.PathSettings,
) -> float:
    """Return the deadline on the event loop's clock, in seconds.

    The timeout of the path, or 30 s if it has none, limits the caller's.

    Raises
    ------
    RequestInvalid
        If the caller's timeout is not a positive, finite number.
    """
    limit_seconds = settings.timeout_seconds or 30.0
    try:
        requested_seconds = float(
            request.headers.get('x-timeout-seconds', limit_seconds)
        )
    except ValueError as error:
        raise errors.RequestInvalid(
            'x-timeout-seconds must be a number', step='deadline'
        ) from error
    if not 0 < requested_seconds < math.inf:
        raise errors.RequestInvalid(
            'x-timeout-seconds must be positive and finite', step='deadline'
        )
    return anyio.current_time() + min(requested_seconds, limit_seconds)


async def read_body(request: starlette.requests.Request) -> bytes:
    """Return the whole request body.

    Raises
    ------
    RequestInvalid
        If the body is larger than ``MAX_BODY_BYTES``.
    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise errors.RequestInvalid(
                f'request body exceeds {MAX_BODY_BYTES} bytes', step='body'
            )
        parts.append(part)
    return b''.join(parts)


def decode_completion(body: bytes) -> CompletionRequest:
    """Decode and validate the body of a completion request.

    Raises
    ------
    RequestInvalid
        If the body is malformed or ``max_tokens`` is out of range.
    """
    try:
        decoded = decoding.decode_json(body, CompletionRequest)
    except errors.ContentBroken as error:
        raise errors.RequestInvalid(
            f'invalid request body: {error}', step='body'
        ) from error
    if not 0 < decoded.max_tokens <= MAX_TOKENS:
        raise errors.RequestInvalid(
            f'max_tokens must be from 1 to {MAX_TOKENS}, '
            f'not {decoded.max_tokens}',
            step='body',
        )
    return decoded
