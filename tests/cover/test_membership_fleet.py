import anyio
import pytest

from swiftjunction import demo

pytestmark = pytest.mark.anyio

DETECTION_SECONDS = 5.0


def list_live_vms(daemon, kind='conductor'):
    return sorted(p.vm for p in daemon.processes.select(kind))


async def wait_until(condition, seconds):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.05)


async def test_all_daemons_detect_a_dead_vm_and_its_return():
    plan = demo.FleetOptions(vms=3, engines=1, services=0, scorers=0)
    fleet = demo.Fleet(plan)
    async with fleet.run():
        daemons = [*fleet.conductors.values(), *fleet.entries.values()]
        await wait_until(
            lambda: all(len(list_live_vms(d)) == 3 for d in daemons), 20
        )
        for kind in ('conductor', 'entry', 'rollout'):
            fleet.scopes[f'entry-2/{kind}'].cancel()
        remaining_daemons = [
            d for d in daemons if d.config.vm.name != 'entry-2'
        ]
        # Twice DETECTION_SECONDS (5 s), for machines under load.
        await wait_until(
            lambda: all(
                list_live_vms(d, kind) == ['entry-0', 'entry-1']
                for d in remaining_daemons
                for kind in ('conductor', 'entry')
            ),
            2 * DETECTION_SECONDS,
        )
        fleet.start_vm(2)
        await wait_until(
            lambda: all(
                len(list_live_vms(d, 'entry')) == 3 for d in remaining_daemons
            ),
            20,
        )


async def test_the_conductor_of_the_vm_detects_a_dead_entry():
    plan = demo.FleetOptions(vms=2, engines=1, services=0, scorers=0)
    fleet = demo.Fleet(plan)
    async with fleet.run():
        daemons = list(fleet.conductors.values())
        await wait_until(
            lambda: all(len(list_live_vms(d, 'entry')) == 2 for d in daemons),
            20,
        )
        fleet.scopes['entry-1/entry'].cancel()
        await wait_until(
            lambda: all(
                list_live_vms(d, 'entry') == ['entry-0'] for d in daemons
            ),
            2 * DETECTION_SECONDS,
        )
        assert all(len(list_live_vms(d)) == 2 for d in daemons)
