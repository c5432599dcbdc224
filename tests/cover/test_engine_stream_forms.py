"""Streams of engines with the usual API, in each form that may come."""

import httpx
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import web
from tests import scripted_server

pytestmark = pytest.mark.anyio

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
CALL = backends.EngineCall('r', 'm', 'prompt', 3, timeout_seconds=3.0)


def make_chunk(number):
    choice = {
        'text': f't{number} ',
        'finish_reason': 'stop' if number == 2 else None,
    }
    body = {'id': 'r', 'choices': [choice], 'offset': number, 'tokens': 1}
    return b'data: %s\n\n' % msgspec.json.encode(body)


CHUNKS = [make_chunk(number) for number in range(3)]
WHOLE = b''.join(CHUNKS) + b'data: [DONE]\n\n'
FORMS = {
    'lf': WHOLE,
    'crlf': WHOLE.replace(b'\n', b'\r\n'),
    'cr': WHOLE.replace(b'\n', b'\r'),
    'comments': b': hello\n\n' + WHOLE.replace(b'data:', b': ping\n\ndata:'),
    'other_fields': WHOLE.replace(
        b'data:', b'event: message\nretry: 5\ndata:'
    ),
    'byte_order_mark': BYTE_ORDER_MARK + WHOLE,
    'no_end_mark': b''.join(CHUNKS),
}


async def read(body, size=None):
    head = (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    parts = [
        body[at : at + (size or len(body))]
        for at in range(0, len(body), size or len(body))
    ]
    answer = head + scripted_server.make_chunks(*parts)
    server = scripted_server.ScriptedServer('s', answer)
    peers = web.PeerClients()
    text = ''
    async with server.run():
        try:
            client = backends.EngineClient(peers)
            async for chunk in client.stream(server.backend, CALL):
                text += chunk.text
        finally:
            await peers.close()
    return text


@pytest.mark.parametrize('size', [None, 1, 7])
@pytest.mark.parametrize('name', FORMS)
async def test_the_text_is_whole(name, size):
    assert await read(FORMS[name], size) == 't0 t1 t2 '


@pytest.mark.parametrize('name', FORMS)
async def test_a_text_without_its_last_chunk_is_not_complete(name):
    form = FORMS[name]
    end = form.index(b'stop') - 1
    with pytest.raises(BaseExceptionGroup) as caught:
        await read(form[:end])
    assert caught.group_contains(errors.AnswerBroken)
    assert not caught.group_contains(httpx.HTTPError)
