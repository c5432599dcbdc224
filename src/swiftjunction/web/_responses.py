"""JSON answers, and errors as typed bodies."""

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
    """Answer with `body` as JSON."""
    return starlette.responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
        headers=headers,
    )


def describe_error(
    error: errors.RequestError, request_id: str = ''
) -> dict[str, object]:
    """Return the typed body of an error."""
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
    """Answer with an error: its status, outcome and when to come back."""
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


async def answer_http_exception(
    request: starlette.requests.Request, error: Exception
) -> starlette.responses.Response:
    """Answer what no route takes as a typed error, with its own status."""
    assert isinstance(error, starlette.exceptions.HTTPException)
    invalid = errors.RequestInvalid(str(error.detail), step='route')
    response = respond_error(invalid)
    response.status_code = error.status_code
    return response


async def answer_failure(
    request: starlette.requests.Request, error: Exception
) -> starlette.responses.Response:
    """Answer a fault of this process as a typed error; it is logged too."""
    failure = errors.OutcomeUnknown(
        f'this process failed: {type(error).__name__}', step='serve'
    )
    return respond_error(failure)


EXCEPTION_HANDLERS = {
    starlette.exceptions.HTTPException: answer_http_exception,
    Exception: answer_failure,
}


def read_bearer_token(request: starlette.requests.Request) -> str:
    """Return the key that came with a request, or nothing."""
    scheme, _, key = request.headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''
