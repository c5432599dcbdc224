import random

import anyio
import msgspec
import pytest

from bench import routing_engines
from bench import routing_load
from bench import routing_virtual
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import weights


def make_entry(count=2):
    cell = routing_load.Cell('two-choices', 0.5)
    engines = {
        f'engine-{number}': routing_engines.SimulatedEngine(
            random.Random(number)
        )
        for number in range(count)
    }
    entry = routing_load.SimulatedEntry('entry-0', cell, engines)
    publish(entry, 1)
    return entry


def publish(entry, version):
    history = weights.VersionHistory(
        'fit',
        [weights.PublishedVersion(v, 1.0) for v in range(1, version + 1)],
    )
    entry.table.put('weights/fit', msgspec.json.encode(history))


def make_call(number=0, seconds=30.0, priority=1, **settings):
    return requests.GenerationCall(
        f'r{number}',
        'demo',
        configuration.PathSettings(model='fit', **settings),
        'prompt',
        16,
        anyio.current_time() + seconds,
        priority=priority,
    )


async def generate(entry, call):
    """Return the error, if any, and the duration in seconds."""
    started_at = anyio.current_time()
    try:
        async for _ in entry.generator.generate(call):
            pass
    except errors.RequestError as error:
        return error, anyio.current_time() - started_at
    return None, anyio.current_time() - started_at


@pytest.mark.parametrize(
    ('case', 'error', 'min_seconds', 'max_seconds'),
    [
        ('fresh weights', None, 0, 1),
        ('no server', errors.NotRun, 1, 1.2),
        ('weights too old to serve', errors.StaleWeights, 0, 0),
        ('no engine has fresh weights', errors.NotRun, 8, 8.2),
        ('no engine has fresh weights yet', None, 2, 3),
    ],
)
def test_a_request_fails_as_soon_as_no_server_can_be_expected(
    case, error, min_seconds, max_seconds
):
    async def run():
        entry = make_entry(0 if case == 'no server' else 2)
        call = make_call(freshness_versions=0)
        async with anyio.create_task_group() as tasks:
            if case == 'weights too old to serve':
                publish(entry, 1)
                call = make_call(freshness_seconds=1.0)
            elif case.startswith('no engine'):
                publish(entry, 2)
            if case.endswith('yet'):
                tasks.start_soon(activate, entry, 2.0)
            return await generate(entry, call)

    async def activate(entry, seconds):
        await anyio.sleep(seconds)
        for server in entry.directory.select('fit'):
            server.record_version(2)

    result, seconds = routing_virtual.run(run)
    assert type(result) is (error or type(None))
    assert min_seconds <= seconds <= max_seconds


def test_after_one_wait_in_vain_others_for_the_version_fail_at_once():
    async def run():
        entry = make_entry()
        publish(entry, 2)
        call = make_call(freshness_versions=0)
        waited = [(await generate(entry, call))[1] for _ in range(3)]
        for server in entry.directory.select('fit'):
            server.record_version(2)
        return waited, await generate(entry, call)

    waited, (error, _) = routing_virtual.run(run)
    assert waited[0] >= 8
    assert waited[1:] == [0, 0]
    assert error is None


@pytest.mark.parametrize('seconds', [0.3, 2.0, 5.0])
def test_overload_refuses_live_requests_within_their_maximum_wait(
    seconds,
):
    async def run():
        entry = make_entry()
        results = []

        async def send_request(number):
            results.append(await generate(entry, make_call(number, seconds)))

        async with anyio.create_task_group() as tasks:
            for number in range(400):
                tasks.start_soon(send_request, number)
                await anyio.sleep(0.002)
        return results

    results = routing_virtual.run(run)
    refused = [pair for pair in results if isinstance(pair[0], errors.NotRun)]
    assert refused
    assert len(refused) < 400
    assert all(waited <= 1.3 for _, waited in refused)
    assert all(0.2 <= e.retry_after_seconds <= 30 for e, _ in refused)


def test_live_requests_wait_for_at_most_one_sample_to_finish():
    async def run():
        entry = make_entry(1)
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                call = make_call(number, 60, priority=-1)
                tasks.start_soon(generate, entry, call)
            await anyio.sleep(1)
            waits = [
                await generate(entry, make_call(100 + number))
                for number in range(10)
            ]
            tasks.cancel_scope.cancel()
        return waits

    waits = routing_virtual.run(run)
    assert all(error is None for error, _ in waits)
    # One request takes about 0.1 s; after all of the samples, 1 s.
    assert max(seconds for _, seconds in waits) < 0.8
