"""Servers that name the requests a second that they take from all VMs."""

import bisect
import time

import anyio
import httpx
import pytest

from tests import platform_deployment

pytestmark = pytest.mark.anyio

VMS = ['vm-1', 'vm-2', 'vm-3']
# The rule of the platform: from three seconds after the first naming, in some
# four seconds at most one and a half times the limit, and five requests.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
OVERSHOOT_FACTOR = 1.5
OVERSHOOT_REQUESTS = 5
FLOOD_SECONDS = 9.0


class Deployment(platform_deployment.PlatformDeployment):
    """A deployment to which requests are sent at a rate."""

    def __init__(self, folder):
        super().__init__(folder)
        self._sent = 0
        self.statuses = []
        self.retry_after = []

    async def flood(self, vm, route, per_second, seconds=FLOOD_SECONDS):
        """Send requests to one VM at a rate, without waiting for any."""
        url = f'http://127.0.0.1:{self.ports[vm]["front"]}/{route}/x'
        async with (
            httpx.AsyncClient(trust_env=False, timeout=5) as client,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(int(per_second * seconds)):
                tasks.start_soon(self._send, client, url)
                await anyio.sleep(1 / per_second)

    def find_vm(self, coordinates):
        """Return the VM that coordinates, or one that does not."""
        for name, program in self.programs.items():
            if (program._coordinator.lease is not None) == coordinates:
                return name
        raise AssertionError('no such VM')

    async def _send(self, client, url):
        self._sent += 1
        headers = {
            'host': platform_deployment.HOST,
            'swiftjunction-attempt-id': f'r{self._sent}',
            'swiftjunction-deadline-ms': '1500',
            'swiftjunction-model': platform_deployment.MODEL,
        }
        try:
            response = await client.post(url, headers=headers)
        except httpx.HTTPError:
            return
        self.statuses.append(response.status_code)
        if response.status_code == 503:
            self.retry_after.append(float(response.headers['retry-after']))


@pytest.fixture
def deployment(tmp_path):
    return Deployment(tmp_path)


def count_most(server):
    """Return the most requests in a window since the limit is in force."""
    since = server.server_runs.limited_at + CONTACT_SECONDS
    times = [a.at for a in server.server_runs.arrivals if a.at >= since]
    return max(
        (
            bisect.bisect_right(times, start + WINDOW_SECONDS) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


def check_limits(servers, limit):
    for server in servers:
        allowed = limit * WINDOW_SECONDS * OVERSHOOT_FACTOR
        assert count_most(server) <= allowed + OVERSHOOT_REQUESTS


def measure_rate(servers):
    """Return the requests a second of each server since the limit."""
    now = time.monotonic()
    rates = []
    for server in servers:
        since = server.server_runs.limited_at + CONTACT_SECONDS
        times = [a.at for a in server.server_runs.arrivals if a.at >= since]
        rates.append(len(times) / (now - since))
    return rates


@pytest.mark.parametrize(
    ('route', 'service'), [('plain', 'plain'), ('streams', 'engines')]
)
async def test_all_vms_together_keep_to_the_limits_of_servers(
    deployment, route, service
):
    servers = list(getattr(deployment, service).values())
    async with deployment.run(VMS):
        for server in servers:
            server.faults.set('limit', 4)
        async with anyio.create_task_group() as tasks:
            for vm in VMS:
                tasks.start_soon(deployment.flood, vm, route, 10)
        rates = measure_rate(servers)
        check_limits(servers, 4)
        assert min(rates) >= 2.0
        # What cannot be sent is refused, with a time to come back.
        assert 503 in deployment.statuses
        assert set(deployment.statuses) <= {200, 503}
        assert all(0 < seconds <= 2 for seconds in deployment.retry_after)


@pytest.mark.parametrize('coordinates', [True, False])
async def test_demand_at_one_vm_gets_most_of_the_limit(
    deployment, coordinates
):
    servers = list(deployment.plain.values())
    async with deployment.run(VMS):
        vm = deployment.find_vm(coordinates)
        for server in servers:
            server.faults.set('limit', 4)
        await deployment.flood(vm, 'plain', 30)
        rates = measure_rate(servers)
        check_limits(servers, 4)
        assert min(rates) >= 0.7 * 4


async def test_limits_hold_while_vms_are_killed(deployment):
    servers = list(deployment.plain.values())
    async with deployment.run(VMS):
        for server in servers:
            server.faults.set('limit', 4)

        async def kill_coordinator():
            await anyio.sleep(4.0)
            deployment.kill_vm(deployment.find_vm(coordinates=True))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(kill_coordinator)
            for vm in VMS:
                tasks.start_soon(deployment.flood, vm, 'plain', 15, 12.0)
        check_limits(servers, 4)


async def test_samples_and_scoring_requests_keep_to_the_limits(deployment):
    servers = {**deployment.plain, **deployment.engines}.values()
    async with deployment.run(VMS):
        for server in servers:
            server.faults.set('limit', 2)
        for index in range(int(FLOOD_SECONDS)):
            batch = platform_deployment.make_batch(12, 2, prefix=f'b{index}-')
            response = await deployment.submit('vm-1', f'batch{index}', batch)
            assert response.status_code == 202
            await anyio.sleep(1.0)
        check_limits(servers, 2)
        assert min(measure_rate(deployment.engines.values())) >= 1.0
        assert min(measure_rate(deployment.plain.values())) >= 1.0


async def test_a_limit_that_is_no_longer_named_ends(deployment):
    servers = list(deployment.plain.values())
    async with deployment.run(VMS):
        for server in servers:
            server.faults.set('limit', 2)
        await deployment.flood('vm-1', 'plain', 20, 2.0)
        for server in servers:
            server.faults.set('limit', 0)
        await anyio.sleep(1.5)
        await deployment.flood('vm-2', 'plain', 5, 1.0)
        deployment.statuses.clear()
        async with anyio.create_task_group() as tasks:
            for vm in VMS:
                tasks.start_soon(deployment.flood, vm, 'plain', 8, 1.5)
        assert deployment.statuses.count(200) > 0.8 * len(deployment.statuses)


async def test_servers_without_a_limit_take_what_others_do_not(deployment):
    limited, free = deployment.plain.values()
    async with deployment.run(VMS):
        limited.faults.set('limit', 1)
        async with anyio.create_task_group() as tasks:
            for vm in VMS:
                tasks.start_soon(deployment.flood, vm, 'plain', 10, 6.0)
        check_limits([limited], 1)
        assert set(deployment.statuses) == {200}
