import functools
import random

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import steps
from tests import stepworld
from tests import virtualtime


def in_world(test):
    """Run a test in virtual time, with a world without faults."""

    @functools.wraps(test)
    def run():
        anyio.run(
            _run,
            test,
            backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
        )

    # pytest must not take the world for a fixture.
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


async def draw_all(trainer, process):
    while not trainer.done:
        await trainer.draw(process)


@in_world
async def test_an_owner_that_was_paused_sends_a_newer_cursor_on(world):
    trainer = await submit(world, 64)
    await trainer.draw(world.processes['a'])
    await world.processes['a'].pause()
    while trainer.cursor < 64:
        await trainer.draw(world.processes['b'])
    await world.processes['a'].resume()
    with pytest.raises(errors.StepElsewhere):
        await world.processes['a'].draw('t.s', trainer.cursor)
    await draw_all(trainer, world.processes['b'])
    trainer.check_whole()


@in_world
async def test_samples_that_go_stale_unplaced_are_made_again(world):
    trainer = await submit(world)
    world.store.down = True
    await anyio.sleep(20)
    world.version += 2
    world.store.down = False
    await draw_all(trainer, world.processes['a'])
    trainer.check_whole()


@in_world
async def test_an_outage_holds_up_new_numbers_and_shows_in_the_dump(world):
    trainer = await submit(world, 64)
    await trainer.draw(world.processes['a'])
    seen = trainer.cursor
    world.store.down = True
    await anyio.sleep(3600)
    state = world.processes['a'].registry.summarize()['t.s']
    assert state['placed'] == seen
    assert state['made'] >= 64 - seen
    assert state['placing_seconds'] > 3500
    drawn = await world.processes['a'].draw('t.s', 0)
    assert [s.sequence for s in drawn.samples] == list(range(1, seen + 1))
    world.store.down = False


@in_world
async def test_a_new_step_is_refused_at_once_during_an_outage(world):
    world.store.down = True
    with anyio.fail_after(5), pytest.raises(errors.NotRun):
        spec = steps.StepSpec('t', 's', 'p', [steps.Group('x')])
        await world.processes['a'].registry.submit(spec)


@in_world
async def test_a_restarted_trainer_goes_on_after_what_it_acknowledged(world):
    trainer = await submit(world)
    while trainer.cursor < 16:
        await trainer.draw(world.processes['a'])
    await world.processes['a'].draw('t.s', 10)
    drawn = await world.processes['a'].draw('t.s', 0)
    assert (drawn.start, drawn.samples[0].sequence) == (10, 11)


@in_world
async def test_a_step_hands_over_what_there_is_at_its_deadline(world):
    trainer = await submit(world, 1024, deadline_seconds=1.5)
    process = world.processes['a']
    while not trainer.done:
        await trainer.draw(process)
    assert 0 < trainer.cursor < 1024
    await anyio.sleep(1)
    with pytest.raises(errors.StepIncomplete):
        await process.draw('t.s', trainer.cursor)


@in_world
async def test_a_new_owner_keeps_the_deadline(world):
    trainer = await submit(world, 1024, deadline_seconds=3)
    await trainer.draw(world.processes['a'])
    await world.processes['a'].pause()
    while not trainer.done:
        await trainer.draw(world.processes['b'])
    assert anyio.current_time() < 10
    assert trainer.cursor < 1024


@in_world
async def test_a_cancelled_step_is_not_opened_again(world):
    trainer = await submit(world, 64)
    running = world.processes['a'].registry.find('t.s')
    running.cancel()
    await anyio.sleep(1)
    with pytest.raises(errors.StepIncomplete):
        await world.processes['b'].draw('t.s', 0)
    with pytest.raises(errors.StepElsewhere):
        await world.processes['b'].registry.submit(trainer.spec)


@in_world
async def test_a_restarted_owner_takes_its_own_step_over(world):
    trainer = await submit(world)
    await trainer.draw(world.processes['a'])
    await world.processes['a'].restart()
    await draw_all(trainer, world.processes['a'])
    trainer.check_whole()


@in_world
async def test_a_step_makes_one_platform_call_a_second(world):
    trainer = await submit(world, 4096)
    started = anyio.current_time()
    before = sum(world.store.calls.values())
    while trainer.cursor < 4096:
        await trainer.draw(world.processes['a'])
    seconds = anyio.current_time() - started
    # One more, as the first is made at once.
    assert sum(world.store.calls.values()) - before <= seconds + 1


@in_world
async def test_spools_that_answer_late_do_not_hold_up_a_take_over(world):
    trainer = await submit(world)
    await trainer.draw(world.processes['a'])
    world.fetch_seconds = 20.0
    await world.processes['a'].restart()
    while not trainer.done:
        await trainer.draw(world.processes['a'])
    trainer.check_whole()
    assert anyio.current_time() < 30
