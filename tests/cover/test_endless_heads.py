"""Answers whose head has no end."""

import anyio
import httpx
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform.servers import _workers
from swiftjunction import web
from tests import endless_server

pytestmark = pytest.mark.anyio

CALL = backends.ServiceCall('i', 'POST', '/x', '', b'body', [], 0.3)


async def call(client, server):
    await client.call(server, CALL)


async def open_stream(client, server):
    await client.open_stream(server, CALL, backends.StreamPosition())


async def generate(client, server):
    sample = batches.Sample('i', '/x', [], b'body')
    async for _ in client.generate(server, 'h', sample, -1, lambda: None):
        pass


async def read_report(client, server):
    await client.read_report(server)


async def send_order(client, server):
    order = batches.VersionOrder('m', 2, 'h', 1, 0)
    await client.send_order(server, order, lambda: None)


ANSWERS = [call, open_stream, generate, read_report, send_order]


@pytest.fixture
async def peers():
    clients = web.PeerClients()
    yield clients
    await clients.close()


@pytest.mark.parametrize('ask', ANSWERS, ids=lambda ask: ask.__name__)
@pytest.mark.parametrize('head', endless_server.HEADS)
async def test_an_endless_head_is_cut_off(peers, head, ask):
    server = endless_server.EndlessServer(*endless_server.HEADS[head])
    async with server.run():
        with anyio.fail_after(5):
            with pytest.raises(errors.AnswerBroken) as failure:
                await ask(_workers.WorkerClient(peers), server.make_backend())
            await server.closed.wait()
    # By its size, and not once the timeout had passed.
    assert 'before the timeout' not in str(failure.value)


@pytest.mark.parametrize('head', endless_server.HEADS)
async def test_an_endless_head_of_the_store_or_a_peer_is_cut_off(peers, head):
    server = endless_server.EndlessServer(*endless_server.HEADS[head])
    async with server.run():
        with anyio.fail_after(5):
            with pytest.raises(httpx.RemoteProtocolError):
                await peers.get_direct(server.address).fetch('GET', '/')
            await server.closed.wait()


@pytest.mark.parametrize('head', endless_server.SLOW_HEADS)
async def test_a_slow_head_ends_by_its_time_in_total(peers, head):
    server = endless_server.EndlessServer(
        *endless_server.SLOW_HEADS[head], pause_seconds=0.02
    )
    async with server.run():
        with anyio.fail_after(5):
            with pytest.raises(httpx.ReadTimeout):
                await peers.get_direct(server.address).send(
                    'GET', '/', timeout_seconds=0.2, connect_seconds=0.2
                )
            await server.closed.wait()


async def test_a_head_as_long_as_a_valid_one_arrives(peers):
    # Two informational heads come before it.
    start = endless_server.SLOW_HEADS['informational_heads'][1] * 2 + (
        endless_server.HEAD + b'x-a: %s\r\n' % (b'x' * 60_000)
    )
    server = endless_server.EndlessServer(
        start + b'Content-Length: 100000\r\n\r\n', b'x' * 100_000
    )
    async with server.run():
        status, body = await peers.get_direct(server.address).fetch('GET', '/')
    assert status == 200
    assert len(body) == 100_000
