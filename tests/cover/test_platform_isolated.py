"""Requests that run in isolation, on the way to a platform's server."""

import random

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.platform.servers import _workers
from swiftjunction import requests
from swiftjunction import routing
from swiftjunction import web
from tests import stack

pytestmark = pytest.mark.anyio

RESPONSE_HEADERS = (
    'Swiftjunction-Attempt-Id: r\r\nSwiftjunction-Response-Signature: s\r\n'
)


async def respond(exchange):
    await exchange.respond(b'done', RESPONSE_HEADERS)


async def send_call(client, server, call):
    return (await client.call(server, call)).body


async def send_stream(client, server, call):
    stream = await client.open_stream(
        server, call, backends.StreamPosition(backends.NO_EVENT)
    )
    return (await anext(stream.events)).frame


@pytest.fixture(params=[send_call, send_stream])
def send(request):
    return request.param


class Scene:
    """A scripted server of the platform and a client for it."""

    def __init__(self, scripted):
        self.peers = web.PeerClients()
        self.client = _workers.WorkerClient(self.peers)
        self.server = backends.BackendServer(
            backends.ServerReport('e', scripted.address, 's', 'dc')
        )
        self.call = backends.ServiceCall(
            'r', 'POST', '/x', '', b'body', [], 1.0, 'h'
        )


async def test_a_request_reaches_the_server_reserved_for_it(send):
    # Guards against refusing a request because of its own reservation.
    scripted = stack.ScriptedServer(respond)
    async with anyio.create_task_group() as tasks:
        await tasks.start(scripted.run)
        scene = Scene(scripted)
        with anyio.fail_after(5), scene.server.reserve():
            assert (
                await send(scene.client, scene.server, scene.call) == b'done'
            )
        await scene.peers.close()
        tasks.cancel_scope.cancel()


async def test_a_reserved_server_that_is_leaving_gets_nothing(send):
    scripted = stack.ScriptedServer(respond)
    async with anyio.create_task_group() as tasks:
        await tasks.start(scripted.run)
        scene = Scene(scripted)
        scene.server.mark_leaving()
        with anyio.fail_after(5), scene.server.reserve():
            with pytest.raises(errors.BackendRefused):
                await send(scene.client, scene.server, scene.call)
        assert scripted.request_ids == []
        await scene.peers.close()
        tasks.cancel_scope.cancel()


class CrashingServer:
    """Refuses connections for good once it has received a request."""

    def __init__(self):
        self.address = ''
        self.crashed = False

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        task_status.started()
        async with await listener.listeners[0].accept() as stream:
            await stream.receive()
            self.crashed = True
            await listener.aclose()


async def test_a_live_request_is_refused_after_it_crashed_two_servers():
    servers = [CrashingServer() for _ in range(4)]
    table = membership.RecordTable()
    directory = backends.Directory(table)
    peers = web.PeerClients()
    forwarder = requests.Forwarder(
        routing.Router(directory, 'dc', random.Random(1)),
        _workers.WorkerClient(peers),
        None,
        requests.RetryBudget(),
        requests.SuspectTracker(requests.RecordCrashRegistry(table), 'vm'),
    )
    async with anyio.create_task_group() as tasks:
        for index, server in enumerate(servers):
            await tasks.start(server.run)
            directory.update(
                backends.ServerReport(f's{index}', server.address, 's', 'dc')
            )
        for expected in (
            errors.OutcomeUnknown,
            errors.OutcomeUnknown,
            errors.PoisonRefused,
            errors.PoisonRefused,
        ):
            call = requests.ForwardedCall(
                path='h/p/',
                settings=configuration.PathSettings(service='s'),
                service_call=backends.ServiceCall(
                    'r', 'POST', '/x', '', b'poison', [], 0.0, 'h'
                ),
                deadline=anyio.current_time() + 5.0,
                idempotent=False,
            )
            with pytest.raises(expected):
                await forwarder.forward(call)
        assert sum(server.crashed for server in servers) == 2
        await peers.close()
        tasks.cancel_scope.cancel()
