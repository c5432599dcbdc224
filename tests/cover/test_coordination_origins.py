"""Origins of streams, shared over real sockets on loopback."""

import contextlib

import anyio
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction.coordination.records import _origins
from swiftjunction import requests
from swiftjunction import standins
from swiftjunction import web
from tests import conftest
from tests.cover.test_coordination import make_entry

pytestmark = pytest.mark.anyio

ORIGIN = requests.StreamOrigin('s', 'v1')
LIFETIME_SECONDS = 60.0


class Vm:
    """A VM that shares origins.

    Attributes
    ----------
    lost : int
        Number of datagrams that are lost before one is sent.
    sent : list of str
        The addresses to which datagrams were sent.
    """

    def __init__(self, name, data_center='dc-1'):
        [self.port] = standins.reserve_ports(1)
        self.address = f'127.0.0.1:{self.port}'
        self.member = coordination.Member(
            name, self.address, self.address, data_center, 'r-1', '1'
        )
        self.members = coordination.MemberTable(self.member)
        self.origins = coordination.SharedOrigins(self.members)
        self.lost = 0
        self.sent = []

    def knows(self, request_id):
        return self.origins._table.get(request_id) is not None

    async def run(self):
        datagrams = LossyDatagrams(self)
        self.origins.connect(datagrams)
        await datagrams.run()


class LossyDatagrams(coordination.PeerDatagrams):
    def __init__(self, vm):
        super().__init__(
            lambda: web.bind_datagram_socket('127.0.0.1', vm.port)
        )
        self.vm = vm

    async def send(self, message, address):
        if self.vm.lost:
            self.vm.lost -= 1
            return
        self.vm.sent.append(address)
        await super().send(message, address)


@contextlib.asynccontextmanager
async def run_vms(*vms, members=()):
    for vm in vms:
        for other in [*vms, *members]:
            vm.members.apply_entry(make_entry(other.member))
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(vm.run)
        await anyio.wait_all_tasks_blocked()
        yield
        tasks.cancel_scope.cancel()


async def test_an_origin_outlives_the_vm_that_recorded_it():
    vms = [Vm(str(number)) for number in range(6)]
    async with run_vms(*vms):
        await vms[0].origins.record('r', ORIGIN, LIFETIME_SECONDS)
        assert sum(vm.knows('r') for vm in vms) >= 2
        await anyio.sleep(0.05)
        assert sum(vm.knows('r') for vm in vms) == 3
        vms[0].origins._table = requests.OriginTable()
        for vm in vms:
            assert await vm.origins.find('r') == ORIGIN


async def test_an_origin_is_recorded_in_another_data_centre():
    vms = [Vm(str(number)) for number in range(6)]
    remote = Vm('remote', 'dc-2')
    async with run_vms(*vms, remote):
        for number in range(10):
            await vms[0].origins.record(f'r{number}', ORIGIN, LIFETIME_SECONDS)
        await anyio.sleep(0.05)
        assert all(remote.knows(f'r{number}') for number in range(10))


async def test_a_lost_datagram_is_sent_again():
    a, b = Vm('a'), Vm('b')
    async with run_vms(a, b):
        a.lost = 1
        await a.origins.record('r', ORIGIN, LIFETIME_SECONDS)
        assert b.knows('r')
        a.origins._table = requests.OriginTable()
        a.lost = 1
        assert await a.origins.find('r') == ORIGIN


async def test_silent_peers_delay_a_stream_by_little():
    a, silent = Vm('a'), Vm('silent')
    async with run_vms(a, members=[silent]):
        with anyio.fail_after(0.2):
            await a.origins.record('r', ORIGIN, LIFETIME_SECONDS)
        assert await a.origins.find('r') == ORIGIN
        with anyio.fail_after(0.5):
            assert await a.origins.find('unknown') is None
        # One that is known not to answer is not waited for.
        for _ in range(2):
            a.members.record_failure('silent', unsent=True)
        with anyio.fail_after(0.01):
            await a.origins.record('r2', ORIGIN, LIFETIME_SECONDS)


async def test_an_unknown_origin_is_denied_as_soon_as_all_have_answered():
    vms = [Vm(str(number)) for number in range(4)]
    async with run_vms(*vms):
        with anyio.fail_after(0.08):
            assert await vms[0].origins.find('unknown') is None


async def test_an_answer_to_a_vm_before_it_restarted_is_not_taken():
    silent = Vm('silent')
    before, after = Vm('a'), Vm('a')
    numbers = []
    for vm, request_id in ((before, 'former'), (after, 'new')):
        async with run_vms(vm, members=[silent]):
            async with anyio.create_task_group() as tasks:
                found = []

                async def find(vm=vm, request_id=request_id, found=found):
                    found.append(await vm.origins.find(request_id))

                tasks.start_soon(find)
                await anyio.sleep(0.02)
                numbers += vm.origins._calls
                # A peer that stood still answers the first call only now.
                await after.origins._handle_answer(
                    _origins.OriginAnswer(numbers[0], ORIGIN), silent.address
                )
    assert len(numbers) == 2
    assert found == [None]


async def test_a_peer_with_a_broken_address_is_no_obstacle():
    a, b, broken = Vm('a'), Vm('b'), Vm('broken')
    broken.member = msgspec.structs.replace(broken.member, address='nowhere')
    async with run_vms(a, b, members=[broken]):
        for number in range(5):
            await b.origins.record(f'r{number}', ORIGIN, LIFETIME_SECONDS)
            assert await a.origins.find(f'r{number}') == ORIGIN
        assert await a.origins.find('unknown') is None


async def test_ids_that_are_too_long_are_not_sent():
    a, b = Vm('a'), Vm('b')
    async with run_vms(a, b):
        await a.origins.record('x' * 10_000, ORIGIN, LIFETIME_SECONDS)
        assert await a.origins.find('x' * 10_000) is None
        assert await a.origins.find('') is None
        assert a.sent == []


async def test_a_datagram_that_cannot_be_answered_is_ignored(monkeypatch):
    a, b = Vm('a'), Vm('b')
    async with run_vms(a, b):
        with monkeypatch.context() as patch:
            patch.setattr(
                coordination.SharedOrigins,
                '_reply',
                lambda origins, message, sender: send_nowhere(origins),
            )
            assert await a.origins.find('unknown') is None
        await a.origins.record('r', ORIGIN, LIFETIME_SECONDS)
        assert b.knows('r')


async def send_nowhere(origins):
    await origins._datagrams.send(None, '127.0.0.1:0')


class TestTable:
    async def test_origins_are_bounded_in_number_the_oldest_go_first(self):
        table = requests.OriginTable(max_origins=3)
        for number in range(5):
            table.add(str(number), ORIGIN, LIFETIME_SECONDS)
        table.add('2', ORIGIN, LIFETIME_SECONDS)
        table.add('5', ORIGIN, LIFETIME_SECONDS)
        known = [n for n in range(6) if table.get(str(n)) is not None]
        assert known == [2, 4, 5]

    async def test_origins_expire(self):
        clock = conftest.FakeClock()
        table = requests.OriginTable(clock)
        table.add('a', ORIGIN, 10.0)
        table.add('b', ORIGIN, 30.0)
        clock.now += 20.0
        assert table.get('a') is None
        assert table.get('b') == ORIGIN
        table.add('c', ORIGIN, 30.0)
        assert len(table) == 2
