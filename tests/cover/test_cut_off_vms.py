"""VMs that are cut off from all backend servers, while others reach them.

Callers, the object store and the other VMs still reach these VMs.
"""

import anyio
import pytest

from tests import cut_off_deployment
from tests import platform_deployment

pytestmark = pytest.mark.anyio

# Half of the time by which each VM must serve again.
CONTACT_SECONDS = 1.5
CALLERS_REQUESTS = 12
CUTS = {
    'hanging': cut_off_deployment.HANGING,
    'reset': cut_off_deployment.RESET,
    'refused': cut_off_deployment.REFUSED,
    'living-on': cut_off_deployment.LIVING_ON,
}


@pytest.fixture(params=list(CUTS.values()), ids=list(CUTS))
def cut(request):
    return request.param


async def call(deployment, vm, number, path='/plain/a'):
    return await deployment.send_request(
        vm,
        'POST',
        path,
        headers={
            'swiftjunction-attempt-id': f'{vm}-{number}',
            'swiftjunction-deadline-ms': '1500',
            'swiftjunction-model': platform_deployment.MODEL,
        },
        content=f'{vm}-{number}'.encode(),
    )


async def count_served(deployment, vm, path='/plain/a'):
    """Return how many first tries of callers at a VM are served."""
    served = 0
    for number in range(CALLERS_REQUESTS):
        response = await call(deployment, vm, number, path)
        served += response.status_code == 200
        await anyio.sleep(0.05)
    return served


async def test_callers_of_a_vm_without_servers_are_served(
    tmp_path, monkeypatch, cut
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        assert await count_served(deployment, 'vm-1') == CALLERS_REQUESTS
        deployment.cut('vm-1', cut)
        await anyio.sleep(CONTACT_SECONDS)
        served = await count_served(deployment, 'vm-1')
        others = await count_served(deployment, 'vm-2')
    assert others == CALLERS_REQUESTS
    assert served * 3 >= others * 2


async def test_most_vms_without_servers_are_served_by_the_last_one(
    tmp_path, monkeypatch
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        for vm in ('vm-1', 'vm-2'):
            deployment.cut(vm, cut_off_deployment.HANGING)
        await anyio.sleep(CONTACT_SECONDS)
        served = [
            await count_served(deployment, vm) for vm in ('vm-1', 'vm-2')
        ]
    assert min(served) * 3 >= CALLERS_REQUESTS * 2


async def test_requests_that_run_once_are_served_without_servers(
    tmp_path, monkeypatch, cut
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        deployment.cut('vm-1', cut)
        await anyio.sleep(CONTACT_SECONDS)
        served = await count_served(deployment, 'vm-1', '/once/a')
        runs = [
            request_id
            for server in deployment.plain.values()
            for request_id, _ in server.runs
        ]
    assert served * 3 >= CALLERS_REQUESTS * 2
    assert len(runs) == len(set(runs))


async def test_streams_of_a_vm_without_servers_are_whole(
    tmp_path, monkeypatch, cut
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        reference = await call(deployment, 'vm-2', 0, '/streams/a')
        deployment.cut('vm-1', cut)
        await anyio.sleep(CONTACT_SECONDS)
        served = 0
        for number in range(CALLERS_REQUESTS):
            response = await call(deployment, 'vm-1', number, '/streams/a')
            served += response.status_code == 200
            if response.status_code == 200:
                assert response.text.count('id: ') == reference.text.count(
                    'id: '
                )
    assert served * 3 >= CALLERS_REQUESTS * 2


async def test_a_coordinator_without_engines_does_not_stop_all_samples(
    tmp_path, monkeypatch, cut
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    deployment.set_up_engines(event_seconds=0.05)
    async with deployment.run(cut_off_deployment.VMS):
        former = await deployment.wait_for_coordinator()
        vm = next(v for v in cut_off_deployment.VMS if v != former)
        submitted = await deployment.submit(
            vm, 'b1', platform_deployment.make_batch()
        )
        await anyio.sleep(0.1)
        deployment.cut(former, cut)
        results = await deployment.wait_for_results(vm, 'b1', 4, seconds=8)
    assert submitted.status_code == 202
    assert {result['state'] for result in results} == {'completed'}


async def test_the_duty_moves_to_a_vm_that_reaches_engines(
    tmp_path, monkeypatch, cut
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        former = await deployment.wait_for_coordinator()
        vm = next(v for v in cut_off_deployment.VMS if v != former)
        deployment.cut(former, cut)
        deployment.store.put(
            'versions',
            platform_deployment.MODEL,
            {'model': platform_deployment.MODEL, 'version': 2},
        )
        with anyio.fail_after(10):
            while any(
                engine.versions[platform_deployment.MODEL] < 2
                for engine in deployment.engines.values()
            ):
                await anyio.sleep(0.05)
        coordinator = deployment.find_coordinator()
        batch = platform_deployment.make_batch(min_version=2)
        await deployment.submit(vm, 'b2', batch)
        results = await deployment.wait_for_results(vm, 'b2', 4)
    assert coordinator not in (None, former)
    assert {result['state'] for result in results} == {'completed'}


async def test_a_cut_is_not_taken_for_crashes_of_servers(
    tmp_path, monkeypatch
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    for server in deployment.plain.values():
        server.faults.set('silent', CALLERS_REQUESTS)
    async with deployment.run(cut_off_deployment.VMS):
        for number in range(3):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_same, deployment, 'vm-1', number)
                await anyio.sleep(0.4)
                deployment.cut('vm-1', cut_off_deployment.REFUSED)
            deployment.heal('vm-1')
            await anyio.sleep(2.0)
        for server in deployment.plain.values():
            server.faults.set('silent', 0)
        response = await send_same(deployment, 'vm-2', 4)
    assert response.status_code == 200


async def send_same(deployment, vm, number):
    return await deployment.send_request(
        vm,
        'POST',
        '/plain/same',
        headers={'swiftjunction-attempt-id': f'same-{vm}-{number}'},
        content=b'same',
    )


async def test_a_request_that_no_vm_can_serve_is_refused_at_once(
    tmp_path, monkeypatch
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        for vm in cut_off_deployment.VMS:
            deployment.cut(vm, cut_off_deployment.HANGING)
            await call(deployment, vm, 0)
        await anyio.sleep(1.0)
        began = anyio.current_time()
        response = await call(deployment, 'vm-1', 1)
        seconds = anyio.current_time() - began
        for vm in cut_off_deployment.VMS:
            deployment.heal(vm)
        await anyio.sleep(2.0)
        healed = await count_served(deployment, 'vm-1')
    assert response.status_code == 503
    assert 'retry-after' in response.headers
    assert seconds < 0.3
    assert healed == CALLERS_REQUESTS


async def test_callers_are_sent_to_vms_that_reach_servers(
    tmp_path, monkeypatch
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        deployment.cut('vm-1', cut_off_deployment.HANGING)
        await call(deployment, 'vm-1', 0)
        await anyio.sleep(CONTACT_SECONDS)
        listed = [
            (
                await deployment.send_request(
                    vm, 'GET', '/resolve', port='directory'
                )
            ).json()['addresses']
            for vm in cut_off_deployment.VMS
        ]
        deployment.heal('vm-1')
        await anyio.sleep(CONTACT_SECONDS)
        response = await deployment.send_request(
            'vm-2', 'GET', '/resolve', port='directory'
        )
        front = f'{deployment.vm_ip}:{deployment.ports["vm-1"]["front"]}'
    assert all(front not in addresses for addresses in listed)
    assert all(len(addresses) == 2 for addresses in listed)
    assert front in response.json()['addresses']


async def test_a_vm_serves_directly_again_after_the_cut(tmp_path, monkeypatch):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        deployment.cut('vm-1', cut_off_deployment.HANGING)
        await count_served(deployment, 'vm-1')
        deployment.heal('vm-1')
        await anyio.sleep(CONTACT_SECONDS)
        for vm in ('vm-2', 'vm-3'):
            deployment.cut(vm, cut_off_deployment.HANGING)
        served = await count_served(deployment, 'vm-1')
    assert served == CALLERS_REQUESTS


async def test_a_caller_that_leaves_ends_its_relayed_request(
    tmp_path, monkeypatch
):
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    deployment.set_up_engines(event_seconds=0.2)
    async with deployment.run(cut_off_deployment.VMS):
        deployment.cut('vm-1', cut_off_deployment.HANGING)
        await count_served(deployment, 'vm-1')
        with anyio.move_on_after(0.6):
            await call(deployment, 'vm-1', 'left', '/streams/a')
        await anyio.sleep(0.5)
        running = [
            engine._running_count for engine in deployment.engines.values()
        ]
    assert not any(running)


async def test_a_stalled_peer_does_not_stall_callers(tmp_path, monkeypatch):
    # The peers that would relay are cut off as well, and do not know it yet.
    deployment = cut_off_deployment.CutOffDeployment(tmp_path, monkeypatch)
    async with deployment.run(cut_off_deployment.VMS):
        deployment.cut('vm-1', cut_off_deployment.HANGING)
        await count_served(deployment, 'vm-1')
        deployment.cut('vm-2', cut_off_deployment.HANGING)
        await anyio.sleep(1.0)
        served = await count_served(deployment, 'vm-1')
    assert served * 3 >= CALLERS_REQUESTS * 2
