"""Requests and responses that all stand-ins for servers handle alike."""

import anyio
import starlette.requests
import starlette.responses

from swiftjunction.standins import _faults

Request = starlette.requests.Request
Response = starlette.responses.Response

UNANSWERED_SECONDS = 60.0
# Bytes of a body that crashes a server with the fault ``poison``.
POISON_MARKER = b'POISON'


def check_request(
    request: Request, name: str, faults: _faults.FaultSwitches
) -> Response | None:
    """Return the refusal of a request for another server or with a fault."""
    expected = request.headers.get('swiftjunction-expect-instance', name)
    if expected != name:
        return Response(
            status_code=421, headers={'swiftjunction-instance-id': name}
        )
    return make_refusal() if faults.consume('shed') else None


async def is_poisoned(request: Request, faults: _faults.FaultSwitches) -> bool:
    """Return whether a request makes its server crash."""
    return faults.get('poison') > 0 and POISON_MARKER in await request.body()


async def crash(faults: _faults.FaultSwitches) -> None:
    """Refuse connections for a while, and never answer."""
    faults.set('crashed', faults.get('poison'))
    await anyio.sleep(UNANSWERED_SECONDS)


def make_refusal() -> Response:
    """Return the response to a request that is not executed."""
    return Response(
        status_code=503, headers={'swiftjunction-not-executed': '1'}
    )


def make_signature_headers(request_id: str) -> dict[str, str]:
    """Return the headers of a response to an executed request."""
    return {
        'swiftjunction-attempt-id': request_id,
        'swiftjunction-response-signature': f'signed.{request_id}',
    }


def format_target(request: Request) -> str:
    """Return the path and the query of a request as they were sent."""
    path = request.scope['raw_path'].decode()
    query = request.scope['query_string'].decode()
    return f'{path}?{query}' if query else path
