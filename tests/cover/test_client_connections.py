"""What a listener does with the bytes of a connection."""

import contextlib

import anyio
import pytest

from swiftjunction import web

pytestmark = pytest.mark.anyio

GET = b'GET /a HTTP/1.1\r\nHost: a\r\n'
HTTP_2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + bytes(9)
WEBSOCKET = (
    GET + b'Connection: Upgrade\r\nUpgrade: websocket\r\n'
    b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n'
    b'Sec-WebSocket-Version: 13\r\n\r\n'
)
H2C = GET + (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n'
)


async def answer(scope, receive, send):
    """Answer requests over HTTP with their path."""
    if scope['type'] != 'http':
        return
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': scope['raw_path']})


@contextlib.asynccontextmanager
async def listen(app=answer):
    listener = web.open_listener('127.0.0.1', 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, app)
        yield web.parse_address(listener.address)
        tasks.cancel_scope.cancel()


async def read_all(stream, seconds=1.0):
    """Return what comes until the connection closes, and whether it does."""
    data = b''
    with anyio.move_on_after(seconds):
        while True:
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return data, True
    return data, False


async def exchange(data):
    async with listen() as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(data)
            return await read_all(stream)


async def test_http_2_is_refused_and_the_connection_closed():
    response, is_closed = await exchange(HTTP_2_PREFACE)
    assert response.startswith(b'HTTP/1.1 505 ')
    assert is_closed


@pytest.mark.parametrize('request_bytes', [WEBSOCKET, H2C])
async def test_an_upgrade_is_ignored(request_bytes):
    response, _ = await exchange(request_bytes)
    assert response.startswith(b'HTTP/1.1 200 ')
    assert b'/a' in response


async def test_requests_sent_ahead_are_answered_in_order():
    parts = [b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n' % n for n in range(50)]
    response, _ = await exchange(b''.join(parts))
    assert response.count(b'HTTP/1.1 200 ') == 50
    positions = [response.index(b'/%d\r' % n) for n in range(50)]
    assert positions == sorted(positions)
