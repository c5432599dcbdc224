"""Answers whose body has no end."""

import anyio
import httpx
import pytest

from swiftjunction.coordination import _peer
from swiftjunction import errors
from swiftjunction.platform import _store
from swiftjunction import web
from swiftjunction.web import _bodies
from tests import endless_server

pytestmark = pytest.mark.anyio


@pytest.fixture
async def peers():
    clients = web.PeerClients()
    yield clients
    await clients.close()


async def fetch(peers, address):
    client = peers.get_direct(address)
    await client.fetch('GET', '/', timeout_seconds=0.3)


async def get(peers, address):
    await peers.get(address).get('/', timeout=0.3)


CLIENTS = pytest.mark.parametrize(
    'ask', [fetch, get], ids=['platform', 'own_deployment']
)


@CLIENTS
@pytest.mark.parametrize('body', endless_server.BODIES)
async def test_an_endless_body_of_the_store_or_a_peer_is_cut_off(
    peers, body, ask
):
    server = endless_server.EndlessServer(*endless_server.BODIES[body])
    async with server.run():
        with anyio.fail_after(10):
            with pytest.raises(httpx.RemoteProtocolError):
                await ask(peers, server.address)
            await server.closed.wait()


@CLIENTS
async def test_a_slow_body_of_the_store_or_a_peer_is_cut_off(
    peers, ask, monkeypatch
):
    monkeypatch.setattr(_bodies, 'MIN_BODY_SECONDS', 0.5)
    server = endless_server.EndlessServer(*endless_server.SLOW_BODY, 0.02)
    async with server.run():
        with anyio.fail_after(3):
            with pytest.raises(httpx.ReadTimeout):
                await ask(peers, server.address)
            await server.closed.wait()


@CLIENTS
async def test_a_slow_body_arrives_that_ends_in_time(peers, ask):
    # It takes longer than a read may.
    start = endless_server.HEAD + b'Content-Length: 20\r\n\r\n'
    server = endless_server.EndlessServer(start, b'x', 0.03)
    async with server.run():
        await ask(peers, server.address)


async def read_from_store(peers, address):
    await _store.PlatformStore(peers, address).list('servers/')


async def read_through_peer(peers, address):
    await _peer.PeerStore(_peer.PeerClient(peers, address)).list('servers/')


@pytest.mark.parametrize('read', [read_from_store, read_through_peer])
async def test_a_list_without_end_counts_as_an_unavailable_store(peers, read):
    server = endless_server.EndlessServer(
        *endless_server.BODIES['without_length']
    )
    async with server.run():
        with anyio.fail_after(10):
            with pytest.raises(errors.PlatformUnavailable):
                await read(peers, server.address)
            await server.closed.wait()
