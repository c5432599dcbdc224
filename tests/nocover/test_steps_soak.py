"""Delivers 100,000 samples while processes and the platform fail.

Run it with ``python -m pytest -s tests/nocover/test_steps_soak.py``. It runs
in virtual time and prints counts of samples, faults and platform calls.
"""

import random

import anyio
import pytest

from tests import step_deployment
from tests import virtualtime

STEPS = 100
SAMPLES = 1000
CONCURRENT_TRAINERS = 4


async def inject_faults(deployment):
    while True:
        await anyio.sleep(deployment.rng.uniform(0.2, 2.0))
        process = deployment.processes[deployment.rng.choice('abc')]
        fault = deployment.rng.choice(
            ['pause', 'pause', 'restart', 'outage', 'publish', 'publish']
        )
        deployment.injected_faults[fault] += 1
        if fault == 'pause':
            await process.pause()
            await anyio.sleep(deployment.rng.uniform(0.5, 8.0))
            await process.resume()
        elif fault == 'restart':
            await process.restart()
        elif fault == 'outage':
            deployment.store.down = True
            await anyio.sleep(deployment.rng.uniform(0.5, 10.0))
            deployment.store.down = False
        else:
            deployment.version += 1


async def run_trainer(deployment, first_step):
    for number in range(first_step, STEPS, CONCURRENT_TRAINERS):
        trainer = step_deployment.Trainer(deployment, f's{number}', SAMPLES)
        process = deployment.processes[deployment.rng.choice('abc')]
        with anyio.move_on_after(30):
            await trainer.submit(process)
        while not trainer.done:
            process = deployment.processes[deployment.rng.choice('abc')]
            await trainer.fetch(process, deployment.rng.random() < 0.1)
            await anyio.sleep(0.05)
        trainer.check_complete()
        deployment.delivered += len(trainer.received)


async def run_soak(seed):
    async with anyio.create_task_group() as tasks:
        deployment = step_deployment.StepDeployment(
            random.Random(seed), tasks, 0.1, 0.05
        )
        tasks.start_soon(inject_faults, deployment)
        async with anyio.create_task_group() as trainers:
            for first_step in range(CONCURRENT_TRAINERS):
                trainers.start_soon(run_trainer, deployment, first_step)
        tasks.cancel_scope.cancel()
    return deployment


@pytest.mark.parametrize('seed', [1])
def test_each_of_100000_samples_is_delivered_once(seed):
    deployment = anyio.run(
        run_soak,
        seed,
        backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
    )
    print(
        f'\ndelivered {deployment.delivered} generated {deployment.generated} '
        f'responses lost {deployment.lost_responses} '
        f'faults {dict(deployment.injected_faults)} '
        f'platform calls {dict(deployment.store.calls)}'
    )
    assert deployment.delivered == STEPS * SAMPLES
