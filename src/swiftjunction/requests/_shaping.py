"""The shape in which callers get their answers."""

import msgspec
import starlette.responses

from swiftjunction import backends
from swiftjunction.requests import _call
from swiftjunction import web

# Headers that concern one connection, not the message.
HOP_HEADERS = frozenset(
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


def shape_chunk(
    call: _call.GenerationCall, text: str, finish_reason: str
) -> dict[str, object]:
    """Return some text of an answer in the shape of a completion."""
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


def frame_chunk(call: _call.GenerationCall, chunk: backends.Chunk) -> bytes:
    """Return the event of a chunk."""
    shaped = shape_chunk(call, chunk.text, chunk.finish_reason)
    shaped['offset'] = chunk.offset
    shaped['tokens'] = chunk.tokens
    shaped['weight_version'] = chunk.weight_version
    return web.format_event(msgspec.json.encode(shaped))


def relay_answer(
    answer: backends.ServiceResponse, request_id: str
) -> starlette.responses.Response:
    """Return a plain service's answer as its caller gets it."""
    response = starlette.responses.Response(
        answer.body, status_code=answer.status
    )
    for name, value in answer.headers:
        if name not in HOP_HEADERS and name != 'x-request-id':
            response.headers.append(name, value)
    response.headers['x-request-id'] = request_id
    response.headers['x-request-outcome'] = 'complete'
    return response
