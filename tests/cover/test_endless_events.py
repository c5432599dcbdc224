"""Event streams whose event, line or run of events has no end."""

import time

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform.servers import _events
from swiftjunction.platform.servers import _workers
from swiftjunction import web
from tests import endless_server

pytestmark = pytest.mark.anyio

CALL = backends.ServiceCall('i', 'POST', '/x', '', b'body', [], 5.0)
FIRST_EVENT = b'id: 0\ndata: a\n\n'
# What follows the first event.
EVENTS = {
    'line': b'x' * 65536,
    'lines': b'data: %s\n' % (b'x' * 100),
    'comments': b': %s\n' % (b'x' * 100),
    'carriage_returns': b'data: x\r' * 1000,
    'line_ends': b'data: x\r\n' * 1000,
}


@pytest.fixture
async def client():
    peers = web.PeerClients()
    yield _workers.WorkerClient(peers)
    await peers.close()


async def generate(client, server):
    sample = batches.Sample('i', '/x', [], b'body')
    async for _ in client.generate(server, 'h', sample, -1, lambda: None):
        pass


async def relay(client, server):
    stream = await client.open_stream(server, CALL, backends.StreamPosition())
    async for _ in stream.events:
        pass


@pytest.mark.parametrize(
    'ask', [generate, relay], ids=lambda ask: ask.__name__
)
@pytest.mark.parametrize('part', EVENTS)
async def test_an_event_without_end_breaks_the_stream(client, part, ask):
    server = endless_server.EndlessServer(
        endless_server.STREAM_HEAD + FIRST_EVENT, EVENTS[part]
    )
    async with server.run():
        with anyio.fail_after(5):
            with pytest.raises(errors.AnswerBroken, match='exceeds'):
                await ask(client, server.make_backend())
            await server.closed.wait()


async def test_a_run_of_small_events_is_parsed_in_linear_time():
    # Quadratic parsing would hold the event loop for seconds.
    parser = _events.EventParser(1, 'e')
    data = b':\n\n' * 300_000
    started_at = time.process_time()
    blocks = list(parser.feed(data))
    assert time.process_time() - started_at < 2.0
    assert not any(block.is_event for block in blocks)
    assert b''.join(block.frame for block in blocks) == data


async def test_an_event_of_many_tokens_arrives():
    text = b'x' * 100_000
    parser = _events.EventParser(1, 'e')
    data = b'id: 0\ndata: %s\n\n' % text
    events = [
        event
        for begin in range(0, len(data), 1000)
        for event in parser.feed(data[begin : begin + 1000])
    ]
    assert [event.data for event in events] == [text.decode()]
