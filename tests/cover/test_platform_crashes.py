"""Requests that crash servers, over VMs, restarts and kinds of evidence."""

import collections

import anyio
import httpx
import pytest

from swiftjunction.platform import _store
from swiftjunction import standins
from tests import platform_deployment

pytestmark = pytest.mark.anyio

# Within this time after a crash all VMs know of it; the platform's bound is
# three seconds.
SHARING_SECONDS = 2.0
# Longer than any test takes.
CRASH_SECONDS = 60.0
# Longer than a removed server is kept.
REMOVAL_SECONDS = 1.5
BODY = b'POISON'
# The rule counts what is sent after the third crash.
MAX_CRASHES = 3


class Deployment(platform_deployment.PlatformDeployment):
    """A deployment with enough servers to crash several of them."""

    def __init__(self, folder):
        super().__init__(folder)
        self.plain = {
            name: standins.PlatformServiceStandin(name)
            for name in ('p1', 'p2', 'p3', 'p4', 'p5', 'p6')
        }
        self.engines = {
            name: standins.PlatformEngineStandin(
                name, {platform_deployment.MODEL: 1}
            )
            for name in ('e1', 'e2', 'e3', 'e4', 'e5', 'e6')
        }
        self.starts = 1
        self._sent = 0

    @property
    def servers(self):
        return {**self.plain, **self.engines}

    def set_all(self, fault, value):
        for server in self.servers.values():
            server.faults.set(fault, value)

    def list_runs(self):
        """Return the servers that ran a request, once for each run."""
        return [n for n, server in self.servers.items() for _ in server.runs]

    async def send(self, vm, route='once', timeout=5):
        """Send the request that crashes servers, as a new attempt."""
        self._sent += 1
        url = f'http://127.0.0.1:{self.ports[vm]["front"]}/{route}/x'
        headers = {
            'host': platform_deployment.HOST,
            'swiftjunction-model': platform_deployment.MODEL,
            'swiftjunction-attempt-id': f'r{self._sent}',
            'swiftjunction-deadline-ms': '1500',
        }
        async with httpx.AsyncClient(
            trust_env=False, timeout=timeout
        ) as client:
            response = await client.post(url, content=BODY, headers=headers)
        return response.status_code


@pytest.fixture
def deployment(tmp_path):
    return Deployment(tmp_path)


@pytest.mark.parametrize('route', ['once', 'streams-once'])
async def test_all_vms_refuse_a_request_that_crashed_two_servers(
    deployment, route
):
    async with deployment.run(['vm-1', 'vm-2']):
        deployment.set_all('poison', CRASH_SECONDS)
        await deployment.send('vm-1', route)
        await deployment.send('vm-1', route)
        await anyio.sleep(SHARING_SECONDS)
        assert await deployment.send('vm-2', route) == 502
        assert len(deployment.list_runs()) == 2


async def test_crashes_during_an_outage_of_the_store_are_known_after_it(
    deployment,
):
    async with deployment.run(['vm-1', 'vm-2']):
        deployment.set_all('poison', CRASH_SECONDS)
        deployment.store.faults.set('down', 1)
        await deployment.send('vm-1')
        await deployment.send('vm-1')
        await anyio.sleep(0.5)
        deployment.store.faults.set('down', 0)
        await anyio.sleep(SHARING_SECONDS + 1.0)
        await deployment.send('vm-2')
        assert len(deployment.list_runs()) == 2


async def test_a_restarted_vm_refuses_a_request_that_crashed_two_servers(
    deployment,
):
    async with deployment.run():
        deployment.set_all('poison', CRASH_SECONDS)
        await deployment.send('vm-1')
        await deployment.send('vm-1')
        await anyio.sleep(0.5)
        deployment.kill_vm('vm-1')
        await anyio.sleep(0.2)
        deployment.start_vm('vm-1')
        await deployment.wait_until_ready('vm-1')
        await deployment.send('vm-1')
        assert len(deployment.list_runs()) == 2


@pytest.mark.parametrize('route', ['once', 'streams-once'])
async def test_a_vm_that_knows_no_crashes_yet_forwards_nothing(
    deployment, route, monkeypatch
):
    original_list = _store.PlatformStore.list

    async def list_late(store, prefix):
        if prefix == 'crashes/':
            await anyio.sleep(1.0)
        return await original_list(store, prefix)

    monkeypatch.setattr(_store.PlatformStore, 'list', list_late)
    async with deployment.run():
        deployment.set_all('poison', CRASH_SECONDS)
        await deployment.send('vm-1', route)
        await deployment.send('vm-1', route)
        await anyio.sleep(0.5)
        deployment.kill_vm('vm-1')
        await anyio.sleep(0.2)
        deployment.start_vm('vm-1')
        await anyio.sleep(0.5)
        assert await deployment.send('vm-1', route) == 503
        await deployment.wait_until_ready('vm-1')
        assert await deployment.send('vm-1', route) == 502
        assert len(deployment.list_runs()) == 2


async def test_a_retry_is_not_sent_after_two_crashes(deployment):
    async with deployment.run():
        deployment.set_all('poison', CRASH_SECONDS)
        # The route allows four attempts.
        assert await deployment.send('vm-1', 'plain') == 502
        assert len(deployment.list_runs()) == 2


async def test_attempts_at_all_vms_crash_no_more_servers_than_allowed(
    deployment,
):
    vms = ['vm-1', 'vm-2', 'vm-3']
    async with deployment.run(vms):
        deployment.set_all('poison', CRASH_SECONDS)
        for vm in vms:
            await deployment.send(vm, 'plain')
        await anyio.sleep(SHARING_SECONDS)
        crashed = len(deployment.list_runs())
        for vm in vms:
            await deployment.send(vm, 'plain')
        assert crashed <= MAX_CRASHES
        assert len(deployment.list_runs()) == crashed


def remove(deployment, name):
    deployment.store.remove('servers', name)


def restart(deployment, name):
    deployment.starts += 1
    deployment.register_server(
        name, deployment.servers[name], born=deployment.starts
    )


def replace(deployment, name):
    deployment.store.remove('servers', name)
    deployment.addresses[f'{name}-new'] = deployment.addresses[name]
    deployment.register_server(f'{name}-new', deployment.servers[name])


async def time_out(deployment, route):
    await deployment.send('vm-1', route)


async def disconnect(deployment, route):
    with pytest.raises(httpx.TimeoutException):
        await deployment.send('vm-1', route, timeout=0.3)


@pytest.mark.parametrize(
    ('route', 'give_up', 'end'),
    [
        ('once', time_out, remove),
        ('once', disconnect, restart),
        ('once', time_out, replace),
        ('streams-once', time_out, restart),
        ('streams-once', disconnect, remove),
    ],
)
async def test_a_server_that_fell_silent_and_ended_counts_as_crashed(
    deployment, route, give_up, end
):
    async with deployment.run():
        deployment.set_all('silent', 10)
        for crashes in (1, 2):
            before = collections.Counter(deployment.list_runs())
            await give_up(deployment, route)
            runs = collections.Counter(deployment.list_runs())
            (silent,) = runs - before
            end(deployment, silent)
            await anyio.sleep(REMOVAL_SECONDS)
            assert len(deployment.list_runs()) == crashes
        assert await deployment.send('vm-1', route) == 502
        assert len(deployment.list_runs()) == 2


async def test_a_silent_server_that_goes_on_does_not_count(deployment):
    async with deployment.run():
        deployment.set_all('silent', 10)
        for _ in range(3):
            await disconnect(deployment, 'once')
        deployment.set_all('silent', 0)
        await anyio.sleep(REMOVAL_SECONDS)
        assert await deployment.send('vm-1') == 200
