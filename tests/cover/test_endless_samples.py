"""Samples whose engine goes on without end."""

import itertools

import anyio
import pytest

from swiftjunction import batches
from swiftjunction.batches import _engines
from swiftjunction.platform.servers import _workers
from swiftjunction import telemetry
from swiftjunction import web
from tests.cover import test_batches_planning
from tests import endless_server

pytestmark = pytest.mark.anyio

EVENTS_PER_PART = 100


def make_events(text):
    """Return a function that returns the next events of an endless run."""
    numbers = itertools.count()
    return lambda: b''.join(
        b'id: %d\ndata: %s\n\n' % (number, text)
        for number in itertools.islice(numbers, EVENTS_PER_PART)
    )


async def run_sample(server, sample):
    peers = web.PeerClients()
    runner = batches.SampleRunner(
        _workers.WorkerClient(peers), None, telemetry.Metrics()
    )
    open_batch = test_batches_planning.make_open_batch([sample])
    progress = batches.SampleProgress(sample)
    engine = _engines.EngineState(server.make_backend(), anyio.current_time)
    with anyio.fail_after(10):
        complete = await runner.generate(open_batch, progress, engine)
        await server.closed.wait()
    await peers.close()
    assert not complete
    return progress, engine


@pytest.mark.parametrize('text', [b'x', b'x' * 10_000])
async def test_a_text_without_end_is_discarded_and_its_engine_avoided(text):
    server = endless_server.EndlessServer(
        endless_server.STREAM_HEAD, make_events(text)
    )
    async with server.run():
        sample = batches.Sample('i', '/x', [], b'', tokens=5000)
        progress, engine = await run_sample(server, sample)
    # Another engine starts over.
    assert progress.events == []
    assert progress.last_number == -1
    assert engine._backoff_ends_at > anyio.current_time()


FAULTS = {
    'informational_heads': endless_server.HEADS['informational_heads'],
    'no_http': endless_server.HEADS['no_http'],
    'event': (endless_server.STREAM_HEAD, b'x' * 65536),
    'body': endless_server.BODIES['without_length'],
}


@pytest.mark.parametrize('fault', FAULTS)
async def test_an_engine_that_answers_without_end_is_avoided(fault):
    server = endless_server.EndlessServer(*FAULTS[fault])
    async with server.run():
        sample = batches.Sample('i', '/x', [], b'')
        _, engine = await run_sample(server, sample)
    assert engine._backoff_ends_at > anyio.current_time()


async def test_a_text_of_as_many_events_as_tokens_arrives():
    events = make_events(b'x' * 50)
    start = (
        endless_server.HEAD
        + b'Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n'
    )
    body = b''.join(events() for _ in range(80))
    server = endless_server.EndlessServer(start % len(body), body)
    sample = batches.Sample('i', '/x', [], b'', tokens=8000)
    peers = web.PeerClients()
    runner = batches.SampleRunner(
        _workers.WorkerClient(peers), None, telemetry.Metrics()
    )
    progress = batches.SampleProgress(sample)
    async with server.run():
        engine = _engines.EngineState(
            server.make_backend(), anyio.current_time
        )
        assert await runner.generate(
            test_batches_planning.make_open_batch([sample]), progress, engine
        )
    assert len(progress.events) == 8000
    await peers.close()
