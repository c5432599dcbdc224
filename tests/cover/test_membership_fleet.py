import anyio
import pytest

from swiftjunction import demo

pytestmark = pytest.mark.anyio

KNOWN_SECONDS = 5.0


def live(daemon, kind='conductor'):
    return sorted(p.vm for p in daemon.processes.select(kind))


async def wait_until(condition, seconds):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.05)


async def test_a_dead_vm_is_known_everywhere_and_comes_back():
    plan = demo.FleetPlan(vms=3, engines=1, services=0, scorers=0)
    fleet = demo.Fleet(plan)
    async with fleet.run():
        everyone = [*fleet.conductors.values(), *fleet.entries.values()]
        await wait_until(lambda: all(len(live(d)) == 3 for d in everyone), 20)
        for kind in ('conductor', 'entry', 'rollout'):
            fleet.scopes[f'entry-2/{kind}'].cancel()
        rest = [d for d in everyone if d.config.vm.name != 'entry-2']
        # The target is 5 s; twice that allows for a machine under load.
        await wait_until(
            lambda: all(
                live(d, kind) == ['entry-0', 'entry-1']
                for d in rest
                for kind in ('conductor', 'entry')
            ),
            2 * KNOWN_SECONDS,
        )
        fleet.start_vm(2)
        await wait_until(
            lambda: all(len(live(d, 'entry')) == 3 for d in rest), 20
        )


async def test_a_dead_entry_is_found_by_its_own_conductor():
    plan = demo.FleetPlan(vms=2, engines=1, services=0, scorers=0)
    fleet = demo.Fleet(plan)
    async with fleet.run():
        everyone = list(fleet.conductors.values())
        await wait_until(
            lambda: all(len(live(d, 'entry')) == 2 for d in everyone), 20
        )
        fleet.scopes['entry-1/entry'].cancel()
        await wait_until(
            lambda: all(live(d, 'entry') == ['entry-0'] for d in everyone),
            2 * KNOWN_SECONDS,
        )
        assert all(len(live(d)) == 2 for d in everyone)
