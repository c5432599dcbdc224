import asyncio
import random

import anyio
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tests import stepworld
from tests import virtualtime

SAMPLES = 48
NAMES = strategies.sampled_from('abc')


class StepMachine(stateful.RuleBasedStateMachine):
    """Three processes that may die, pause or lose the platform."""

    def __init__(self):
        super().__init__()
        self.loop = virtualtime.VirtualTimeLoop()
        started = self.loop.create_future()
        self.main = self.loop.create_task(self._main(started))
        self.world = self.loop.run_until_complete(started)
        self.trainer = stepworld.Trainer(self.world, 's', SAMPLES)
        self.act(self.trainer.submit(self.world.processes['a']))

    async def _main(self, started):
        async with anyio.create_task_group() as tasks:
            world = stepworld.World(random.Random(1), tasks)
            started.set_result(world)
            await anyio.sleep_forever()

    def act(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    @stateful.rule(name=NAMES, lose=strategies.booleans())
    def draw(self, name, lose):
        self.act(self.trainer.draw(self.world.processes[name], lose))

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.1]))
    def wait(self, seconds):
        self.act(asyncio.sleep(seconds))

    @stateful.rule(name=NAMES)
    def pause(self, name):
        self.act(self.world.processes[name].pause())

    @stateful.rule(name=NAMES)
    def resume(self, name):
        self.act(self.world.processes[name].resume())

    @stateful.rule(name=NAMES)
    def restart(self, name):
        self.act(self.world.processes[name].restart())

    @stateful.rule(down=strategies.booleans())
    def switch_platform(self, down):
        self.world.store.down = down

    @stateful.rule(share=strategies.sampled_from([0.0, 0.3]))
    def lose_calls(self, share):
        self.world.fault_share = share

    @stateful.rule()
    def lose_payloads(self):
        self.world.kept.clear()

    @stateful.rule()
    def publish(self):
        self.world.version += 1

    def teardown(self):
        self.act(self.world.heal())
        names = 'abc'
        turn = 0
        while not self.trainer.done:
            turn += 1
            assert turn < 500, 'the step ends once the faults have'
            process = self.world.processes[names[turn % 3]]
            self.act(self.trainer.draw(process))
        self.trainer.check_whole()
        self.main.cancel()
        try:
            self.act(self.main)
        except asyncio.CancelledError:
            pass
        self.loop.close()


StepMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None
)
TestEverySampleIsHandedOverOnce = StepMachine.TestCase
