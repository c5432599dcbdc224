"""Hands over 100,000 samples while everything fails in turn.

Run it with ``python -m pytest -s tests/nocover/test_steps_soak.py``; it takes
virtual time and prints what was done.
"""

import random

import anyio
import pytest

from tests import stepworld
from tests import virtualtime

STEPS = 100
SAMPLES = 1000
AT_ONCE = 4


async def cause_trouble(world):
    while True:
        await anyio.sleep(world.rng.uniform(0.2, 2.0))
        process = world.processes[world.rng.choice('abc')]
        kind = world.rng.choice(
            ['pause', 'pause', 'restart', 'outage', 'publish', 'publish']
        )
        world.troubles[kind] += 1
        if kind == 'pause':
            await process.pause()
            await anyio.sleep(world.rng.uniform(0.5, 8.0))
            await process.resume()
        elif kind == 'restart':
            await process.restart()
        elif kind == 'outage':
            world.store.down = True
            await anyio.sleep(world.rng.uniform(0.5, 10.0))
            world.store.down = False
        else:
            world.version += 1


async def train(world, first):
    for number in range(first, STEPS, AT_ONCE):
        trainer = stepworld.Trainer(world, f's{number}', SAMPLES)
        process = world.processes[world.rng.choice('abc')]
        with anyio.move_on_after(30):
            await trainer.submit(process)
        while not trainer.done:
            process = world.processes[world.rng.choice('abc')]
            await trainer.draw(process, world.rng.random() < 0.1)
            await anyio.sleep(0.05)
        trainer.check_whole()
        world.delivered += len(trainer.received)


async def run_soak(seed):
    async with anyio.create_task_group() as tasks:
        world = stepworld.World(random.Random(seed), tasks, 0.1, 0.05)
        tasks.start_soon(cause_trouble, world)
        async with anyio.create_task_group() as trainers:
            for first in range(AT_ONCE):
                trainers.start_soon(train, world, first)
        tasks.cancel_scope.cancel()
    return world


@pytest.mark.parametrize('seed', [1])
def test_every_sample_is_handed_over_once_over_100000(seed):
    world = anyio.run(
        run_soak,
        seed,
        backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
    )
    print(
        f'\ndelivered {world.delivered} made {world.made} '
        f'answers lost {world.repeated} troubles {dict(world.troubles)} '
        f'platform calls {dict(world.store.calls)}'
    )
    assert world.delivered == STEPS * SAMPLES
