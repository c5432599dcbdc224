"""Reads and checks what a caller sent."""

import math
import re
import uuid

import anyio
import msgspec
import starlette.requests

from swiftjunction import configuration
from swiftjunction import errors

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_TOKENS = 1_000_000
REQUEST_ID_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')


class CompletionRequest(msgspec.Struct):
    """The body of a completion, in the shape of OpenAI's API."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    seed: int = 0


def read_request_id(request: starlette.requests.Request) -> str:
    """Return the caller's request id, or a new one.

    An id becomes a part of engines' URLs, so what could not stand there is
    replaced by an id that is its own.
    """
    found = request.headers.get('x-request-id', '')
    if REQUEST_ID_PATTERN.fullmatch(found):
        return found
    return uuid.uuid4().hex


def read_deadline(
    request: starlette.requests.Request,
    settings: configuration.PathSettings,
) -> float:
    """Return the deadline on the event loop's clock, in seconds.

    Raises
    ------
    RequestInvalid
        If the caller's own timeout is not a positive number.
    """
    limit_seconds = settings.timeout_seconds or 30.0
    try:
        asked_seconds = float(
            request.headers.get('x-timeout-seconds', limit_seconds)
        )
    except ValueError as error:
        raise errors.RequestInvalid(
            'x-timeout-seconds must be a number', step='deadline'
        ) from error
    if not 0 < asked_seconds < math.inf:
        raise errors.RequestInvalid(
            'x-timeout-seconds must be above 0', step='deadline'
        )
    return anyio.current_time() + min(asked_seconds, limit_seconds)


async def read_body(request: starlette.requests.Request) -> bytes:
    """Return the body.

    Raises
    ------
    RequestInvalid
        If it is too large.
    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise errors.RequestInvalid(
                f'body over {MAX_BODY_BYTES} bytes', step='body'
            )
        parts.append(part)
    return b''.join(parts)


def decode_completion(body: bytes) -> CompletionRequest:
    """Return the completion that is asked for.

    Raises
    ------
    RequestInvalid
        If the body is not one, or asks for too much.
    """
    try:
        decoded = msgspec.json.decode(body, type=CompletionRequest)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.RequestInvalid(
            f'body not understood: {error}', step='body'
        ) from error
    if not 0 < decoded.max_tokens <= MAX_TOKENS:
        raise errors.RequestInvalid(
            f'max_tokens = {decoded.max_tokens}: must be from 1 to '
            f'{MAX_TOKENS}',
            step='body',
        )
    return decoded
