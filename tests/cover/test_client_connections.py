"""What a listener does with the bytes of a connection."""

import contextlib

import anyio
import pytest

from swiftjunction import web
from swiftjunction.web import _connection_table
from swiftjunction.web import _connections

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
async def listen(app=answer, policy=None):
    listener = web.open_listener('127.0.0.1', 0, policy)
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


class Responder:
    """An application that answers with a large body once it may.

    Attributes
    ----------
    paths : list of bytes
        The paths of the requests that have begun.
    disconnects : int
        The number of requests whose client left.
    """

    def __init__(self, size=0):
        self.paths = []
        self.disconnects = 0
        self.may_answer = anyio.Event()
        self._size = size

    async def __call__(self, scope, receive, send):
        if scope['type'] != 'http':
            return
        self.paths.append(scope['raw_path'])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow, receive, tasks)
            await self.may_answer.wait()
            await send(
                {'type': 'http.response.start', 'status': 200, 'headers': []}
            )
            body = bytes(self._size)
            await send({'type': 'http.response.body', 'body': body})
            tasks.cancel_scope.cancel()

    async def _follow(self, receive, tasks):
        while (await receive())['type'] != 'http.disconnect':
            pass
        self.disconnects += 1
        tasks.cancel_scope.cancel()


async def wait_until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.02)


def make_requests(count):
    parts = [b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n' % n for n in range(count)]
    return b''.join(parts)


async def test_a_response_that_nobody_reads_ends(monkeypatch):
    monkeypatch.setattr(_connection_table, 'MAX_WRITING_SECONDS', 0.2)
    responder = Responder(64 * 1024 * 1024)
    responder.may_answer.set()
    async with listen(responder) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(make_requests(2))
            await wait_until(lambda: responder.disconnects)
            await anyio.sleep(0.1)
            assert responder.paths == [b'/0']


async def test_a_response_that_is_read_slowly_is_whole(monkeypatch):
    monkeypatch.setattr(_connection_table, 'MAX_WRITING_SECONDS', 2.0)
    size = 8 * 1024 * 1024
    responder = Responder(size)
    responder.may_answer.set()
    received = b''
    async with listen(responder) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(make_requests(1))
            while not received.endswith(b'\r\n0\r\n\r\n'):
                received += await stream.receive(256 * 1024)
                await anyio.sleep(0.05)
    assert received.count(b'\x00') == size


async def test_a_client_that_sent_requests_ahead_and_left_is_noticed():
    responder = Responder()
    async with listen(responder) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(make_requests(3))
            await wait_until(lambda: responder.paths)
        await wait_until(lambda: responder.disconnects)
        responder.may_answer.set()
        await anyio.sleep(0.1)
    assert responder.paths == [b'/0']


async def test_a_head_that_takes_too_long_ends():
    policy = web.ClientPolicy(
        read_head_limits=lambda: web.HeadLimits(seconds=0.2)
    )
    async with listen(policy=policy) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(GET)
            _, is_closed = await read_all(stream, 5.0)
    assert is_closed


async def test_an_idle_connection_has_no_head_that_takes_too_long():
    policy = web.ClientPolicy(
        read_head_limits=lambda: web.HeadLimits(seconds=0.2)
    )
    async with listen(policy=policy) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(make_requests(1))
            response, is_closed = await read_all(stream, 2.0)
    assert response.startswith(b'HTTP/1.1 200 ')
    assert not is_closed


async def test_a_head_above_the_limit_is_431():
    policy = web.ClientPolicy(
        read_head_limits=lambda: web.HeadLimits(max_bytes=1000)
    )
    async with listen(policy=policy) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(GET + b'x-a: ' + b'y' * 1000)
            response, is_closed = await read_all(stream)
    assert response.startswith(b'HTTP/1.1 431 ')
    assert is_closed


async def test_a_body_without_room_is_503_and_its_request_does_not_run():
    policy = web.ClientPolicy(budget=web.MemoryBudget(100_000))
    bodies = []

    async def read_body(scope, receive, send):
        if scope['type'] != 'http':
            return
        size, message = 0, {'more_body': True}
        while message.get('more_body'):
            message = await receive()
            size += len(message.get('body', b''))
        bodies.append((message['type'], size))
        await answer(scope, receive, send)

    head = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
    responses = []
    async with listen(read_body, policy) as address:
        for size in (90_000, 200_000, 90_000):
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(head % size + bytes(size))
                response, _ = await read_all(stream)
                responses.append(response[:12])
    assert responses == [
        b'HTTP/1.1 200',
        b'HTTP/1.1 503',
        b'HTTP/1.1 200',
    ]
    complete = [size for kind, size in bodies if kind == 'http.request']
    assert complete == [90_000, 90_000]


async def test_requests_ahead_wait_in_little_memory():
    policy = web.ClientPolicy()
    responder = Responder()
    data = make_requests(1) * 200_000
    async with listen(responder, policy) as address:
        stream = await anyio.connect_tcp(*address)
        with anyio.move_on_after(1):
            await stream.send(data)
        held_bytes = policy.budget.held_bytes
        assert responder.paths == [b'/0']
        await anyio.aclose_forcefully(stream)
        # What the client has sent hides that it left, until a write fails.
        responder.may_answer.set()
        await wait_until(lambda: policy.budget.held_bytes == 0)
    assert held_bytes == _connections.READ_AHEAD_BYTES
    assert len(responder.paths) < 10


async def test_requests_ahead_of_a_closed_connection_hold_nothing():
    policy = web.ClientPolicy()

    async def close(scope, receive, send):
        if scope['type'] == 'http':
            headers = [(b'connection', b'close')]
            await send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': headers,
                }
            )
            await send({'type': 'http.response.body', 'body': b''})

    async with listen(close, policy) as address:
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(make_requests(3))
            response, is_closed = await read_all(stream, 5.0)
        table = policy.get_table(address[1])
        await wait_until(lambda: table.summarize()['open'] == 0)
    assert response.count(b'HTTP/1.1 200 ') == 1
    assert is_closed
    assert policy.budget.held_bytes == 0


async def test_requests_ahead_do_not_delay_a_graceful_shutdown():
    responder = Responder()
    listener = web.open_listener('127.0.0.1', 0)
    address = web.parse_address(listener.address)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, responder)
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(make_requests(3))
                await wait_until(lambda: responder.paths)
                listener.close()
                await anyio.sleep(0.1)
                responder.may_answer.set()
                response, is_closed = await read_all(stream, 5.0)
    assert response.count(b'HTTP/1.1 200 ') == 1
    assert is_closed
    assert responder.paths == [b'/0']
