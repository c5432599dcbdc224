import asyncio
import random

import anyio
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tests import step_deployment
from tests import virtualtime

SAMPLES = 48
NAMES = strategies.sampled_from('abc')


class StepStateMachine(stateful.RuleBasedStateMachine):
    """Random restarts, pauses and platform faults of three processes."""

    def __init__(self):
        super().__init__()
        self.loop = virtualtime.VirtualTimeLoop()
        deployment_ready = self.loop.create_future()
        self.main_task = self.loop.create_task(self._main(deployment_ready))
        self.deployment = self.loop.run_until_complete(deployment_ready)
        self.trainer = step_deployment.Trainer(self.deployment, 's', SAMPLES)
        self.run_until_complete(
            self.trainer.submit(self.deployment.processes['a'])
        )

    async def _main(self, deployment_ready):
        async with anyio.create_task_group() as tasks:
            deployment = step_deployment.StepDeployment(
                random.Random(1), tasks
            )
            deployment_ready.set_result(deployment)
            await anyio.sleep_forever()

    def run_until_complete(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    @stateful.rule(name=NAMES, lose=strategies.booleans())
    def fetch(self, name, lose):
        self.run_until_complete(
            self.trainer.fetch(self.deployment.processes[name], lose)
        )

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.1]))
    def wait(self, seconds):
        self.run_until_complete(asyncio.sleep(seconds))

    @stateful.rule(name=NAMES)
    def pause(self, name):
        self.run_until_complete(self.deployment.processes[name].pause())

    @stateful.rule(name=NAMES)
    def resume(self, name):
        self.run_until_complete(self.deployment.processes[name].resume())

    @stateful.rule(name=NAMES)
    def restart(self, name):
        self.run_until_complete(self.deployment.processes[name].restart())

    @stateful.rule(down=strategies.booleans())
    def set_outage(self, down):
        self.deployment.store.down = down

    @stateful.rule(probability=strategies.sampled_from([0.0, 0.3]))
    def set_call_faults(self, probability):
        self.deployment.fault_probability = probability

    @stateful.rule()
    def lose_payloads(self):
        self.deployment.payloads.clear()

    @stateful.rule()
    def publish_weights(self):
        self.deployment.version += 1

    def teardown(self):
        self.run_until_complete(self.deployment.clear_faults())
        names = 'abc'
        attempt = 0
        while not self.trainer.done:
            attempt += 1
            assert attempt < 500, 'the step did not end after the faults'
            process = self.deployment.processes[names[attempt % 3]]
            self.run_until_complete(self.trainer.fetch(process))
        self.trainer.check_complete()
        self.main_task.cancel()
        try:
            self.run_until_complete(self.main_task)
        except asyncio.CancelledError:
            pass
        self.loop.close()


StepStateMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None
)
TestEachSampleIsDeliveredOnce = StepStateMachine.TestCase
