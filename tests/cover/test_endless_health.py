"""Health checks in an own deployment whose answers have no end."""

import types

import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction.daemons import _listing
from swiftjunction.daemons import _servers
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import web
from tests import endless_server

pytestmark = pytest.mark.anyio

ANSWERS = {
    'informational_heads': endless_server.HEADS['informational_heads'],
    'no_http': endless_server.HEADS['no_http'],
    **endless_server.BODIES,
}
SLOW_ANSWERS = {'body': endless_server.SLOW_BODY, **endless_server.SLOW_HEADS}


@pytest.fixture
async def peers():
    clients = web.PeerClients()
    yield clients
    await clients.close()


async def wait_until_down(peers, server):
    table = membership.RecordTable()
    processes = types.SimpleNamespace(
        change_count=0, select=lambda role: [types.SimpleNamespace(vm='c')]
    )
    tree = types.SimpleNamespace(
        has_model=lambda name: False, has_service=lambda name: name == 's'
    )
    monitor = _servers.ServerMonitor('c', table, processes, tree, peers)
    vm = objectstore.Vm('endless', server.address, 's', 'dc', 'r', 'live')
    table.put(f'{_listing.VM_PREFIX}{vm.name}', msgspec.msgpack.encode(vm))
    key = f'{backends.SERVER_PREFIX}{vm.name}'
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor.run)
        while table.get(key) is None:
            await anyio.sleep(0.01)
        await server.closed.wait()
        tasks.cancel_scope.cancel()
    report = msgspec.msgpack.decode(
        table.get(key).value, type=backends.ServerReport
    )
    assert report.state == 'down'


@pytest.mark.parametrize('answer', ANSWERS)
async def test_a_server_whose_health_has_no_end_is_down(peers, answer):
    server = endless_server.EndlessServer(*ANSWERS[answer])
    async with server.run():
        with anyio.fail_after(10):
            await wait_until_down(peers, server)


@pytest.mark.parametrize('answer', SLOW_ANSWERS)
async def test_a_server_whose_health_is_slow_is_down_in_time(
    peers, answer, monkeypatch
):
    monkeypatch.setattr(_servers, 'HEALTH_CHECK_TIMEOUT_SECONDS', 0.4)
    server = endless_server.EndlessServer(*SLOW_ANSWERS[answer], 0.02)
    async with server.run():
        # The first check comes after at most 0.25 s.
        with anyio.fail_after(0.25 + 0.4 + 2.5):
            await wait_until_down(peers, server)


async def test_the_check_for_a_crash_ends_although_the_answer_is_slow(peers):
    server = endless_server.EndlessServer(*endless_server.SLOW_BODY, 0.02)
    async with server.run():
        with anyio.fail_after(4):
            client = backends.ServiceClient(peers)
            assert not await client.is_crashed(server.make_backend())
            await server.closed.wait()
