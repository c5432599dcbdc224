"""Format of the responses that callers receive."""

import msgspec
import starlette.responses

from swiftjunction import backends
from swiftjunction.requests import _call
from swiftjunction import web

# Headers that belong to one connection, not to the message.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def format_completion(
    call: _call.GenerationCall, text: str, finish_reason: str
) -> dict[str, object]:
    """Return the JSON object of a completion, or of a part of it."""
    return {
        'id': call.request_id,
        'object': 'text_completion',
        'model': call.path,
        'choices': [
            {
                'index': 0,
                'text': text,
                'finish_reason': finish_reason or None,
            }
        ],
    }


def format_chunk_event(
    call: _call.GenerationCall, chunk: backends.Chunk
) -> bytes:
    """Return the server-sent event of a chunk."""
    completion = format_completion(call, chunk.text, chunk.finish_reason)
    completion['offset'] = chunk.offset
    completion['tokens'] = chunk.tokens
    completion['weight_version'] = chunk.weight_version
    return web.format_event(msgspec.json.encode(completion))


def build_service_response(
    service_response: backends.ServiceResponse, request_id: str
) -> starlette.responses.Response:
    """Return the response of a plain service as its caller receives it."""
    response = starlette.responses.Response(
        service_response.body, status_code=service_response.status
    )
    for name, value in service_response.headers:
        if name not in HOP_BY_HOP_HEADERS and name != 'x-request-id':
            response.headers.append(name, value)
    response.headers['x-request-id'] = request_id
    response.headers['x-request-outcome'] = 'complete'
    return response
