"""Builds the calls of backend servers from requests of callers."""

import starlette.requests

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.platform.callers import _caller_http
from swiftjunction.platform.callers import _keys
from swiftjunction import requests
from swiftjunction import routes

# Timeout of each attempt of an idempotent request, as a fraction of the time
# allowed for the request; the next attempt goes to another server.
ATTEMPT_TIMEOUT_FRACTION = 0.5
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.4


def build_call(
    request: starlette.requests.Request,
    path: str,
    request_id: str,
    route: routes.Route,
    caller: _keys.Caller,
    body: bytes,
    service: str,
    deadline: float,
    allowed_seconds: float,
) -> requests.ForwardedCall:
    """Return the call of a service that a request of a caller asks for.

    Parameters
    ----------
    path : str
        The path as it was sent.
    service : str
        One of the services of the route.
    deadline : float
        When the response is due, on the clock of the event loop.
    allowed_seconds : float
        The time that the request was given.
    """
    return requests.ForwardedCall(
        path=f'{route.host}{route.prefix}',
        settings=configuration.PathSettings(
            service=service, request_class='live'
        ),
        service_call=backends.ServiceCall(
            request_id=request_id,
            method=request.method,
            path=path,
            query=_caller_http.read_query(request),
            body=body,
            headers=[
                (name, value)
                for name, value in request.headers.items()
                if name not in _caller_http.UNFORWARDED_HEADERS
                and name not in caller.removed_headers
            ],
            timeout_seconds=0.0,
            host=route.host,
            organisation=caller.organisation,
            check=caller.check,
        ),
        deadline=deadline,
        idempotent=route.kind is routes.RouteKind.IDEMPOTENT,
        max_attempts=max(route.max_attempts, 1),
        rank=route.rank if caller.rank is None else caller.rank,
        attempt_seconds=max(
            allowed_seconds * ATTEMPT_TIMEOUT_FRACTION,
            MIN_ATTEMPT_TIMEOUT_SECONDS,
        ),
    )
