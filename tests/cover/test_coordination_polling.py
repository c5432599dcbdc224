"""Polls of peers' statuses over real sockets on loopback."""

import contextlib

import anyio
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _polling
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import routing
from swiftjunction import standins
from swiftjunction import web
from tests.cover.test_coordination import make_entry
from tests.cover.test_coordination import make_status

pytestmark = pytest.mark.anyio

PREFIX = 'k/'


class CountingClients(web.PeerClients):
    """HTTP clients that count the requests to each address."""

    def __init__(self):
        super().__init__()
        self.addresses = []

    def get_direct(self, address):
        self.addresses.append(address)
        return super().get_direct(address)


class FakeRouter:
    """The load of organisations that a VM tells, and that it was told."""

    def __init__(self):
        self.own = {}
        self.told = {}

    def list_flow_rates(self):
        return self.own

    def record_flow_rates(self, peer, rates):
        self.told[peer] = rates


class Vm:
    """A VM that polls one other and is polled by it.

    Attributes
    ----------
    has_http : bool
        Whether the VM answers polls over HTTP.
    has_datagrams : bool
        Whether the VM sends and answers datagrams.
    """

    def __init__(self, name, has_http=True, has_datagrams=True):
        self.name = name
        [self.port] = standins.reserve_ports(1)
        self.has_http = has_http
        self.has_datagrams = has_datagrams
        self.clients = CountingClients()
        self.revision = 0
        self.members = coordination.MemberTable(self.make_member())
        self.feed_sync = coordination.FeedSync(
            None, self.clients, self.members
        )
        self.router = FakeRouter()
        self.feed = self.feed_sync.add(
            PREFIX, objectstore.CallbackListener(lambda found: None)
        )

    def make_member(self):
        address = f'127.0.0.1:{self.port}'
        return coordination.Member(
            self.name, address, address, 'dc-1', 'r-1', '1'
        )

    def make_status(self):
        status = make_status(self.name)
        return msgspec.structs.replace(
            status,
            revisions={PREFIX: self.revision},
            flow_rates=self.router.list_flow_rates(),
        )

    async def run(self):
        async with anyio.create_task_group() as tasks:
            if self.has_http:
                app = coordination.PeerApp(
                    self.make_status, None, self.feed_sync, lambda: None
                ).build()
                listener = web.open_listener('127.0.0.1', self.port)
                tasks.start_soon(listener.serve, app)
            if self.has_datagrams:
                datagrams = coordination.PeerDatagrams(
                    lambda: web.bind_datagram_socket('127.0.0.1', self.port)
                )
                poller = coordination.PeerPoller(
                    datagrams,
                    self.clients,
                    self.members,
                    self.feed_sync,
                    self.make_status,
                    router=self.router,
                )
                tasks.start_soon(datagrams.run)
                tasks.start_soon(poller.run)

    def reaches(self, peer):
        return peer.name in {s.name for s in self.members.list_statuses()}


@contextlib.asynccontextmanager
async def run_vms(*vms):
    for vm in vms:
        for other in vms:
            vm.members.apply_entry(make_entry(other.make_member()))
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(vm.run)
        yield
        tasks.cancel_scope.cancel()


async def wait_until(check):
    with anyio.fail_after(5):
        while not check():
            await anyio.sleep(0.01)


async def test_vms_that_exchange_datagrams_send_no_http_requests():
    a, b = Vm('a'), Vm('b')
    async with run_vms(a, b):
        await wait_until(lambda: a.reaches(b) and b.reaches(a))
        await anyio.sleep(2 * _polling.POLL_INTERVAL_SECONDS)
    # The first query may be sent before the other VM has a socket.
    assert len(a.clients.addresses) <= 1
    assert len(b.clients.addresses) <= 1


async def test_a_peer_whose_datagrams_are_lost_is_polled_over_http():
    a, b = Vm('a'), Vm('b', has_datagrams=False)
    async with run_vms(a, b):
        await wait_until(lambda: a.reaches(b))


async def test_a_peer_that_refuses_connections_is_soon_unreachable():
    a, b = Vm('a'), Vm('b', has_http=False, has_datagrams=False)
    async with run_vms(a, b):
        started_at = anyio.current_time()
        await wait_until(lambda: 'b' in a.members._failures)
        assert anyio.current_time() - started_at < 0.5
        assert not a.reaches(b)


async def test_a_status_with_a_newer_revision_is_copied_at_once():
    a, b = Vm('a'), Vm('b')
    async with run_vms(a, b), anyio.create_task_group() as tasks:
        await wait_until(lambda: a.reaches(b))
        tasks.start_soon(a.feed_sync._copy_newer, a.feed)
        b.feed.replace([objectstore.Object('k/a', 5, b'1')])
        b.feed.mark_current(5)
        b.revision = 5
        await wait_until(lambda: a.feed.revision == 5)
        tasks.cancel_scope.cancel()


class TestDatagrams:
    def make_poller(self, vm):
        sock = web.bind_datagram_socket('127.0.0.1', vm.port)
        return coordination.PeerPoller(
            coordination.PeerDatagrams(lambda: sock),
            vm.clients,
            vm.members,
            vm.feed_sync,
            vm.make_status,
        )

    def test_a_reply_to_an_old_query_is_ignored(self):
        a, b = Vm('a'), Vm('b')
        a.members.apply_entry(make_entry(b.make_member()))
        poller = self.make_poller(a)
        poller._round_number = 3
        poller._handle_reply(_polling.StatusReply(1, b.make_status()))
        assert not a.reaches(b)
        poller._handle_reply(_polling.StatusReply(2, b.make_status()))
        assert a.reaches(b)

    async def test_an_invalid_datagram_is_ignored(self):
        a, b = Vm('a'), Vm('b')
        async with run_vms(a, b):
            udp = await anyio.create_udp_socket(local_host='127.0.0.1')
            async with udp:
                for data in (b'', b'\xff' * 9, b'\x81\xa4type\xa5other'):
                    await udp.sendto(data, '127.0.0.1', a.port)
            await wait_until(lambda: a.reaches(b) and b.reaches(a))

    async def test_a_member_with_a_broken_address_stops_no_polls(self):
        a, b = Vm('a'), Vm('b')
        for address in ('', 'nowhere', '127.0.0.1:x', '127.0.0.1:99999'):
            member = msgspec.structs.replace(
                a.make_member(), name=f'broken {address}', address=address
            )
            a.members.apply_entry(make_entry(member))
        async with run_vms(a, b):
            await anyio.sleep(2 * _polling.POLL_INTERVAL_SECONDS)
            await wait_until(lambda: a.reaches(b) and b.reaches(a))

    def test_a_port_in_use_is_an_error_of_the_settings(self):
        a = Vm('a')
        with web.bind_datagram_socket('127.0.0.1', a.port):
            with pytest.raises(errors.SettingsError):
                web.bind_datagram_socket('127.0.0.1', a.port)


async def test_peers_learn_the_load_of_organisations():
    a, b = Vm('a'), Vm('b')
    b.router.own = {'fit': [routing.FlowRate('first', 9.0, 3.0)]}
    async with run_vms(a, b):
        await wait_until(lambda: a.router.told)
    assert a.router.told == {'b': b.router.own}
    assert b.router.told == {}


async def test_an_odd_answer_of_a_peer_does_not_end_the_polls(monkeypatch):
    fetch_status = _polling._peer.fetch_status
    failures = []

    async def fail_once(client, timeout_seconds):
        if not failures:
            failures.append(client)
            raise RuntimeError('odd')
        return await fetch_status(client, timeout_seconds)

    monkeypatch.setattr(_polling._peer, 'fetch_status', fail_once)
    a, b = Vm('a'), Vm('b', has_datagrams=False)
    async with run_vms(a, b):
        await wait_until(lambda: a.reaches(b))
    assert len(failures) == 1
