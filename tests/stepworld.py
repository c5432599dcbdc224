"""Rollout processes, their platform and a trainer, with faults at each edge.

The steps, ledgers, registries and the search for an owner are the real ones;
the platform, the spools and the engines are fakes in memory. A process that
is paused stops before and after each of its calls.
"""

import collections

import anyio

from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import steps
from tests import conftest

STEP_PATH = 'demo/advice'


class Gate:
    """Holds up the calls of a paused process."""

    def __init__(self):
        self.opened = anyio.Event()
        self.opened.set()

    @property
    def paused(self):
        return not self.opened.is_set()

    def pause(self):
        if not self.paused:
            self.opened = anyio.Event()

    def resume(self):
        self.opened.set()

    async def cross(self):
        await self.opened.wait()


class FaultyStore(conftest.MemoryStore):
    """The platform: slow, sometimes down, losing answers, reading old."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.down = False
        self.calls = collections.Counter()
        self.old = {}

    def _start_call(self):
        world = self.world
        if self.down:
            raise errors.PlatformUnavailable('down', step='test')
        draw = world.rng.random()
        if draw < world.fault_share / 2:
            raise errors.PlatformUnavailable('refused', step='test')
        return 'lose' if draw < world.fault_share else 'ok'

    def _put(self, key, value):
        if key in self.objects:
            self.old[key] = self.objects[key]
        super()._put(key, value)


class GatedStore:
    """The platform as one process reaches it."""

    def __init__(self, store, gate):
        self._store = store
        self._gate = gate

    def __getattr__(self, name):
        async def call(*args):
            await self._gate.cross()
            world = self._store.world
            self._store.calls[name] += 1
            await anyio.sleep(world.rng.uniform(0.001, 0.05))
            try:
                if name == 'read' and args[0] in self._store.old:
                    if world.rng.random() < world.fault_share:
                        return self._store.old[args[0]]
                return await getattr(self._store, name)(*args)
            finally:
                await self._gate.cross()

        return call


class SharedPayloads(steps.PayloadStore):
    """Spools that lose a payload now and then."""

    def __init__(self, world, gate):
        self._world = world
        self._gate = gate

    async def save(self, step_id, samples):
        await self._gate.cross()
        await anyio.sleep(0.002)
        for sample in samples:
            if self._world.rng.random() >= self._world.loss_share:
                self._world.kept[step_id][sample.index] = sample
        await self._gate.cross()

    async def fetch(self, step_id):
        await self._gate.cross()
        await anyio.sleep(self._world.fetch_seconds)
        return dict(self._world.kept[step_id])

    async def drop(self, step_id):
        self._world.kept.pop(step_id, None)


class FakeProducer:
    """Engines that take a random time and run the newest weights."""

    def __init__(self, world, gate):
        self._world = world
        self._gate = gate
        self._queue = steps.FairQueue(64)
        self._length_estimator = steps.LengthEstimator()

    def resolve_settings(self, spec):
        return None

    def make_schedule(self, spec):
        return steps.LongestFirst(self._length_estimator)

    def is_fresh(self, spec, sample):
        return sample.oldest_version >= self._world.version - 1

    async def acquire_slot(self, spec, remaining_seconds):
        await self._queue.acquire(spec.step_id, 1.0)
        return steps.Slot(self._queue)

    def remove_step(self, spec):
        self._queue.remove(spec.step_id)

    async def produce(self, spec, task, slot, *, urgent):
        world = self._world
        with slot:
            version = world.version
            await anyio.sleep(world.rng.lognormvariate(-2.0, 1.0))
            await self._gate.cross()
        world.made += 1
        text = f'{spec.step_id} {task.index}'
        segments = [requests.Segment(version, 0, len(text))]
        return steps.Sample(task.index, task.group_index, text, segments)


class _App(steps.StepApp):
    def __init__(self, registry, world):
        super().__init__(registry, None, None)
        self._world = world

    async def _probe_owner(self, owner):
        if owner == self._registry.owner:
            return ''
        process = self._world.processes[owner]
        if process.gate.paused or not process.running:
            return ''
        return owner


class Process:
    """One rollout process, which may die, restart and pause."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.running = False
        self.start()

    def start(self):
        self.gate = Gate()
        self.registry = steps.StepRegistry(
            GatedStore(self.world.store, self.gate),
            self.name,
            FakeProducer(self.world, self.gate),
            SharedPayloads(self.world, self.gate),
            anyio.current_time,
        )
        self.app = _App(self.registry, self.world)
        self.scope = anyio.CancelScope()
        self.running = True
        self.world.tasks.start_soon(self._run, self.registry, self.scope)

    async def _run(self, registry, scope):
        with scope:
            await registry.run()

    async def pause(self):
        self.gate.pause()

    async def resume(self):
        self.gate.resume()

    async def restart(self):
        """End at once, and start again with nothing in memory."""
        self.scope.cancel()
        self.running = False
        await anyio.sleep(0.001)
        self.start()

    async def draw(self, step_id, cursor, wait_seconds=0.5):
        await self.gate.cross()
        if not self.running:
            raise errors.NotRun('dead', step='test')
        running = await self.app._find_step(step_id, cursor)
        drawn = await running.fetch_samples(cursor, wait_seconds)
        await self.gate.cross()
        return drawn


class World:
    """Everything, with what was handed over and the checks of it."""

    def __init__(self, rng, tasks, fault_share=0.0, loss_share=0.0):
        self.rng = rng
        self.tasks = tasks
        self.fault_share = fault_share
        self.loss_share = loss_share
        self.version = 2
        self.fetch_seconds = 0.002
        self.made = 0
        self.delivered = 0
        self.repeated = 0
        self.troubles = collections.Counter()
        self.kept = collections.defaultdict(dict)
        self.indices = {}
        self.store = FaultyStore(self)
        self.processes = {}
        for name in 'abc':
            self.processes[name] = Process(self, name)

    async def heal(self):
        self.fault_share = self.loss_share = 0.0
        self.store.down = False
        for process in self.processes.values():
            process.gate.resume()

    def check(self, step_id, sample):
        """Check what any process hands over to anyone."""
        number = (step_id, sample.sequence)
        known = self.indices.setdefault(number, sample.index)
        assert known == sample.index, 'a number means one sample for ever'
        assert sample.text == f'{step_id} {sample.index}'
        assert sample.oldest_version >= self.version - 1, 'it is fresh'


class Trainer:
    """Draws one step from whichever process answers."""

    def __init__(self, world, step, samples):
        self.world = world
        self.spec = steps.StepSpec(
            't', step, STEP_PATH, [steps.Group('p', 8)] * (samples // 8)
        )
        self.cursor = 0
        self.received = collections.Counter()
        self.done = False

    @property
    def step_id(self):
        return self.spec.step_id

    async def submit(self, process):
        """Submit until some process has the step."""
        while True:
            try:
                await process.registry.submit(self.spec)
                return
            except errors.StepElsewhere:
                return
            except errors.NotRun:
                await anyio.sleep(0.2)

    async def draw(self, process, lose_answer=False):
        """SamplePage once; an answer may be lost on its way."""
        try:
            with anyio.move_on_after(3.5) as scope:
                drawn = await process.draw(self.step_id, self.cursor)
        except (errors.StepElsewhere, errors.NotRun):
            return
        except errors.StepEnded:
            self.done = True
            return
        if scope.cancelled_caught:
            return
        for sample in drawn.samples:
            self.world.check(self.step_id, sample)
        if lose_answer:
            self.world.repeated += 1
            return
        for sample in drawn.samples:
            if sample.sequence > self.cursor:
                assert sample.sequence == self.cursor + 1
                self.cursor = sample.sequence
                self.received[sample.index] += 1
        self.done = self.done or drawn.done

    def check_whole(self):
        assert self.done
        assert sorted(self.received) == list(range(self.spec.count_samples()))
        assert set(self.received.values()) == {1}
