"""Random kills, lost messages and faults while usage is reported."""

import anyio
import hypothesis
from hypothesis import strategies

from tests import usage_fleet

NAMES = ['a', 'b', 'c', 'd']

names = strategies.sampled_from(NAMES)
pauses = strategies.sampled_from([0.1, 0.3, 1.0, 2.5])
steps = strategies.one_of(
    strategies.tuples(strategies.just('count'), names),
    strategies.tuples(strategies.just('count'), names),
    strategies.tuples(strategies.just('restart'), names),
    strategies.tuples(strategies.just('elect'), names),
    strategies.tuples(strategies.just('lose'), names),
    strategies.tuples(
        strategies.just('api'),
        strategies.sampled_from(['busy', 'lost', 'late']),
    ),
    strategies.tuples(
        strategies.just('store'),
        strategies.sampled_from(['refuse', 'lose', 'drop', 'delay', 'land']),
    ),
)


async def play(schedule, settle_seconds):
    """Play the steps; return the fleet and the requests that were told."""
    fleet = usage_fleet.UsageFleet(NAMES, settle_seconds)
    told = 0
    async with fleet.run():
        for (kind, value), pause in schedule:
            if kind == 'count':
                fleet.vms[value].count()
                told += 1
            elif kind == 'restart':
                # What it counted reaches the coordinator before it is killed.
                fleet.loss = 0.0
                fleet.store.faults = []
                await anyio.sleep(3)
                fleet.kill(value)
                await anyio.sleep(0.2)
                fleet.start(value)
                if fleet.coordinator is None:
                    fleet.elect(fleet.rng.choice(NAMES))
            elif kind == 'elect':
                fleet.elect(value)
            elif kind == 'lose':
                fleet.loss = 0.3
            elif kind == 'api':
                fleet.api.faults.append(value)
            else:
                fleet.store.faults += [value] * 3
            await anyio.sleep(pause)
        fleet.loss = 0.0
        fleet.store.faults = []
        await anyio.sleep(40)
    return fleet, told


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    strategies.lists(strategies.tuples(steps, pauses), max_size=25),
    strategies.sampled_from([0.0, usage_fleet.LEASE_SECONDS]),
)
def test_windows_have_one_report_each_and_all_that_was_told(
    schedule, settle_seconds
):
    fleet, told = anyio.run(
        play,
        schedule,
        settle_seconds,
        backend_options=usage_fleet.BACKEND_OPTIONS,
    )
    assert fleet.api.wrong == []
    windows = sorted(fleet.api.reports)
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert fleet.api.sum_windows('org') == told
