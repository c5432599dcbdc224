"""Connections to backend servers that are gone."""

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import membership
from swiftjunction import standins
from swiftjunction import web

pytestmark = pytest.mark.anyio


def make_report(name, address, **fields):
    return backends.ServerReport(
        name, address, 'plain', 'dc-1', state='live', **fields
    )


class Scene:
    """A server with one idle connection, in a directory."""

    def __init__(self, address):
        self.address = address
        self.clients = web.PeerClients()
        self.directory = backends.Directory(membership.RecordTable())
        self.cleaner = backends.ConnectionCleaner(self.directory, self.clients)
        self.directory.update(make_report('s1', address, born_ms=1))

    async def call(self):
        await self.clients.get_direct(self.address).fetch(
            'POST',
            '/a',
            headers=[('swiftjunction-attempt-id', 'r1')],
        )

    def count_idle(self):
        client = self.clients._direct_clients.get(self.address)
        return 0 if client is None else len(client._transport._idle)


@pytest.fixture
async def scene():
    listener = web.open_listener('127.0.0.1', 0)
    scene = Scene(listener.address)
    async with anyio.create_task_group() as tasks:
        server = standins.PlatformServiceStandin('s1')
        tasks.start_soon(standins.serve, listener, server)
        tasks.start_soon(scene.cleaner.run)
        await scene.call()
        yield scene
        tasks.cancel_scope.cancel()


async def wait_until_none_is_idle(scene):
    with anyio.fail_after(2):
        while scene.count_idle():
            await anyio.sleep(0.01)


async def test_no_connection_stays_open_to_a_server_that_is_removed(scene):
    assert scene.count_idle() == 1
    scene.directory.remove('s1')
    await wait_until_none_is_idle(scene)


async def test_no_connection_stays_open_to_the_former_run_of_a_server(scene):
    scene.directory.update(make_report('s1', scene.address, born_ms=2))
    await wait_until_none_is_idle(scene)


async def test_no_connection_stays_open_to_the_former_address(scene):
    scene.directory.update(make_report('s1', '127.0.0.1:1', born_ms=1))
    await wait_until_none_is_idle(scene)


async def test_a_connection_in_use_is_closed_after_its_request(scene):
    client = scene.clients.get_direct(scene.address)
    response = await client.send(
        'POST', '/a', headers=[('swiftjunction-attempt-id', 'r2')]
    )
    scene.directory.remove('s1')
    await anyio.sleep(0.05)
    await response.aread()
    await response.aclose()
    assert response.status_code == 200
    assert client._transport._idle == []


async def test_a_server_that_stays_keeps_its_connection(scene):
    scene.directory.update(make_report('s1', scene.address, born_ms=1))
    await anyio.sleep(0.05)
    assert scene.count_idle() == 1
