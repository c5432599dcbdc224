"""What a process keeps of servers that announced that they are leaving."""

import anyio
import httpx
import pytest

from swiftjunction import backends
from swiftjunction.backends import _http
from swiftjunction.backends import _leaving
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import web
from tests import conftest
from tests import stack

LEAVING_RESPONSE = httpx.Response(200, headers={'x-leaving': 'true'})


class Servers:
    """A directory of one server that announced that it is leaving."""

    def __init__(self, born_ms=0):
        self.born_ms = born_ms
        self.clock = conftest.FakeClock()
        self.directory = backends.Directory(
            membership.RecordTable(), self.clock
        )
        self.report('live')
        _http.update_from_headers(LEAVING_RESPONSE, self.directory.get('a'))
        assert not self.is_live()

    def report(self, state, **changes):
        fields = {'address': 'a:1', 'born_ms': self.born_ms, **changes}
        self.directory.update(
            backends.ServerReport(
                'a', service='s', data_center='dc', state=state, **fields
            )
        )

    def is_live(self):
        return self.directory.get('a').is_live()


@pytest.mark.parametrize('born_ms', [0, 5])
@pytest.mark.parametrize('between', ['down', 'gone', 'live'])
def test_a_report_that_does_not_know_of_the_leave_does_not_undo_it(
    born_ms, between
):
    servers = Servers(born_ms)
    servers.report(between)
    servers.report('live')
    assert not servers.is_live()


def test_without_a_start_time_a_reported_leave_ends_with_a_live_report():
    servers = Servers()
    servers.report('leaving')
    assert not servers.is_live()
    servers.report('live')
    assert servers.is_live()


def test_without_a_start_time_another_address_is_another_instance():
    servers = Servers()
    servers.report('live', address='a:2')
    assert servers.is_live()


def test_without_a_start_time_an_unreported_leave_ends_after_a_minute():
    servers = Servers()
    servers.clock.now += 59
    assert not servers.is_live()
    servers.clock.now += 2
    assert servers.is_live()


def test_with_a_start_time_nothing_but_another_start_ends_the_leave():
    servers = Servers(born_ms=5)
    for state in ('leaving', 'live', 'down', 'live', 'gone', 'live'):
        servers.report(state)
    servers.clock.now += 10_000
    servers.report('live', address='a:2')
    assert not servers.is_live()
    servers.report('live', born_ms=6)
    assert servers.is_live()
    assert len(servers.directory.leaving_servers) == 0


def test_the_announcement_that_expires_first_is_forgotten_if_there_are_many(
    monkeypatch,
):
    monkeypatch.setattr(_leaving, 'MAX_ANNOUNCEMENTS', 100)
    clock = conftest.FakeClock()
    leaving = _leaving.LeavingServers(clock)

    def make_report(number):
        return backends.ServerReport(
            f's{number}', 'a:1', 's', 'dc', born_ms=number + 1
        )

    for number in range(110):
        clock.now += 0.001
        listed = number >= 20
        leaving.record(make_report(number), 'r', 'call', listed)
    assert len(leaving) == 100
    assert not leaving.contains(make_report(0))
    assert leaving.contains(make_report(15))
    assert leaving.contains(make_report(109))


def test_a_server_object_that_is_still_in_use_knows_of_the_leave():
    servers = Servers(born_ms=5)
    kept = servers.directory.get('a')
    servers.report('gone')
    servers.report('live')
    assert servers.directory.get('a') is not kept
    assert not kept.is_live()


@pytest.mark.anyio
async def test_the_announcement_of_a_broken_response_is_noticed():
    async def respond(exchange):
        await exchange.respond(b'half', 'x-leaving: true\r\n', length=10)
        await exchange.stream.aclose()

    scripted = stack.ScriptedServer(respond)
    peers = web.PeerClients()
    async with anyio.create_task_group() as tasks:
        await tasks.start(scripted.run)
        server = backends.BackendServer(
            backends.ServerReport('a', scripted.address, 's', 'dc')
        )
        call = backends.ServiceCall('r', 'GET', '/', '', b'x', [], 1.0)
        with pytest.raises(errors.AnswerBroken):
            await backends.ServiceClient(peers).call(server, call)
        await peers.close()
        tasks.cancel_scope.cancel()
    assert not server.is_live()
