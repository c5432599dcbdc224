import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform import _workers
from swiftjunction import web

pytestmark = pytest.mark.anyio


class Listener:
    """Accepts connections, and records what it receives."""

    def __init__(self):
        self.received = b''
        self.connected = anyio.Event()

    async def handle(self, stream):
        self.connected.set()
        async with stream:
            async for data in stream:
                self.received += data


def refuse():
    raise errors.NotRun('the batch may have ended', step='send')


async def send_sample(client, server):
    sample = batches.Sample('i', '/x', [], b'body', group='g')
    events = client.generate(server, 'h', sample, -1, refuse)
    await anext(events)


async def send_call(client, server):
    await client.call(
        server,
        backends.ServiceCall(
            'i', 'POST', '/x', '', b'body', [], 1.0, 'h', refuse
        ),
    )


@pytest.mark.parametrize('send', [send_sample, send_call])
async def test_nothing_is_sent_if_the_check_on_the_open_connection_fails(send):
    listener = Listener()
    peers = web.PeerClients()
    tcp = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = tcp.extra(anyio.abc.SocketAttribute.local_port)
    server = backends.BackendServer(
        backends.ServerReport('e', f'127.0.0.1:{port}', 's', 'dc')
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tcp.serve, listener.handle)
        with anyio.fail_after(5):
            with pytest.raises(errors.NotRun):
                await send(_workers.WorkerClient(peers), server)
            await listener.connected.wait()
        await peers.close()
        assert listener.received == b''
        tasks.cancel_scope.cancel()
    await tcp.aclose()
