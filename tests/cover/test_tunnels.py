"""Connections to backend servers through another VM."""

import contextlib
import errno
import socket
import struct

import anyio
import httpx
import pytest

from swiftjunction import errors
from swiftjunction.platform import _settings
from swiftjunction.platform import _tunneling
from swiftjunction import tunnels
from swiftjunction import web

pytestmark = pytest.mark.anyio

HEAD = b'HTTP/1.1 200 OK\r\n'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Scene:
    """A scripted server, and a tunnel server that lists it.

    Parameters
    ----------
    respond : callable
        Takes the connection of the server after it has read a request.
    """

    def __init__(self, tasks, respond=None):
        self._respond = respond
        self.requests = []
        self.closed = anyio.Event()
        self._sock = web.bind_socket('127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self.listed = {self.address}
        self.server = tunnels.TunnelServer(
            web.bind_socket('127.0.0.1', 0), self.listed.__contains__
        )
        self.outcomes = []
        self.server.listen(
            lambda address, outcome: self.outcomes.append(outcome)
        )
        self.tunnel = f'127.0.0.1:{self.server.port}'
        self.client = web.DirectClient(
            self.address, tunnels.TunnelBackend(self.tunnel)
        )
        tasks.start_soon(self.server.run)
        tasks.start_soon(self._serve)

    async def _serve(self):
        listener = await anyio.abc.SocketListener.from_socket(self._sock)
        async with listener:
            await listener.serve(self._handle)

    async def _handle(self, stream):
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                while True:
                    self.requests.append(await stream.receive())
                    if self._respond is not None:
                        await self._respond(stream)
        self.closed.set()


@contextlib.asynccontextmanager
async def run_scene(respond=None):
    async with anyio.create_task_group() as tasks:
        yield Scene(tasks, respond)
        tasks.cancel_scope.cancel()


async def respond_ok(stream):
    await stream.send(HEAD + b'Content-Length: 2\r\n\r\nok')


async def test_requests_share_a_connection_through_a_tunnel():
    async with run_scene(respond_ok) as scene:
        for _ in range(3):
            status, body = await scene.client.fetch('GET', '/a')
            assert (status, body) == (200, b'ok')
    assert len(scene.requests) == 3
    assert scene.outcomes == [tunnels.TunnelOutcome.CONNECTED]


async def test_a_large_body_passes_both_ways():
    content = bytes(range(256)) * 4096

    async def respond(stream):
        received = scene.requests.pop()
        while not received.endswith(content[-1000:]):
            received += await stream.receive()
        size = f'Content-Length: {len(content)}\r\n\r\n'.encode()
        await stream.send(HEAD + size + content)

    async with run_scene(respond) as scene:
        _, body = await scene.client.fetch('POST', '/a', content=content)
    assert body == content


async def test_a_response_that_is_reset_does_not_look_complete():
    # Its length is not known but for the end of the connection.
    async def respond(stream):
        await stream.send(HEAD + b'\r\nhalf')
        await anyio.sleep(0.1)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        await stream.aclose()

    async with run_scene(respond) as scene:
        with pytest.raises(httpx.ReadError):
            await scene.client.fetch('GET', '/a')


async def test_a_response_that_ends_with_its_connection_is_whole():
    async def respond(stream):
        await stream.send(HEAD + b'\r\nwhole')
        await stream.aclose()

    async with run_scene(respond) as scene:
        _, body = await scene.client.fetch('GET', '/a')
    assert body == b'whole'


async def test_a_process_that_stops_resets_its_tunnels():
    async def respond(stream):
        await stream.send(HEAD + b'\r\nhalf')
        scene.requests.append(b'sent')
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        scene = Scene(tasks, respond)
        scope = anyio.CancelScope()

        async def run_other():
            with scope:
                await other.run()

        other = tunnels.TunnelServer(
            web.bind_socket('127.0.0.1', 0), scene.listed.__contains__
        )
        tasks.start_soon(run_other)
        client = web.DirectClient(
            scene.address, tunnels.TunnelBackend(f'127.0.0.1:{other.port}')
        )
        response = await client.send('GET', '/a')
        scope.cancel()
        with pytest.raises(httpx.ReadError):
            [chunk async for chunk in response.aiter_raw()]
        tasks.cancel_scope.cancel()


async def test_a_client_that_leaves_closes_the_servers_connection():
    async with run_scene() as scene:
        with anyio.move_on_after(0.3):
            await scene.client.fetch('GET', '/a')
        with anyio.fail_after(0.5):
            await scene.closed.wait()


async def test_a_server_that_is_not_listed_gets_no_connection():
    async with run_scene(respond_ok) as scene:
        scene.listed.clear()
        with pytest.raises(httpx.ConnectError, match='unknown_server'):
            await scene.client.fetch('GET', '/a')
    assert scene.requests == []


async def test_a_server_that_refuses_connections_is_reported_as_such():
    async with run_scene() as scene:
        with web.bind_socket('127.0.0.1', 0) as closed:
            address = f'127.0.0.1:{closed.getsockname()[1]}'
        scene.listed.add(address)
        outcome = await tunnels.probe(scene.tunnel, address, 1.0)
        reached = await tunnels.probe(scene.tunnel, scene.address, 1.0)
        absent = await tunnels.probe(address, scene.address, 1.0)
    assert outcome is tunnels.TunnelOutcome.REFUSED
    assert reached is tunnels.TunnelOutcome.CONNECTED
    assert absent is None


async def test_no_more_tunnels_than_the_limit_are_open(monkeypatch):
    monkeypatch.setattr('swiftjunction.tunnels._server.MAX_TUNNELS', 1)
    async with run_scene() as scene:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.client.fetch, 'GET', '/a')
            await anyio.sleep(0.1)
            outcome = await tunnels.probe(scene.tunnel, scene.address, 1.0)
            tasks.cancel_scope.cancel()
    assert outcome is tunnels.TunnelOutcome.BUSY


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\0',
        b'\xff' * 70000,
        b'GET / HTTP/1.1\r\n\r\n',
        b'\0\1a',
        b'\0\3\x81\xa1a',
        b'\0\x0c\x81\xa7address\xa2:x',
    ],
)
async def test_bytes_that_are_no_request_for_a_tunnel_do_no_harm(data):
    async with run_scene(respond_ok) as scene:
        host, _, port = scene.tunnel.partition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with contextlib.suppress(
                OSError, anyio.EndOfStream, anyio.BrokenResourceError
            ):
                await stream.send(data)
                await stream.send_eof()
                await stream.receive()
        status, _ = await scene.client.fetch('GET', '/a')
    assert status == 200


@pytest.mark.parametrize(
    'reply', [b'', b'\xff\xff', b'\0\1a', b'HTTP/1.1 400 Bad Request\r\n\r\n']
)
async def test_a_peer_that_speaks_something_else_is_one_not_connected(reply):
    # A peer of a former build has no tunnels, or something else at the port.
    async with anyio.create_task_group() as tasks:
        sock = web.bind_socket('127.0.0.1', 0)
        address = f'127.0.0.1:{sock.getsockname()[1]}'

        async def answer(stream):
            async with stream:
                await stream.receive()
                await stream.send(reply) if reply else None

        async def serve():
            listener = await anyio.abc.SocketListener.from_socket(sock)
            async with listener:
                await listener.serve(answer)

        tasks.start_soon(serve)
        client = web.DirectClient(
            '127.0.0.1:9', tunnels.TunnelBackend(address)
        )
        with pytest.raises(httpx.ConnectError):
            await client.fetch('GET', '/a')
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('address', ['', 'x', '127.0.0.1:99999'])
async def test_an_invalid_address_of_a_peer_or_server_is_unreachable(address):
    assert await tunnels.probe(address, '127.0.0.1:1', 0.3) is None
    async with run_scene() as scene:
        scene.listed.add(address)
        outcome = await tunnels.probe(scene.tunnel, address, 1.0)
    assert outcome is tunnels.TunnelOutcome.UNREACHABLE


async def test_a_connection_without_a_request_is_closed(monkeypatch, caplog):
    monkeypatch.setattr(
        'swiftjunction.tunnels._server.REQUEST_TIMEOUT_SECONDS', 0.1
    )
    async with run_scene() as scene:
        host, _, port = scene.tunnel.partition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with anyio.fail_after(1.0), pytest.raises(anyio.EndOfStream):
                await stream.receive()
    assert 'unhandled error' not in caplog.text


@pytest.mark.parametrize('method', ['listen', 'bind', None])
def test_a_socket_that_cannot_listen_is_reported_by_a_typed_error(
    monkeypatch, method
):
    def fail(*arguments):
        raise OSError(errno.EMFILE, 'too many open files')

    if method is None:
        monkeypatch.setattr(socket, 'socket', fail)
    else:

        class FailingSocket(socket.socket):
            pass

        setattr(FailingSocket, method, fail)
        monkeypatch.setattr(socket, 'socket', FailingSocket)
    with pytest.raises(errors.SettingsError, match='too many open files'):
        web.bind_socket('127.0.0.1', 0)
    assert tunnels.open_tunnel_server('127.0.0.1', [0], bool) is None


async def test_a_vm_listens_for_tunnels_once_a_port_is_free(monkeypatch):
    monkeypatch.setattr(_tunneling, 'RETRY_SECONDS', 0.02, raising=False)
    taken = web.bind_socket('127.0.0.1', 0)
    port = taken.getsockname()[1]
    settings = _settings.EdgeSettings(
        'vm', '127.0.0.1', 'dc', 'r', port - 1, port, ''
    )
    served = _tunneling.PeerTunnels(settings, None, None, None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(served.run)
        await anyio.sleep(0.05)
        assert served.port == 0
        taken.close()
        with anyio.fail_after(2):
            while not served.port:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_a_vm_without_ports_for_tunnels_does_not_wait_for_one():
    settings = _settings.EdgeSettings('vm', '127.0.0.1', 'dc', 'r', 1, 1, '')
    served = _tunneling.PeerTunnels(settings, None, None, None)
    with anyio.fail_after(0.5):
        await served.run()
