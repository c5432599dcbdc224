import functools
import random

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import steps
from tests import stepworld
from tests import virtualtime


def in_world(test):
    """Run a test in virtual time with a fault-free simulation."""

    @functools.wraps(test)
    def run():
        anyio.run(
            _run,
            test,
            backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
        )

    # Otherwise pytest treats the parameter of the test as a fixture.
    del run.__wrapped__
    return run


async def _run(test):
    async with anyio.create_task_group() as tasks:
        await test(stepworld.World(random.Random(1), tasks))
        tasks.cancel_scope.cancel()


async def submit(world, samples=16, **options):
    trainer = stepworld.Trainer(world, 's', samples)
    for name, value in options.items():
        trainer.spec = steps.StepSpec(
            't', 's', trainer.spec.path, trainer.spec.groups, **{name: value}
        )
    await trainer.submit(world.processes['a'])
    return trainer


async def fetch_all(trainer, process):
    while not trainer.done:
        await trainer.fetch(process)


@in_world
async def test_a_paused_former_owner_redirects_a_newer_cursor(world):
    trainer = await submit(world, 64)
    await trainer.fetch(world.processes['a'])
    await world.processes['a'].pause()
    while trainer.cursor < 64:
        await trainer.fetch(world.processes['b'])
    await world.processes['a'].resume()
    with pytest.raises(errors.StepElsewhere):
        await world.processes['a'].fetch('t.s', trainer.cursor)
    await fetch_all(trainer, world.processes['b'])
    trainer.check_complete()


@in_world
async def test_uncommitted_samples_that_go_stale_are_generated_again(world):
    trainer = await submit(world)
    world.store.down = True
    await anyio.sleep(20)
    world.version += 2
    world.store.down = False
    await fetch_all(trainer, world.processes['a'])
    trainer.check_complete()


@in_world
async def test_an_outage_delays_commits_and_shows_in_the_dump(world):
    trainer = await submit(world, 64)
    await trainer.fetch(world.processes['a'])
    last_cursor = trainer.cursor
    world.store.down = True
    await anyio.sleep(3600)
    state = world.processes['a'].registry.summarize()['t.s']
    assert state['placed'] == last_cursor
    assert state['made'] >= 64 - last_cursor
    assert state['placing_seconds'] > 3500
    page = await world.processes['a'].fetch('t.s', 0)
    assert [s.sequence for s in page.samples] == list(
        range(1, last_cursor + 1)
    )
    world.store.down = False


@in_world
async def test_a_new_step_is_refused_at_once_during_an_outage(world):
    world.store.down = True
    with anyio.fail_after(5), pytest.raises(errors.NotRun):
        spec = steps.StepSpec('t', 's', 'p', [steps.Group('x')])
        await world.processes['a'].registry.submit(spec)


@in_world
async def test_a_restarted_trainer_resumes_after_its_acknowledged_samples(
    world,
):
    trainer = await submit(world)
    while trainer.cursor < 16:
        await trainer.fetch(world.processes['a'])
    await world.processes['a'].fetch('t.s', 10)
    page = await world.processes['a'].fetch('t.s', 0)
    assert (page.start, page.samples[0].sequence) == (10, 11)


@in_world
async def test_a_step_delivers_its_finished_samples_at_the_deadline(world):
    trainer = await submit(world, 1024, deadline_seconds=1.5)
    process = world.processes['a']
    while not trainer.done:
        await trainer.fetch(process)
    assert 0 < trainer.cursor < 1024
    await anyio.sleep(1)
    with pytest.raises(errors.StepIncomplete):
        await process.fetch('t.s', trainer.cursor)


@in_world
async def test_a_new_owner_keeps_the_deadline(world):
    trainer = await submit(world, 1024, deadline_seconds=3)
    await trainer.fetch(world.processes['a'])
    await world.processes['a'].pause()
    while not trainer.done:
        await trainer.fetch(world.processes['b'])
    assert anyio.current_time() < 10
    assert trainer.cursor < 1024


@in_world
async def test_a_cancelled_step_is_not_opened_again(world):
    trainer = await submit(world, 64)
    running = world.processes['a'].registry.find('t.s')
    running.cancel()
    await anyio.sleep(1)
    with pytest.raises(errors.StepIncomplete):
        await world.processes['b'].fetch('t.s', 0)
    with pytest.raises(errors.StepElsewhere):
        await world.processes['b'].registry.submit(trainer.spec)


@in_world
async def test_a_restarted_owner_takes_its_own_step_over(world):
    trainer = await submit(world)
    await trainer.fetch(world.processes['a'])
    await world.processes['a'].restart()
    await fetch_all(trainer, world.processes['a'])
    trainer.check_complete()


@in_world
async def test_a_step_makes_one_platform_call_per_second(world):
    trainer = await submit(world, 4096)
    started_at = anyio.current_time()
    calls_before = sum(world.store.calls.values())
    while trainer.cursor < 4096:
        await trainer.fetch(world.processes['a'])
    seconds = anyio.current_time() - started_at
    # The first call is made without a delay.
    assert sum(world.store.calls.values()) - calls_before <= seconds + 1


@in_world
async def test_slow_spools_do_not_delay_a_take_over(world):
    trainer = await submit(world)
    await trainer.fetch(world.processes['a'])
    world.fetch_latency_seconds = 20.0
    await world.processes['a'].restart()
    while not trainer.done:
        await trainer.fetch(world.processes['a'])
    trainer.check_complete()
    assert anyio.current_time() < 30
