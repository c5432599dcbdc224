"""Whether a process reaches the servers of a service."""

import random

import anyio
import pytest

from swiftjunction import backends
from swiftjunction.backends import _reachability

pytestmark = pytest.mark.anyio

SERVICE = 'engines'


class Scene:
    """Three servers, some of which accept connections."""

    def __init__(self):
        self.servers = [
            backends.BackendServer(
                backends.ServerReport(f'e{i}', f'10.0.0.{i}:1', SERVICE, 'dc')
            )
            for i in range(3)
        ]
        self.accepting = {server.address for server in self.servers}
        self.hanging = False
        self.connections = 0
        self.cuts = []
        self.reachability = backends.Reachability(
            self.select, random.Random(1), self.connect
        )
        self.reachability.listen(self.cuts.append)

    def select(self, service):
        return self.servers if service == SERVICE else []

    async def connect(self, address, timeout_seconds):
        self.connections += 1
        if address in self.accepting:
            return True
        if self.hanging:
            await anyio.sleep(timeout_seconds)
        return False

    async def wait_until_cut_off(self, is_cut_off=True, seconds=3.0):
        with anyio.fail_after(seconds):
            while self.reachability.is_cut_off(SERVICE) is not is_cut_off:
                await anyio.sleep(0.01)


async def test_a_service_is_cut_off_if_no_server_accepts_a_connection():
    scene = Scene()
    scene.accepting.clear()
    assert await scene.reachability.confirm(SERVICE)
    assert scene.reachability.list_cut_off() == [SERVICE]


async def test_one_server_that_accepts_a_connection_is_enough():
    scene = Scene()
    scene.accepting = {scene.servers[1].address}
    assert not await scene.reachability.confirm(SERVICE)
    assert scene.cuts == []


async def test_a_connection_that_hangs_is_noticed_within_a_second():
    scene = Scene()
    scene.accepting.clear()
    scene.hanging = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        with scene.reachability.track(scene.servers[0]):
            await scene.wait_until_cut_off(seconds=1.0)
        tasks.cancel_scope.cancel()


async def test_a_stream_that_falls_silent_is_noticed_within_a_second():
    scene = Scene()
    scene.accepting.clear()
    scene.hanging = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        with scene.reachability.track(scene.servers[0]) as exchange:
            exchange.is_sent = True
            for _ in range(20):
                exchange.record_contact()
                await anyio.sleep(0.02)
            assert scene.connections == 0
            await scene.wait_until_cut_off(seconds=1.0)
        tasks.cancel_scope.cancel()


async def test_a_slow_server_is_not_a_cut():
    scene = Scene()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        with scene.reachability.track(scene.servers[0]) as exchange:
            exchange.is_sent = True
            await anyio.sleep(1.5)
        tasks.cancel_scope.cancel()
    assert scene.cuts == []
    assert 1 <= scene.connections <= 3


async def test_a_request_that_connects_is_abandoned_and_a_sent_one_is_not():
    scene = Scene()
    scene.accepting.clear()
    with (
        scene.reachability.track(scene.servers[0]) as connecting,
        scene.reachability.track(scene.servers[0]) as sent,
        connecting.connect() as connecting_scope,
        sent.connect() as sent_scope,
    ):
        sent.is_sent = True
        with anyio.CancelScope(shield=True):
            await scene.reachability.confirm(SERVICE)
        assert connecting_scope.cancel_called
        assert not sent_scope.cancel_called


async def test_it_takes_two_checks_to_return():
    scene = Scene()
    accepting = set(scene.accepting)
    scene.accepting.clear()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        await scene.reachability.confirm(SERVICE)
        scene.accepting = accepting
        began = anyio.current_time()
        await scene.wait_until_cut_off(False)
        seconds = anyio.current_time() - began
        tasks.cancel_scope.cancel()
    assert scene.cuts == [SERVICE]
    assert seconds > _reachability.RECHECK_SECONDS / 2


async def test_a_check_that_took_too_long_says_nothing(monkeypatch):
    # The timeouts of a process that was frozen or slow expire all at once.
    scene = Scene()
    scene.accepting.clear()
    scene.hanging = True
    monkeypatch.setattr(_reachability, 'MAX_CHECK_SECONDS', 0.2)
    assert not await scene.reachability.confirm(SERVICE)


async def test_a_service_without_servers_is_not_cut_off():
    scene = Scene()
    scene.accepting.clear()
    assert await scene.reachability.confirm(SERVICE)
    scene.servers.clear()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        await scene.wait_until_cut_off(False)
        tasks.cancel_scope.cancel()


async def test_an_idle_process_checks_nothing():
    scene = Scene()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert scene.connections == 0


@pytest.mark.parametrize(
    'address', ['', 'x', '127.0.0.1:', '127.0.0.1:99999', '127.0.0.1:-1']
)
async def test_an_invalid_address_of_a_server_ends_no_check(address):
    # Another writer may have stored the entry of the server.
    assert not await _reachability.can_connect(address, 0.3)


async def test_an_unexpected_error_of_a_check_does_not_end_the_others():
    scene = Scene()
    scene.accepting.clear()
    select = scene.reachability._select_servers
    failures = []

    def fail_for_another(service):
        if service == 'odd':
            failures.append(service)
            raise RuntimeError('odd')
        return select(service)

    scene.reachability._select_servers = fail_for_another
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.reachability.run)
        scene.reachability.suspect('odd')
        await anyio.sleep(0.1)
        scene.reachability.suspect(SERVICE)
        await scene.wait_until_cut_off()
        tasks.cancel_scope.cancel()
    assert failures == ['odd']


class OddServers(Scene):
    """Connections to some servers fail unexpectedly, before all others."""

    def __init__(self, count, error):
        super().__init__()
        self.error = error
        self.odd = {server.address for server in self.servers[:count]}

    async def connect(self, address, timeout_seconds):
        if address in self.odd:
            raise self.error
        await anyio.sleep(0.05)
        return await super().connect(address, timeout_seconds)


async def test_an_unexpected_error_of_one_server_does_not_end_the_check():
    for index in range(3):
        scene = OddServers(2, RecursionError())
        scene.reachability._rng.seed(index)
        assert not await scene.reachability.confirm(SERVICE)
        assert SERVICE in scene.reachability._contacts
        scene.accepting.clear()
        scene.reachability._services.clear()
        assert await scene.reachability.confirm(SERVICE)


async def test_unexpected_errors_of_all_servers_do_not_show_a_cut():
    scene = OddServers(3, RecursionError())
    assert not await scene.reachability.confirm(SERVICE)
    assert scene.cuts == []


async def test_a_connection_without_memory_ends_the_check():
    scene = OddServers(3, MemoryError())
    with pytest.RaisesGroup(MemoryError, flatten_subgroups=True):
        await scene.reachability.confirm(SERVICE)
