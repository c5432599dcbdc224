"""Memory that answers without end take."""

import contextlib
import tracemalloc

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform.servers import _workers
from swiftjunction import web
from tests import endless_server

pytestmark = pytest.mark.anyio

SERVERS = 10
MAX_PEAK_BYTES = 10_000_000
CALL = backends.ServiceCall('i', 'POST', '/x', '', b'body', [], 5.0)


async def call_platform(peers, server):
    await _workers.WorkerClient(peers).call(server, CALL)


async def call_own(peers, server):
    await backends.ServiceClient(peers).call(server, CALL)


async def ask_for_report(peers, server):
    await _workers.WorkerClient(peers).read_report(server)


async def fail_call(peers, server):
    with pytest.raises(errors.AnswerBroken):
        await call_platform(peers, server.make_backend(server.address))


@contextlib.asynccontextmanager
async def run_servers(answer):
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(
                endless_server.EndlessServer(*answer).run()
            )
            for _ in range(SERVERS)
        ]


async def measure_peak_bytes(ask, servers):
    """Return the peak of memory that is allocated while all are asked."""
    peers = web.PeerClients()

    async def fail(server):
        with pytest.raises(errors.AnswerBroken):
            await ask(peers, server.make_backend(server.address))
        await server.closed.wait()

    tracemalloc.start()
    try:
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(fail, server)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        await peers.close()


ANSWERS = {
    'header_lines': endless_server.HEADS['header_lines'],
    'informational_heads': endless_server.HEADS['informational_heads'],
    'without_length': endless_server.BODIES['without_length'],
    'large_chunks': endless_server.BODIES['large_chunks'],
    'small_chunks': (endless_server.CHUNKED, b'2\r\nxy\r\n' * 8192),
}
CASES = [
    (call_platform, 'header_lines'),
    (call_platform, 'informational_heads'),
    (call_platform, 'without_length'),
    (call_platform, 'large_chunks'),
    (call_platform, 'small_chunks'),
    (call_own, 'without_length'),
    (ask_for_report, 'without_length'),
]


@pytest.mark.parametrize(('ask', 'answer'), CASES)
async def test_ten_answers_without_end_take_little_memory(ask, answer):
    with anyio.fail_after(60):
        async with run_servers(ANSWERS[answer]) as servers:
            peak_bytes = await measure_peak_bytes(ask, servers)
    assert peak_bytes < MAX_PEAK_BYTES


async def test_a_large_body_arrives_while_others_have_no_end():
    peers = web.PeerClients()
    valid = endless_server.EndlessServer(
        endless_server.HEAD + b'Content-Length: 100000\r\n\r\n',
        b'x' * 100_000,
    )
    async with (
        run_servers(endless_server.BODIES['without_length']) as servers,
        valid.run(),
        anyio.create_task_group() as tasks,
    ):
        for server in servers:
            tasks.start_soon(fail_call, peers, server)
        response = await _workers.WorkerClient(peers).call(
            valid.make_backend(), CALL
        )
        tasks.cancel_scope.cancel()
    assert len(response.body) == 100_000
    await peers.close()


async def test_a_body_of_a_megabyte_arrives():
    peers = web.PeerClients()
    size = 1 << 20
    valid = endless_server.EndlessServer(
        endless_server.HEAD + b'Content-Length: %d\r\n\r\n' % size,
        b'x' * size,
    )
    async with valid.run():
        response = await _workers.WorkerClient(peers).call(
            valid.make_backend(), CALL
        )
    assert len(response.body) == size
    await peers.close()
