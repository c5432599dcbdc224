"""Contract tests of the object API client, over HTTP against a stand-in."""

import contextlib
import random

import anyio
import httpx
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import standins
from swiftjunction import web

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def serve(resilient=False, timeout_seconds=0.5):
    standin = standins.ObjectStoreStandin()
    listener = web.open_listener('127.0.0.1', 0)
    client = web.create_client(f'http://{listener.address}', timeout_seconds)
    store = objectstore.HttpObjectStore(client)
    if resilient:
        store = objectstore.ResilientObjectStore(
            store, lambda: 1, random.Random(0)
        )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standins.serve, listener, standin)
        await store.create('claims/held', b'1')
        yield standin, store
        await client.aclose()
        tasks.cancel_scope.cancel()


CALLS = {
    'read': lambda store: store.read('claims/held'),
    'list': lambda store: store.list('claims/'),
    'watch': lambda store: store.watch('claims/', 0, 0.1),
    'create': lambda store: store.create('claims/new', b'2'),
    'update': lambda store: store.update('claims/held', b'2', 1),
    'delete': lambda store: store.delete('claims/held', 1),
}
READS = ('read', 'list', 'watch')


@pytest.mark.parametrize('resilient', [False, True])
@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize(
    ('fault', 'number', 'read_error', 'write_error'),
    [
        ('outage', 1, errors.PlatformUnavailable, errors.PlatformUnavailable),
        ('slow_seconds', 2, errors.PlatformUnavailable, errors.WriteUncertain),
        ('slow_seconds', 0.01, None, None),
    ],
)
async def test_each_call_maps_a_fault_to_its_error(
    resilient, call, fault, number, read_error, write_error
):
    expected = read_error if call in READS else write_error
    # The timeout of a watch is five seconds longer than its wait time.
    if call == 'watch' and fault == 'slow_seconds':
        expected = None
    async with serve(resilient) as (standin, store):
        standin.faults.set(fault, number)
        if expected is None:
            await CALLS[call](store)
        else:
            with pytest.raises(expected) as caught:
                await CALLS[call](store)
            assert type(caught.value) is expected
            assert caught.value.step
            assert caught.value.peer == 'object API'
        standin.faults.set(fault, 0)


@pytest.mark.parametrize('call', ['create', 'update'])
async def test_a_lost_response_is_uncertain_and_not_retried(call):
    async with serve(resilient=True) as (standin, store):
        standin.faults.set('lose_answers', 1)
        calls = standin.calls['write']
        with pytest.raises(errors.WriteUncertain):
            await CALLS[call](store)
        assert standin.calls['write'] == calls + 1


@pytest.mark.parametrize('call', ['create', 'update', 'delete'])
async def test_a_refused_write_is_retried(call):
    async with serve(resilient=True) as (standin, store):
        standin.faults.set('refuse_writes', 2)
        await CALLS[call](store)


async def test_preconditions_are_enforced():
    async with serve(resilient=True) as (_, store):
        with pytest.raises(errors.RevisionConflict):
            await store.create('claims/held', b'2')
        with pytest.raises(errors.RevisionConflict):
            await store.update('claims/held', b'2', 9)
        with pytest.raises(errors.ObjectMissing):
            await store.read('claims/none')
        with pytest.raises(errors.ObjectTooLarge):
            await store.create('claims/big', bytes(1_000_001))


async def test_a_slow_response_does_not_delay_a_read():
    async with serve(resilient=True, timeout_seconds=5) as (standin, store):
        standin.faults.set('slow_seconds', 3)
        async with anyio.create_task_group() as tasks:

            async def read():
                assert (await store.read('claims/held')).value == b'1'

            tasks.start_soon(read)
            await anyio.sleep(0.02)
            # The hedged request is sent after 50 ms, when the fault is over.
            standin.faults.set('slow_seconds', 0)
            with anyio.fail_after(2):
                while standin.calls['read'] < 2:
                    await anyio.sleep(0.01)


async def test_a_write_to_an_unreachable_platform_is_unavailable():
    client = web.create_client('http://127.0.0.1:1')
    store = objectstore.HttpObjectStore(client)
    with pytest.raises(errors.PlatformUnavailable):
        await store.create('claims/new', b'1')
    await client.aclose()


async def test_a_response_without_a_version_leaves_the_write_uncertain():
    async def respond(request):
        return httpx.Response(200)

    client = httpx.AsyncClient(
        transport=httpx.MockTransport(respond), base_url='http://objects'
    )
    with pytest.raises(errors.WriteUncertain):
        await objectstore.HttpObjectStore(client).create('claims/new', b'1')
