"""Requests that another server answers after one without end."""

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import membership
from swiftjunction.platform.servers import _workers
from swiftjunction import requests
from swiftjunction import web
from tests.cover import test_requests_forwarding
from tests import endless_server

pytestmark = pytest.mark.anyio

ATTEMPT_SECONDS = 0.5
SOUND_ANSWER = endless_server.HEAD + b'Content-Length: 4\r\n\r\nbody'
STREAM_START = endless_server.HEAD + b'Content-Type: text/event-stream\r\n'
LAST_EVENT = b'id: 1\ndata: b\n\n'
ANSWERS = {
    **{f'head_{k}': v for k, v in endless_server.HEADS.items()},
    **{f'body_{k}': v for k, v in endless_server.BODIES.items()},
}
SLOW_ANSWERS = {'body': endless_server.SLOW_BODY, **endless_server.SLOW_HEADS}


def make_call():
    service_call = backends.ServiceCall(
        'i', 'POST', '/x', '', b'body', [], 0.0
    )
    return requests.ForwardedCall(
        path='p',
        settings=configuration.PathSettings(service='s'),
        service_call=service_call,
        deadline=anyio.current_time() + 5.0,
        idempotent=True,
        max_attempts=2,
        attempt_seconds=ATTEMPT_SECONDS,
    )


class TwoServers:
    """A server without end, and a valid one that is tried after it."""

    def __init__(self, endless, valid):
        self.peers = web.PeerClients()
        self.client = _workers.WorkerClient(self.peers)
        self.router = test_requests_forwarding.FirstRouter([])
        self.router.servers = [
            endless.make_backend('endless'),
            valid.make_backend('valid'),
        ]
        self.budget = requests.RetryBudget()
        self.suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(membership.RecordTable()), 'vm'
        )

    async def forward(self):
        forwarder = requests.Forwarder(
            self.router, self.client, None, self.budget, self.suspects
        )
        return await forwarder.forward(make_call())

    async def relay(self):
        relay = requests.StreamRelay(
            self.router, self.client, self.client, self.budget, self.suspects
        )
        stream = await relay.open(make_call(), resumable=True)
        return [stream.first, *[event async for event in stream.rest]]


async def run_servers(endless, sound_answer, ask):
    # The valid server ends its answer, and sends nothing more.
    valid = endless_server.EndlessServer(sound_answer, b'', 0.05)
    async with endless.run(), valid.run():
        servers = TwoServers(endless, valid)
        with anyio.fail_after(5):
            answer = await ask(servers)
            await endless.closed.wait()
        failing, working = servers.router.servers
        assert failing.health.ejected_seconds > 0
        assert working.health.ejected_seconds == 0
        await servers.peers.close()
    return answer


@pytest.mark.parametrize('answer', ANSWERS)
async def test_another_server_answers_after_one_without_end(answer):
    endless = endless_server.EndlessServer(*ANSWERS[answer])
    response = await run_servers(endless, SOUND_ANSWER, TwoServers.forward)
    assert response.body == b'body'


@pytest.mark.parametrize('answer', SLOW_ANSWERS)
async def test_another_server_answers_after_one_that_is_slow(answer):
    endless = endless_server.EndlessServer(*SLOW_ANSWERS[answer], 0.02)
    response = await run_servers(endless, SOUND_ANSWER, TwoServers.forward)
    # Before the deadline, so the first attempt ended at its own timeout.
    assert response.body == b'body'


STREAMS = {
    'line': (b'x' * 65536, 0.0),
    'comments': (b': x\n\n', 0.0),
    'slow_line': (b'x', 0.02),
}


@pytest.mark.parametrize('part', STREAMS)
async def test_another_engine_resumes_a_stream_without_another_event(part):
    endless = endless_server.EndlessServer(
        STREAM_START + b'\r\nid: 0\ndata: a\n\n', *STREAMS[part]
    )
    sound_answer = STREAM_START + b'Content-Length: %d\r\n\r\n%s' % (
        len(LAST_EVENT),
        LAST_EVENT,
    )
    events = await run_servers(endless, sound_answer, TwoServers.relay)
    assert [event.data for event in events if event.is_event] == ['a', 'b']
    others = {event.frame for event in events if not event.is_event}
    assert others == ({b': x\n\n'} if part == 'comments' else set())


async def test_bytes_without_end_after_an_answer_reach_no_other_request():
    # They come with the answer, or while the connection is not in use.
    server = endless_server.EndlessServer(
        SOUND_ANSWER + b'x' * 100, b'x' * 4096
    )
    peers = web.PeerClients()
    client = _workers.WorkerClient(peers)
    call = make_call().service_call
    async with server.run():
        for _ in range(3):
            response = await client.call(
                server.make_backend(),
                backends.ServiceCall(
                    'i', 'POST', '/x', '', call.body, [], 1.0
                ),
            )
            assert response.body == b'body'
            with anyio.fail_after(1):
                await server.closed.wait()
            server.closed = anyio.Event()
    assert server.requests == 3
    await peers.close()


async def test_bytes_that_came_with_an_answer_reach_no_other_request():
    server = endless_server.EndlessServer(SOUND_ANSWER * 2, b'', 0.05)
    peers = web.PeerClients()
    client = _workers.WorkerClient(peers)
    async with server.run():
        for _ in range(3):
            response = await client.call(
                server.make_backend(),
                backends.ServiceCall('i', 'POST', '/x', '', b'body', [], 1.0),
            )
            assert response.body == b'body'
    assert server.requests == 3
    await peers.close()
