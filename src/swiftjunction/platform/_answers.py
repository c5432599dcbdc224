"""Answers to callers, and what their requests say beside the body."""

import collections.abc
import http
import typing

import msgspec
import starlette.requests
import starlette.responses

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import routes

Request = starlette.requests.Request
Response = starlette.responses.Response
Answer = typing.TypeVar('Answer')

DEFAULT_TIMEOUT_SECONDS = 30.0
# Headers that concern one connection, or that this process sets itself.
OWN_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        _names.ATTEMPT_ID,
        _names.DEADLINE_MS,
        _names.EXPECT_INSTANCE,
    }
)


async def translate(
    work: collections.abc.Awaitable[Answer],
) -> Answer:
    """Return what `work` returns, with the store's errors as a caller's."""
    try:
        return await work
    except errors.ObjectMissing as error:
        raise errors.RouteMissing(error.message, step=error.step) from error
    except errors.PlatformUnavailable as error:
        raise errors.NotRun(error.message, step=error.step) from error
    except errors.PlatformError as error:
        raise errors.RequestTimeout(error.message, step=error.step) from error


def read_number(text: str, default: int) -> int:
    """Return a number from a header or a query, or the default."""
    return int(text) if text.isdecimal() else default


def read_timeout(request: Request, route: routes.Route) -> float:
    """Return how long the request may be kept, in seconds."""
    limits = [route.timeout_seconds] if route.timeout_seconds else []
    given_ms = read_number(request.headers.get(_names.DEADLINE_MS, ''), 0)
    if given_ms:
        limits.append(given_ms / _names.MS_PER_SECOND)
    return min(limits, default=DEFAULT_TIMEOUT_SECONDS)


def respond_json(body: object) -> Response:
    """Return a JSON answer."""
    return Response(msgspec.json.encode(body), media_type='application/json')


def respond_error(error: errors.RequestError) -> Response:
    """Return the answer that an error means to the caller."""
    status = error.status
    if isinstance(error, errors.PoisonRefused):
        # It may have run: no status that promises the contrary.
        status = http.HTTPStatus.BAD_GATEWAY
    response = Response(
        msgspec.json.encode({'message': error.message}),
        status_code=status,
        media_type='application/json',
    )
    if isinstance(error, errors.NotRun):
        response.headers[_names.RETRY_AFTER] = (
            f'{error.retry_after_seconds:.2f}'
        )
    return response


def relay(answer: backends.ServiceResponse) -> Response:
    """Return a backend server's answer as the caller gets it."""
    response = Response(answer.body, status_code=answer.status)
    copy_headers(answer.headers, response)
    return response


def copy_headers(
    headers: collections.abc.Iterable[tuple[str, str]], response: Response
) -> None:
    """Give a response those headers that do not concern one connection."""
    for name, value in headers:
        if name.lower() not in OWN_HEADERS:
            response.headers.append(name, value)
