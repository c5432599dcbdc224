"""Backend servers that announce in a response that they are leaving."""

import logging
import random

import anyio
import httpx
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.platform.servers import _workers
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import routing
from tests import conftest

pytestmark = pytest.mark.anyio

HOST = 'callers.example'
SERVICE = 's'
LEAVING = ('server-leaving', '1')
SIGNED = ('swiftjunction-response-signature', 'signed')
NOT_EXECUTED = ('swiftjunction-not-executed', '1')
EVENTS = b'id: 0\ndata: a\n\nid: 1\ndata: b\n\n'
STREAM = {'type': 'text/event-stream', 'body': EVENTS}
REST = {**STREAM, 'body': EVENTS[15:]}
BROKEN_STREAM = {**STREAM, 'body': EVENTS[:20], 'breaks': True}
MAX_REFUSAL_SECONDS = 0.3


class BodyStream(httpx.AsyncByteStream):
    """A response body that may break off or wait."""

    def __init__(self, data, breaks=False, may_end=None):
        self.data = data
        self.breaks = breaks
        self.may_end = may_end

    async def __aiter__(self):
        yield self.data
        if self.may_end is not None:
            await self.may_end.wait()
        if self.breaks:
            raise httpx.ReadError('broken off')


class ScriptedServers:
    """Clients of servers that respond as scripted, without a network.

    Attributes
    ----------
    scripts : dict of str to list
        For each address, the next responses: headers, and options of the
        response. Without any, a complete signed response is returned.
    sent : list of (str, str)
        The address and the id of each request that was sent.
    connected : dict of str to Event
        If set for a request id, its connection opens at that event.
    """

    def __init__(self):
        self.scripts = {}
        self.sent = []
        self.connected = {}

    def get_direct(self, address):
        return ScriptedClient(self, address)

    def add(self, name, *headers, **options):
        self.scripts.setdefault(f'{name}:1', []).append((headers, options))


class ScriptedClient:
    def __init__(self, servers, address):
        self.servers = servers
        self.address = address

    async def send(self, method, target, *, headers, check=None, **options):
        request_id = dict(headers).get('swiftjunction-attempt-id', '')
        if request_id in self.servers.connected:
            await self.servers.connected[request_id].wait()
        if check is not None:
            check()
        self.servers.sent.append((self.address[0], request_id))
        script = self.servers.scripts.get(self.address)
        extra, options = script.pop(0) if script else ((), {})
        if 'may_respond' in options:
            await options['may_respond'].wait()
        return httpx.Response(
            options.get('status', 200),
            headers=[
                ('swiftjunction-attempt-id', options.get('id', request_id)),
                *([] if options.get('unsigned') else [SIGNED]),
                ('content-type', options.get('type', 'text/plain')),
                *extra,
            ],
            stream=BodyStream(
                options.get('body', b'body'),
                options.get('breaks', False),
                options.get('may_end'),
            ),
        )


class Workers(_workers.WorkerClient):
    """Does not probe the servers, which have no network."""

    async def is_crashed(self, server):
        return False


class Vm:
    """The components of a VM that send requests to servers."""

    def __init__(self, *names, slots=4):
        self.clock = conftest.FakeClock()
        self.directory = backends.Directory(
            membership.RecordTable(), self.clock
        )
        self.outage = []
        self.removal = backends.DelayedRemoval(
            self.directory, lambda: bool(self.outage), self.clock
        )
        self.servers = ScriptedServers()
        self.workers = Workers(self.servers)
        self.workers._control_peers = self.servers
        self.router = routing.Router(
            self.directory, 'dc', random.Random('leaving')
        )
        suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(membership.RecordTable()), 'vm'
        )
        self.forwarder = requests.Forwarder(
            self.router, self.workers, None, requests.RetryBudget(), suspects
        )
        self.relay = requests.StreamRelay(
            self.router,
            self.workers,
            self.workers,
            requests.RetryBudget(),
            suspects,
        )
        self.slots = slots
        for name in names:
            self.list_server(name)

    def list_server(self, name, born=1, state='live', address=''):
        self.removal.record_listed(
            backends.ServerReport(
                name,
                address or f'{name}:1',
                SERVICE,
                'dc',
                state=state,
                model_versions={'m': 1},
                slots=self.slots,
                born_ms=born,
                software='v1',
            )
        )

    def remove_server(self, name):
        self.removal.record_missing(name)
        self.clock.now += 60
        self.removal.remove_expired()
        assert self.directory.get(name) is None

    def make_call(self, request_id='r', seconds=2.0, attempts=3):
        return requests.ForwardedCall(
            path='/p',
            settings=configuration.PathSettings(service=SERVICE),
            service_call=backends.ServiceCall(
                request_id, 'POST', '/p', '', request_id.encode(), [], 1.0
            ),
            deadline=anyio.current_time() + seconds,
            idempotent=True,
            max_attempts=attempts,
        )

    async def forward(self, request_id='r', **options):
        return await self.forwarder.forward(
            self.make_call(request_id, **options)
        )

    async def announce(self, name='a', *headers):
        """Let a server announce in a response that it is leaving."""
        server = self.directory.get(name)
        self.servers.add(server.address[0], *(headers or [LEAVING]))
        await self.workers.call(
            server, self.make_call('announced').service_call
        )

    def list_eligible(self):
        return sorted(
            s.name for s in self.directory.select(SERVICE) if s.is_live()
        )


def make_sample(sample_id='i'):
    return batches.Sample(sample_id, '/x', [], b'', group='g')


async def call_server(vm, server):
    await vm.workers.call(server, vm.make_call().service_call)


async def open_stream(vm, server):
    await vm.workers.open_stream(
        server, vm.make_call().service_call, backends.StreamPosition()
    )


async def generate(vm, server, sample_id='i'):
    events = vm.workers.generate(
        server, HOST, make_sample(sample_id), -1, lambda: None
    )
    return [event.data async for event in events]


async def read_report(vm, server):
    await vm.workers.read_report(server)


async def send_order(vm, server):
    await vm.workers.send_order(
        server, batches.VersionOrder('m', 2, 'holder', 1, 0), lambda: None
    )


@pytest.mark.parametrize(
    ('send', 'response'),
    [
        (call_server, {}),
        (call_server, {'status': 503, 'refused': True}),
        (call_server, {'status': 500}),
        (call_server, {'status': 503}),
        (call_server, {'unsigned': True}),
        (call_server, {'id': 'another'}),
        (call_server, {'breaks': True}),
        (open_stream, {'body': EVENTS}),
        (open_stream, {'status': 503, 'refused': True}),
        (generate, {'body': EVENTS}),
        (generate, {'status': 500}),
        (generate, {'body': EVENTS[:-5], 'breaks': True}),
        (read_report, {'body': b'{}'}),
        (read_report, {'status': 500}),
        (send_order, {'status': 202}),
        (send_order, {'status': 409}),
    ],
)
async def test_an_announcement_in_any_response_is_noticed(send, response):
    vm = Vm('a', 'b')
    headers = [LEAVING] + ([NOT_EXECUTED] if response.get('refused') else [])
    vm.servers.add('a', *headers, **response)
    try:
        await send(vm, vm.directory.get('a'))
    except errors.BackendError:
        pass
    assert vm.list_eligible() == ['b']


@pytest.mark.parametrize(
    ('values', 'leaving'),
    [
        (['1'], True),
        (['1', '1'], True),
        (['true'], True),
        (['2'], True),
        ([''], True),
        (['0', '1'], True),
        (['0'], False),
        ([], False),
    ],
)
async def test_any_value_but_zero_announces_that_the_server_leaves(
    values, leaving
):
    vm = Vm('a', 'b')
    await vm.announce('a', *[(LEAVING[0], v) for v in values] or [('x', 'y')])
    assert vm.list_eligible() == (['b'] if leaving else ['a', 'b'])


async def test_a_421_of_another_instance_announces_nothing_for_this_one():
    vm = Vm('a', 'b')
    vm.servers.add(
        'a', LEAVING, ('swiftjunction-instance-id', 'z'), status=421
    )
    with pytest.raises(errors.BackendRefused):
        await call_server(vm, vm.directory.get('a'))
    # The listed instance is avoided only until its address is listed anew.
    vm.list_server('a', state='leaving')
    vm.list_server('a')
    assert vm.list_eligible() == ['a', 'b']


async def test_a_queued_request_is_not_sent_to_a_server_that_leaves():
    vm = Vm('a', 'b', slots=1)
    may_end = anyio.Event()
    vm.servers.add('a', LEAVING)
    vm.servers.add('b', may_end=may_end)
    vm.servers.connected['on-a'] = anyio.Event()
    async with anyio.create_task_group() as tasks:
        with vm.directory.get('b').track():
            tasks.start_soon(vm.forward, 'on-a')
            await anyio.sleep(0.01)
            tasks.start_soon(vm.forward, 'queued')
            await anyio.sleep(0.01)
            vm.servers.connected['on-a'].set()
            await anyio.sleep(0.05)
        may_end.set()
    assert vm.servers.sent == [('a', 'on-a'), ('b', 'queued')]


async def test_a_retry_does_not_return_to_a_server_that_refused_and_leaves():
    vm = Vm('a', slots=8)
    vm.servers.add('a', LEAVING, NOT_EXECUTED, status=503)
    with pytest.raises(errors.NotRun):
        await vm.forward('first')
    vm.list_server('b')
    for number in range(20):
        await vm.forward(f'later-{number}')
    assert [r for name, r in vm.servers.sent if name == 'a'] == ['first']


@pytest.mark.parametrize('kind', ['call', 'stream', 'sample'])
async def test_nothing_is_sent_if_the_server_announces_while_connecting(kind):
    vm = Vm('a')
    server = vm.directory.get('a')
    vm.servers.connected['late'] = anyio.Event()
    call = vm.make_call('late').service_call
    errors_seen = []

    async def send():
        try:
            if kind == 'call':
                await vm.workers.call(server, call)
            elif kind == 'stream':
                await vm.workers.open_stream(
                    server, call, backends.StreamPosition()
                )
            else:
                await generate(vm, server, 'late')
        except errors.BackendRefused as error:
            errors_seen.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.sleep(0.01)
        await vm.announce()
        # The list of servers is read anew meanwhile.
        vm.list_server('a', state='leaving')
        vm.list_server('a')
        vm.servers.connected['late'].set()
    assert len(errors_seen) == 1
    assert vm.servers.sent == [('a', 'announced')]


async def test_a_moved_sample_does_not_return_to_an_engine_that_leaves():
    vm = Vm('a', 'b')
    registry = batches.EngineRegistry(vm.directory, vm.clock)
    vm.servers.add('a', LEAVING, **BROKEN_STREAM)
    with pytest.raises(errors.AnswerBroken):
        await generate(vm, vm.directory.get('a'))
    vm.list_server('a', state='leaving')
    vm.list_server('a')
    vm.clock.now += 60
    assert [
        engine.server.name
        for engine in registry.list_engines(SERVICE)
        if engine.can_run('m', 1)
    ] == ['b']


async def test_the_samples_that_run_on_an_engine_that_leaves_are_finished():
    vm = Vm('a')
    vm.servers.add('a', LEAVING, **STREAM)
    assert await generate(vm, vm.directory.get('a')) == ['a', 'b']


async def test_a_scoring_call_is_not_repeated_at_a_server_that_leaves(rng):
    vm = Vm('a')
    vm.servers.add('a', LEAVING, status=500)
    table = routes.RouteTable(
        1,
        [
            routes.Route(
                name='score',
                host=HOST,
                prefix='/score/',
                kind=routes.RouteKind.IDEMPOTENT,
                shares=(routes.ServiceShare(SERVICE),),
                max_attempts=3,
            )
        ],
        routes.ConnectionLimits(1.0, 1),
    )
    active_routes = routes.ActiveRoutes()
    active_routes.update(table)
    scorer = batches.RoutedScorer(active_routes, vm.forwarder, rng)
    request = batches.ScoreRequest('score-i', HOST, '/score/x', b'')

    def list_another_server():
        if vm.servers.sent:
            vm.list_server('a', state='leaving')
            vm.list_server('a')
            vm.list_server('b')

    assert await scorer.score(request, list_another_server) == 'signed'
    assert vm.servers.sent == [('a', 'score-i'), ('b', 'score-i')]


async def test_a_stream_is_finished_and_the_next_ones_go_elsewhere():
    vm = Vm('a')
    may_end = anyio.Event()
    vm.servers.add('a', LEAVING, **STREAM, may_end=may_end)
    first = await vm.relay.open(vm.make_call('s'), True)
    vm.list_server('b')
    for _ in range(10):
        vm.servers.add('b', **STREAM)
        stream = await vm.relay.open(vm.make_call('next'), True)
        assert [event.data async for event in stream.rest] == ['b']
    may_end.set()
    assert [event.data async for event in first.rest] == ['b']
    for _ in range(10):
        await vm.forward('next')
    assert [name for name, _ in vm.servers.sent] == ['a'] + ['b'] * 20


async def test_a_stream_that_breaks_is_resumed_elsewhere_and_so_are_others():
    vm = Vm('a')
    vm.servers.add('a', LEAVING, **BROKEN_STREAM)
    vm.servers.add('b', **REST)
    stream = await vm.relay.open(vm.make_call('s'), True)
    vm.list_server('b')
    assert [event.data async for event in stream.rest] == ['b']
    vm.clock.now += 60
    for _ in range(10):
        vm.servers.add('b', **STREAM)
        stream = await vm.relay.open(vm.make_call('next'), True)
        await stream.rest.aclose()
    assert [name for name, _ in vm.servers.sent] == ['a'] + ['b'] * 11


class TestKnowledge:
    async def test_a_listing_that_is_draining_and_ready_again_keeps_it(self):
        vm = Vm('a', 'b')
        await vm.announce()
        vm.list_server('a', state='leaving')
        vm.list_server('a')
        assert vm.list_eligible() == ['b']

    async def test_an_entry_that_lapses_and_returns_keeps_it(self):
        vm = Vm('a', 'b')
        await vm.announce()
        vm.outage.append(1)
        vm.removal.record_missing('a')
        vm.clock.now += 30
        vm.removal.remove_expired()
        vm.outage.clear()
        vm.clock.now += 5
        vm.removal.remove_expired()
        assert vm.directory.get('a') is None
        vm.list_server('a')
        assert vm.list_eligible() == ['b']

    async def test_a_listing_that_only_adds_a_lapsed_entry_keeps_it(self):
        vm = Vm('a', 'b')
        await vm.announce()
        for _ in range(3):
            vm.remove_server('a')
            vm.list_server('a')
            assert vm.list_eligible() == ['b']

    async def test_an_entry_without_a_start_time_keeps_it(self):
        vm = Vm('a', 'b')
        await vm.announce()
        vm.list_server('a', born=0)
        assert vm.list_eligible() == ['b']
        vm.list_server('a')
        assert vm.list_eligible() == ['b']

    async def test_another_address_of_the_same_start_keeps_it(self):
        vm = Vm('a', 'b')
        await vm.announce()
        vm.list_server('a', address='a:2')
        assert vm.list_eligible() == ['b']

    async def test_a_change_of_coordinator_keeps_it(self):
        vm = Vm('a', 'b')
        await vm.announce()
        registry = batches.EngineRegistry(vm.directory, vm.clock)
        assert [
            engine.server.name
            for engine in registry.list_engines(SERVICE)
            if engine.can_run('m', 1)
        ] == ['b']

    async def test_another_instance_at_the_same_address_is_used_at_once(self):
        vm = Vm('a')
        await vm.announce()
        vm.list_server('c', address='a:1')
        assert vm.list_eligible() == ['c']
        await vm.forward('r')

    async def test_a_restart_under_the_same_name_is_used_at_once(self):
        vm = Vm('a')
        await vm.announce()
        vm.list_server('a', born=2)
        assert vm.list_eligible() == ['a']
        await vm.forward('r')

    async def test_an_outdated_list_with_an_earlier_start_keeps_it(self):
        vm = Vm('b')
        vm.list_server('a', born=7)
        await vm.announce()
        vm.list_server('a', born=6)
        assert vm.list_eligible() == ['b']
        vm.list_server('a', born=7)
        assert vm.list_eligible() == ['b']

    async def test_a_late_response_of_the_old_instance_spares_the_new_one(
        self,
    ):
        vm = Vm('a')
        old_server = vm.directory.get('a')
        may_respond = anyio.Event()
        vm.servers.add('a', LEAVING, may_respond=may_respond)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_server, vm, old_server)
            await anyio.wait_all_tasks_blocked()
            assert vm.servers.sent
            vm.list_server('a', born=2)
            may_respond.set()
        assert vm.list_eligible() == ['a']

    async def test_what_waits_for_the_old_instance_is_not_sent_to_the_new_one(
        self,
    ):
        vm = Vm('a')
        old_server = vm.directory.get('a')
        vm.list_server('a', born=2)
        with pytest.raises(errors.BackendRefused):
            await call_server(vm, old_server)
        assert vm.servers.sent == []
        assert vm.list_eligible() == ['a']

    async def test_the_memory_of_gone_instances_is_bounded(self):
        vm = Vm()
        for number in range(5000):
            name = f'{number % 10}{number}'
            vm.list_server(name, address=f'{number % 10}:1')
            await vm.announce(name)
            vm.removal.record_missing(name)
            vm.clock.now += 1
            vm.removal.remove_expired()
        assert len(vm.directory.leaving_servers) < 2000
        vm.clock.now += 3600
        vm.list_server('a')
        await vm.announce()
        assert len(vm.directory.leaving_servers) == 1


class TestServiceWithoutServers:
    async def test_callers_are_refused_at_once_if_all_servers_leave(self):
        vm = Vm('a', 'b')
        await vm.announce('a')
        await vm.announce('b')
        started_at = anyio.current_time()
        with pytest.raises(errors.NotRun) as caught:
            await vm.forward('r')
        assert anyio.current_time() - started_at < MAX_REFUSAL_SECONDS
        assert caught.value.retry_after_seconds > 0

    async def test_queued_callers_are_refused_at_once_if_all_servers_leave(
        self,
    ):
        vm = Vm('a', slots=1)
        refused = []

        async def forward(request_id):
            try:
                await vm.forward(request_id)
            except errors.NotRun:
                refused.append(request_id)

        async with anyio.create_task_group() as tasks:
            with vm.directory.get('a').track():
                for number in range(5):
                    tasks.start_soon(forward, f'r{number}')
                await anyio.wait_all_tasks_blocked()
                await vm.announce('a')
                await anyio.wait_all_tasks_blocked()
                assert len(refused) == 5
        assert len(vm.servers.sent) == 1

    async def test_service_resumes_with_the_first_new_server(self):
        vm = Vm('a')
        await vm.announce('a')
        with pytest.raises(errors.NotRun):
            await vm.forward('r1')
        vm.list_server('b')
        await vm.forward('r2')
        assert vm.servers.sent[1:] == [('b', 'r2')]


async def test_the_first_announcement_is_logged_and_later_ones_are_not(caplog):
    caplog.set_level(logging.INFO)
    vm = Vm('a', 'b')
    may_respond = anyio.Event()
    server = vm.directory.get('a')
    async with anyio.create_task_group() as tasks:
        for number in range(3):
            vm.servers.add('a', LEAVING, may_respond=may_respond)
            call = vm.make_call(f'r{number}').service_call
            tasks.start_soon(vm.workers.call, server, call)
        await anyio.sleep(0.01)
        may_respond.set()
    lines = [
        record
        for record in caplog.records
        if record.getMessage() == 'server announced that it is leaving'
    ]
    assert len(lines) == 1
    line = vars(lines[0])
    assert (line['server'], line['born_ms'], line['request_id']) == (
        'a',
        1,
        'r0',
    )
    assert line['source'] == 'call'
