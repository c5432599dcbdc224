"""Delivers 100,000 samples while processes and the platform fail.

Run it with ``python -m pytest -s tests/nocover/test_steps_soak.py``. It runs
in virtual time and prints counts of samples, faults and platform calls.
"""

import random

import anyio
import pytest

from tests import stepworld
from tests import virtualtime

STEPS = 100
SAMPLES = 1000
CONCURRENT_TRAINERS = 4


async def inject_faults(world):
    while True:
        await anyio.sleep(world.rng.uniform(0.2, 2.0))
        process = world.processes[world.rng.choice('abc')]
        fault = world.rng.choice(
            ['pause', 'pause', 'restart', 'outage', 'publish', 'publish']
        )
        world.injected_faults[fault] += 1
        if fault == 'pause':
            await process.pause()
            await anyio.sleep(world.rng.uniform(0.5, 8.0))
            await process.resume()
        elif fault == 'restart':
            await process.restart()
        elif fault == 'outage':
            world.store.down = True
            await anyio.sleep(world.rng.uniform(0.5, 10.0))
            world.store.down = False
        else:
            world.version += 1


async def run_trainer(world, first_step):
    for number in range(first_step, STEPS, CONCURRENT_TRAINERS):
        trainer = stepworld.Trainer(world, f's{number}', SAMPLES)
        process = world.processes[world.rng.choice('abc')]
        with anyio.move_on_after(30):
            await trainer.submit(process)
        while not trainer.done:
            process = world.processes[world.rng.choice('abc')]
            await trainer.fetch(process, world.rng.random() < 0.1)
            await anyio.sleep(0.05)
        trainer.check_complete()
        world.delivered += len(trainer.received)


async def run_soak(seed):
    async with anyio.create_task_group() as tasks:
        world = stepworld.World(random.Random(seed), tasks, 0.1, 0.05)
        tasks.start_soon(inject_faults, world)
        async with anyio.create_task_group() as trainers:
            for first_step in range(CONCURRENT_TRAINERS):
                trainers.start_soon(run_trainer, world, first_step)
        tasks.cancel_scope.cancel()
    return world


@pytest.mark.parametrize('seed', [1])
def test_each_of_100000_samples_is_delivered_once(seed):
    world = anyio.run(
        run_soak,
        seed,
        backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
    )
    print(
        f'\ndelivered {world.delivered} generated {world.generated} '
        f'responses lost {world.lost_responses} '
        f'faults {dict(world.injected_faults)} '
        f'platform calls {dict(world.store.calls)}'
    )
    assert world.delivered == STEPS * SAMPLES
