"""Usage reports of edge VMs in one process, with the API's stand-in."""

import collections
import functools
import json

import anyio
import cleo.testers.command_tester
import pytest

from swiftjunction.commands import _fleet
from tests import platform_deployment

pytestmark = pytest.mark.anyio

VMS = ('vm-1', 'vm-2')
WINDOW_SECONDS = 1
SETTINGS = (
    'cloud_api.address={duty_api}',
    'cloud_api.duties=usage_report',
    f'bounds.window_s={WINDOW_SECONDS}',
    'bounds.usage_late_s=4',
    'bounds.lease_ms=3000',
)


def make_deployment(tmp_path, settings=SETTINGS):
    return platform_deployment.PlatformDeployment(tmp_path, settings=settings)


def count(deployment, vm):
    """Count a request of a VM that has run."""
    runs = deployment.programs[vm]._usage.runs
    runs.settle(runs.count('first'))


async def wait_for_requests(deployment, number, seconds=15):
    """Wait until so many requests were reported."""
    with anyio.fail_after(seconds):
        while sum_reports(deployment) < number:
            await anyio.sleep(0.05)


def sum_reports(deployment):
    return sum(
        counts.get('first', 0)
        for counts in deployment.duty_api.reports.values()
    )


def find_coordinator(deployment):
    tokens = {
        call.fencing_token: call.holder for call in deployment.duty_api.calls
    }
    return tokens[max(tokens)]


async def run_fleet_usage(deployment):
    tester = cleo.testers.command_tester.CommandTester(
        _fleet.FleetUsageCommand()
    )
    line = f'--store {deployment.store_address} --json'
    await anyio.to_thread.run_sync(functools.partial(tester.execute, line))
    return json.loads(tester.io.fetch_output())


async def test_what_all_vms_counted_is_reported_and_shown(tmp_path):
    deployment = make_deployment(tmp_path)
    async with deployment.run(VMS):
        count(deployment, 'vm-1')
        count(deployment, 'vm-2')
        await wait_for_requests(deployment, 2)
        # The state on the store is up to a second old.
        await anyio.sleep(1.5)
        rows = await run_fleet_usage(deployment)
    assert sum_reports(deployment) == 2
    assert deployment.duty_api.faulty_calls == []
    assert sum(row['requests'] for row in rows) == 2
    assert {r['state'] for r in rows if r['requests']} == {'sent'}


async def test_a_successor_goes_on_with_the_windows(tmp_path):
    deployment = make_deployment(tmp_path)
    async with deployment.run(VMS):
        count(deployment, 'vm-1')
        count(deployment, 'vm-2')
        await wait_for_requests(deployment, 2)
        coordinator = find_coordinator(deployment)
        (other,) = set(VMS) - {coordinator}
        count(deployment, coordinator)
        count(deployment, other)
        await anyio.sleep(0.1)
        deployment.kill_vm(coordinator)
        await wait_for_requests(deployment, 3)
        await anyio.sleep(2 * WINDOW_SECONDS)
    windows = sorted(deployment.duty_api.reports)
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert deployment.duty_api.faulty_calls == []


async def test_no_usage_is_reported_where_the_platform_asks_for_none(tmp_path):
    deployment = make_deployment(tmp_path, (*SETTINGS[:1], *SETTINGS[2:]))
    async with deployment.run():
        await anyio.sleep(3 * WINDOW_SECONDS)
        assert not deployment.store.get('usage', 'state')
    assert deployment.duty_api.calls == []


async def test_an_invalid_length_of_windows_stops_only_the_reports(tmp_path):
    deployment = make_deployment(
        tmp_path, (*SETTINGS[:2], 'bounds.window_s=0')
    )
    async with deployment.run():
        response = await deployment.send_request('vm-1', 'GET', '/plain/a')
    assert response.status_code == 200
    assert deployment.duty_api.calls == []


async def test_requests_with_a_key_are_reported_for_its_organisation(tmp_path):
    config = platform_deployment.make_config()
    config['tenants'] = [
        {'name': 'first', 'api_keys': ['key-1']},
        {'name': 'second', 'api_keys': ['key-2']},
    ]
    deployment = platform_deployment.PlatformDeployment(
        tmp_path, settings=SETTINGS, config=config
    )
    keys = ['key-1', 'key-1', 'key-2', 'unknown']
    async with deployment.run(VMS):
        for number, key in enumerate(keys):
            await deployment.send_request(
                VMS[number % 2],
                'GET',
                f'/plain/{number}',
                headers={
                    'swiftjunction-credential': key,
                    'swiftjunction-attempt-id': f'request-{number}',
                },
            )
        await wait_for_requests(deployment, 2)
        await anyio.sleep(2 * WINDOW_SECONDS)
    totals = collections.Counter()
    for counts in deployment.duty_api.reports.values():
        totals.update(counts)
    assert totals == {'first': 2, 'second': 1}
    assert deployment.duty_api.faulty_calls == []
