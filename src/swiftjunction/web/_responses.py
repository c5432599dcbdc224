"""JSON responses and error responses."""

import math

import msgspec
import starlette.exceptions
import starlette.requests
import starlette.responses

from swiftjunction import errors


def respond_json(
    body: object,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> starlette.responses.Response:
    """Return a response with `body` encoded as JSON."""
    return starlette.responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
        headers=headers,
    )


def describe_error(
    error: errors.RequestError, request_id: str = ''
) -> dict[str, object]:
    """Return the JSON body of an error response."""
    return {
        'error': {
            'type': type(error).__name__,
            'outcome': error.outcome,
            'message': error.message,
            'step': error.step,
            'peer': error.peer,
            'request_id': request_id,
            'retry_after_seconds': error.retry_after_seconds,
        }
    }


def respond_error(
    error: errors.RequestError,
    request_id: str = '',
    headers: dict[str, str] | None = None,
) -> starlette.responses.Response:
    """Return a response with the error's status, outcome and retry delay."""
    return respond_json(
        describe_error(error, request_id),
        status=error.status,
        headers={
            'x-request-id': request_id,
            'x-request-outcome': error.outcome,
            'retry-after': str(math.ceil(error.retry_after_seconds)),
            **(headers or {}),
        },
    )


async def handle_http_exception(
    request: starlette.requests.Request, error: Exception
) -> starlette.responses.Response:
    """Return the JSON error response for an HTTP exception.

    Starlette raises one, for example, if no route matches.
    """
    assert isinstance(error, starlette.exceptions.HTTPException)
    request_error = errors.RequestInvalid(str(error.detail), step='route')
    response = respond_error(request_error)
    response.status_code = error.status_code
    return response


async def handle_unexpected_error(
    request: starlette.requests.Request, error: Exception
) -> starlette.responses.Response:
    """Return the JSON error response for an unhandled exception.

    Starlette raises the exception again, so that the server logs it.
    """
    unknown_outcome = errors.OutcomeUnknown(
        f'internal error: {type(error).__name__}', step='serve'
    )
    return respond_error(unknown_outcome)


EXCEPTION_HANDLERS = {
    starlette.exceptions.HTTPException: handle_http_exception,
    Exception: handle_unexpected_error,
}


def read_bearer_token(request: starlette.requests.Request) -> str:
    """Return the bearer token of a request; empty if there is none."""
    scheme, _, token = request.headers.get('authorization', '').partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''
