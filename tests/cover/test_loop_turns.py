"""Other work between the small parts that one read of an answer brings.

Guards against a process that stands still, for all its callers, while it
handles an answer in chunks of one byte or a stream of blank lines.
"""

import collections

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction.platform.servers import _workers
from swiftjunction import web
from swiftjunction.web import _steps
from tests import endless_server

pytestmark = pytest.mark.anyio

PARTS = 20_000
# A run is interrupted after its last step, and those of chunks and of events
# are counted apart.
MAX_PARTS_PER_TURN = 2 * _steps.STEPS_PER_TURN
STREAM_START = (
    endless_server.HEAD + b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
SAMPLE = batches.Sample('i', '/x', [], b'prompt')


def make_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


SMALL_CHUNKS = make_chunk(b'x') * PARTS
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(PARTS))
LARGE_CHUNKS = b''.join(
    make_chunk(EVENTS[start : start + 65536])
    for start in range(0, len(EVENTS), 65536)
)
BLANK_LINES = make_chunk(b'\n' * PARTS)
LAST_CHUNK = make_chunk(b'')


class TurnCounter:
    """Counts turns of the event loop, and the parts that came in each."""

    def __init__(self):
        self._turn = 0
        self.parts = collections.Counter()

    async def run(self):
        while True:
            self._turn += 1
            await anyio.sleep(0)

    def record(self):
        self.parts[self._turn] += 1


async def read_chunks(server, peers, counter):
    response = await peers.get_direct(server.address).send('GET', '/x')
    async for _ in response.aiter_raw():
        counter.record()
    await response.aclose()


async def read_stream(server, peers, counter):
    call = backends.ServiceCall('i', 'POST', '/x', '', b'', [], 30.0)
    stream = await _workers.WorkerClient(peers).open_stream(
        server.make_backend(), call, backends.StreamPosition()
    )
    async for _ in stream.events:
        counter.record()


async def read_sample(server, peers, counter):
    events = _workers.WorkerClient(peers).generate(
        server.make_backend(), 'h', SAMPLE, -1, lambda: None
    )
    async for _ in events:
        counter.record()


async def read_own_events(server, peers, counter):
    response = await peers.get_direct(server.address).send('GET', '/x')
    async for _ in web.read_events(response):
        counter.record()
    await response.aclose()


CASES = {
    'chunks': (read_chunks, endless_server.CHUNKED + SMALL_CHUNKS),
    'stream': (read_stream, STREAM_START + LARGE_CHUNKS),
    'blank_lines': (read_stream, STREAM_START + BLANK_LINES),
    'sample': (read_sample, STREAM_START + LARGE_CHUNKS),
    'own_events': (read_own_events, STREAM_START + LARGE_CHUNKS),
}


@pytest.mark.parametrize('name', CASES)
async def test_other_work_goes_on_between_small_parts(name):
    read, answer = CASES[name]
    server = endless_server.EndlessServer(answer + LAST_CHUNK, b'', 60)
    counter = TurnCounter()
    peers = web.PeerClients()
    async with server.run(), anyio.create_task_group() as tasks:
        tasks.start_soon(counter.run)
        with anyio.fail_after(30):
            await read(server, peers, counter)
        tasks.cancel_scope.cancel()
    await peers.close()
    assert counter.parts.total() > PARTS // 4
    assert max(counter.parts.values()) <= MAX_PARTS_PER_TURN
