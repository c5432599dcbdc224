"""Headers of requests from callers, and responses to callers."""

import collections.abc
import http
import typing

import msgspec
import starlette.requests
import starlette.responses

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import web

Request = starlette.requests.Request
Response = starlette.responses.Response
ReturnType = typing.TypeVar('ReturnType')

DEFAULT_TIMEOUT_SECONDS = 30.0
# Longer numbers are invalid; int() raises an error for very long ones.
MAX_DIGITS = 18
# Hop-by-hop headers, and headers that this process sets itself.
UNFORWARDED_HEADERS = frozenset(
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
        _names.ATTEMPT_ID_HEADER,
        _names.DEADLINE_MS_HEADER,
        _names.EXPECT_INSTANCE_HEADER,
    }
)


async def translate_store_errors(
    operation: collections.abc.Awaitable[ReturnType],
) -> ReturnType:
    """Await `operation` and convert store errors into request errors."""
    try:
        return await operation
    except errors.ObjectMissing as error:
        raise errors.RouteMissing(error.message, step=error.step) from error
    except errors.PlatformUnavailable as error:
        raise errors.NotRun(error.message, step=error.step) from error
    except errors.PlatformError as error:
        raise errors.RequestTimeout(error.message, step=error.step) from error


def parse_int(text: str, default: int) -> int:
    """Parse a decimal header or query value; `default` if it is not one."""
    is_valid = text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_valid else default


def read_query(request: Request) -> str | None:
    """Return the query as it was sent, which may be empty; None without."""
    _, mark, query = web.read_target(request.scope).partition(b'?')
    return query.decode('latin-1') if mark else None


def compute_timeout(request: Request, route: routes.Route) -> float:
    """Return the time allowed for a request, in seconds.

    It is the shorter of the route's timeout and that of the caller, or
    ``DEFAULT_TIMEOUT_SECONDS`` without either.
    """
    timeouts = [route.timeout_seconds] if route.timeout_seconds else []
    caller_timeout_ms = parse_int(
        request.headers.get(_names.DEADLINE_MS_HEADER, ''), 0
    )
    if caller_timeout_ms:
        timeouts.append(caller_timeout_ms / _names.MS_PER_SECOND)
    return min(timeouts, default=DEFAULT_TIMEOUT_SECONDS)


def parse_resume_point(
    request: Request, route: routes.Route
) -> requests.ResumePoint | None:
    """Return from where the caller resumes a stream; None for a new one.

    With an invalid position it names no attempt, so that it is refused: a
    stream from its beginning would repeat what the caller has.
    """
    position = request.headers.get(_names.LAST_EVENT_ID_HEADER, '')
    if not position:
        return None
    after_number = parse_int(position, backends.NO_EVENT)
    first_ids = request.headers.getlist(_names.RESUMES_HEADER)
    is_valid = after_number != backends.NO_EVENT and len(first_ids) == 1
    return requests.ResumePoint(
        after_number,
        first_ids[0] if is_valid else '',
        frozenset(share.service for share in route.shares),
    )


def build_json_response(body: object) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(body), media_type='application/json')


def build_error_response(error: errors.RequestError) -> Response:
    """Return the response that reports an error to the caller."""
    status = error.status
    if isinstance(error, errors.PoisonRefused):
        # The request may have run: 422 would tell the caller that it did not.
        status = http.HTTPStatus.BAD_GATEWAY
    response = Response(
        msgspec.json.encode({'message': error.message}),
        status_code=status,
        media_type='application/json',
    )
    if isinstance(error, errors.NotRun):
        response.headers[_names.RETRY_AFTER_HEADER] = (
            f'{error.retry_after_seconds:.2f}'
        )
    return response


def build_relayed_response(
    server_response: backends.ServiceResponse,
) -> Response:
    """Return a backend server's response in the form sent to the caller."""
    response = Response(
        server_response.body, status_code=server_response.status
    )
    copy_headers(server_response.headers, response)
    return response


def copy_headers(
    headers: collections.abc.Iterable[tuple[str, str]], response: Response
) -> None:
    """Append `headers`, except ``UNFORWARDED_HEADERS``, to a response."""
    for name, value in headers:
        if name.lower() not in UNFORWARDED_HEADERS:
            response.headers.append(name, value)
