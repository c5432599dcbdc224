"""Engines of an own deployment whose answers have no end."""

import itertools
import json

import anyio
import pytest

from swiftjunction import backends
from swiftjunction.backends import _orders
from swiftjunction import errors
from swiftjunction import web
from tests import endless_server

pytestmark = pytest.mark.anyio

CALL = backends.EngineCall('i', 'm', 'p', max_tokens=100, timeout_seconds=0.5)
STREAM_HEAD = endless_server.STREAM_HEAD
# Parts of a stream, and the time between them in seconds.
STREAMS = {
    'line': (b'x' * 65536, 0.0),
    'lines': (b'data: %s\n' % (b'x' * 100), 0.0),
    'comments': (b': x\n\n' * 100, 0.01),
    'slow_comments': (b':\r\n\r\n', 0.05),
    'slow_line': (b'x', 0.02),
}


@pytest.fixture
async def engines():
    peers = web.PeerClients()
    yield backends.EngineClient(peers)
    await peers.close()


async def stream(engines, server):
    async for _ in engines.stream(server.make_backend(), CALL):
        pass


async def watch(engines, server):
    async for _ in engines.watch(server.address):
        pass


async def check_cut_off(engines, server, ask, seconds=5):
    async with server.run():
        with anyio.fail_after(seconds):
            with pytest.raises(errors.AnswerBroken):
                await ask(engines, server)
            await server.closed.wait()


@pytest.mark.parametrize('ask', [stream, watch], ids=lambda ask: ask.__name__)
@pytest.mark.parametrize('part', STREAMS)
async def test_a_stream_without_another_event_is_cut_off(
    engines, part, ask, monkeypatch
):
    monkeypatch.setattr(_orders, 'STATUS_TIMEOUT_SECONDS', 0.5)
    server = endless_server.EndlessServer(STREAM_HEAD, *STREAMS[part])
    await check_cut_off(engines, server, ask)


def make_chunks(step):
    """Return a function that returns the next chunk of an endless run."""
    numbers = itertools.count(0, step)

    def make_chunk():
        chunk = {
            'id': 'i',
            'choices': [{'text': 'x', 'finish_reason': None}],
            'offset': next(numbers),
            'tokens': 1,
            'weight_version': 1,
        }
        return b'data: %s\n\n' % json.dumps(chunk).encode()

    return make_chunk


@pytest.mark.parametrize('step', [1, 0], ids=['more_tokens', 'same_token'])
async def test_a_run_of_chunks_without_end_is_cut_off(engines, step):
    server = endless_server.EndlessServer(STREAM_HEAD, make_chunks(step))
    await check_cut_off(engines, server, stream)


@pytest.mark.parametrize('body', endless_server.BODIES)
async def test_an_order_with_an_answer_without_end_is_uncertain(engines, body):
    async def send_order(engines, server):
        await engines.send_order(server.address, backends.Order('load', 'm'))

    server = endless_server.EndlessServer(*endless_server.BODIES[body])
    await check_cut_off(engines, server, send_order)


async def cancel(engines, server):
    await engines.cancel(server.make_backend(), 'i')


@pytest.mark.parametrize('body', endless_server.BODIES)
async def test_a_cancellation_with_an_answer_without_end_ends(engines, body):
    server = endless_server.EndlessServer(*endless_server.BODIES[body])
    await check_cut_off(engines, server, cancel)


async def test_a_cancellation_with_a_slow_answer_ends(engines):
    server = endless_server.EndlessServer(*endless_server.SLOW_BODY, 0.02)
    await check_cut_off(engines, server, cancel, seconds=4)
