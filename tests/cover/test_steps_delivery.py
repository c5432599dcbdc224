import functools
import random

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import steps
from tests import step_deployment
from tests import virtualtime


def with_deployment(test):
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
        await test(step_deployment.StepDeployment(random.Random(1), tasks))
        tasks.cancel_scope.cancel()


async def submit(deployment, samples=16, **options):
    trainer = step_deployment.Trainer(deployment, 's', samples)
    for name, value in options.items():
        trainer.spec = steps.StepSpec(
            't', 's', trainer.spec.path, trainer.spec.groups, **{name: value}
        )
    await trainer.submit(deployment.processes['a'])
    return trainer


async def fetch_all(trainer, process):
    while not trainer.done:
        await trainer.fetch(process)


@with_deployment
async def test_a_paused_former_owner_redirects_a_newer_cursor(deployment):
    trainer = await submit(deployment, 64)
    await trainer.fetch(deployment.processes['a'])
    await deployment.processes['a'].pause()
    while trainer.cursor < 64:
        await trainer.fetch(deployment.processes['b'])
    await deployment.processes['a'].resume()
    with pytest.raises(errors.StepElsewhere):
        await deployment.processes['a'].fetch('t.s', trainer.cursor)
    await fetch_all(trainer, deployment.processes['b'])
    trainer.check_complete()


@with_deployment
async def test_uncommitted_samples_that_go_stale_are_generated_again(
    deployment,
):
    trainer = await submit(deployment)
    deployment.store.down = True
    await anyio.sleep(20)
    deployment.version += 2
    deployment.store.down = False
    await fetch_all(trainer, deployment.processes['a'])
    trainer.check_complete()


@with_deployment
async def test_an_outage_delays_commits_and_shows_in_the_dump(deployment):
    trainer = await submit(deployment, 64)
    await trainer.fetch(deployment.processes['a'])
    last_cursor = trainer.cursor
    deployment.store.down = True
    await anyio.sleep(3600)
    state = deployment.processes['a'].registry.summarize()['t.s']
    assert state['placed'] == last_cursor
    assert state['made'] >= 64 - last_cursor
    assert state['placing_seconds'] > 3500
    page = await deployment.processes['a'].fetch('t.s', 0)
    assert [s.sequence for s in page.samples] == list(
        range(1, last_cursor + 1)
    )
    deployment.store.down = False


@with_deployment
async def test_a_new_step_is_refused_at_once_during_an_outage(deployment):
    deployment.store.down = True
    with anyio.fail_after(5), pytest.raises(errors.NotRun):
        spec = steps.StepSpec('t', 's', 'p', [steps.Group('x')])
        await deployment.processes['a'].registry.submit(spec)


@with_deployment
async def test_a_restarted_trainer_resumes_after_its_acknowledged_samples(
    deployment,
):
    trainer = await submit(deployment)
    while trainer.cursor < 16:
        await trainer.fetch(deployment.processes['a'])
    await deployment.processes['a'].fetch('t.s', 10)
    page = await deployment.processes['a'].fetch('t.s', 0)
    assert (page.start, page.samples[0].sequence) == (10, 11)


@with_deployment
async def test_a_step_delivers_its_finished_samples_at_the_deadline(
    deployment,
):
    trainer = await submit(deployment, 1024, deadline_seconds=1.5)
    process = deployment.processes['a']
    while not trainer.done:
        await trainer.fetch(process)
    assert 0 < trainer.cursor < 1024
    await anyio.sleep(1)
    with pytest.raises(errors.StepIncomplete):
        await process.fetch('t.s', trainer.cursor)


@with_deployment
async def test_a_new_owner_keeps_the_deadline(deployment):
    trainer = await submit(deployment, 1024, deadline_seconds=3)
    await trainer.fetch(deployment.processes['a'])
    await deployment.processes['a'].pause()
    while not trainer.done:
        await trainer.fetch(deployment.processes['b'])
    assert anyio.current_time() < 10
    assert trainer.cursor < 1024


@with_deployment
async def test_a_cancelled_step_is_not_opened_again(deployment):
    trainer = await submit(deployment, 64)
    running = deployment.processes['a'].registry.find('t.s')
    running.cancel()
    await anyio.sleep(1)
    with pytest.raises(errors.StepIncomplete):
        await deployment.processes['b'].fetch('t.s', 0)
    with pytest.raises(errors.StepElsewhere):
        await deployment.processes['b'].registry.submit(trainer.spec)


@with_deployment
async def test_a_restarted_owner_takes_its_own_step_over(deployment):
    trainer = await submit(deployment)
    await trainer.fetch(deployment.processes['a'])
    await deployment.processes['a'].restart()
    await fetch_all(trainer, deployment.processes['a'])
    trainer.check_complete()


@with_deployment
async def test_a_step_makes_one_platform_call_per_second(deployment):
    trainer = await submit(deployment, 4096)
    started_at = anyio.current_time()
    calls_before = sum(deployment.store.calls.values())
    while trainer.cursor < 4096:
        await trainer.fetch(deployment.processes['a'])
    seconds = anyio.current_time() - started_at
    # The first call is made without a delay.
    assert sum(deployment.store.calls.values()) - calls_before <= seconds + 1


@with_deployment
async def test_slow_spools_do_not_delay_a_take_over(deployment):
    trainer = await submit(deployment)
    await trainer.fetch(deployment.processes['a'])
    deployment.fetch_latency_seconds = 20.0
    await deployment.processes['a'].restart()
    while not trainer.done:
        await trainer.fetch(deployment.processes['a'])
    trainer.check_complete()
    assert anyio.current_time() < 30
