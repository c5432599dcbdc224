"""A deployment of rollout processes, with faults on every connection.

Steps, ledgers, registries and the look-up of owners are the production code.
The platform, the spools and the engines are in-memory fakes. A paused process
blocks before and after each of its calls.
"""

import collections

import anyio

from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import steps
from tests import conftest

STEP_PATH = 'demo/advice'


class PauseGate:
    """Blocks the calls of a paused process."""

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

    async def wait_until_open(self):
        await self.opened.wait()


class FaultyStore(conftest.MemoryStore):
    """A platform with outages, lost responses and stale reads."""

    def __init__(self, deployment):
        super().__init__()
        self.deployment = deployment
        self.down = False
        self.calls = collections.Counter()
        self.previous_objects = {}

    def _start_call(self):
        deployment = self.deployment
        if self.down:
            raise errors.PlatformUnavailable('outage', step='test')
        sampled = deployment.rng.random()
        if sampled < deployment.fault_probability / 2:
            raise errors.PlatformUnavailable('refused', step='test')
        return 'lose' if sampled < deployment.fault_probability else 'ok'

    def _put(self, key, value):
        if key in self.objects:
            self.previous_objects[key] = self.objects[key]
        super()._put(key, value)


class PausableStore:
    """The platform as accessed by one process, with latency."""

    def __init__(self, store, gate):
        self._store = store
        self._gate = gate

    def __getattr__(self, name):
        async def call(*args):
            await self._gate.wait_until_open()
            deployment = self._store.deployment
            self._store.calls[name] += 1
            await anyio.sleep(deployment.rng.uniform(0.001, 0.05))
            try:
                if name == 'read' and args[0] in self._store.previous_objects:
                    if deployment.rng.random() < deployment.fault_probability:
                        return self._store.previous_objects[args[0]]
                return await getattr(self._store, name)(*args)
            finally:
                await self._gate.wait_until_open()

        return call


class LossyPayloadStore(steps.PayloadStore):
    """Spools that lose payloads at random."""

    def __init__(self, deployment, gate):
        self._deployment = deployment
        self._gate = gate

    async def save(self, step_id, samples):
        await self._gate.wait_until_open()
        await anyio.sleep(0.002)
        for sample in samples:
            if (
                self._deployment.rng.random()
                >= self._deployment.loss_probability
            ):
                self._deployment.payloads[step_id][sample.index] = sample
        await self._gate.wait_until_open()

    async def fetch(self, step_id):
        await self._gate.wait_until_open()
        await anyio.sleep(self._deployment.fetch_latency_seconds)
        return dict(self._deployment.payloads[step_id])

    async def drop(self, step_id):
        self._deployment.payloads.pop(step_id, None)


class FakeProducer:
    """Engines with random latency that use the newest weights."""

    def __init__(self, deployment, gate):
        self._deployment = deployment
        self._gate = gate
        self._queue = steps.FairQueue(64)
        self._length_estimator = steps.LengthEstimator()

    def resolve_settings(self, spec):
        return None

    def make_schedule(self, spec):
        return steps.LongestFirst(self._length_estimator)

    def is_fresh(self, spec, sample):
        return sample.oldest_version >= self._deployment.version - 1

    async def acquire_slot(self, spec, remaining_seconds):
        await self._queue.acquire(spec.step_id, 1.0)
        return steps.Slot(self._queue)

    def remove_step(self, spec):
        self._queue.remove(spec.step_id)

    async def produce(self, spec, task, slot, *, urgent):
        deployment = self._deployment
        with slot:
            version = deployment.version
            await anyio.sleep(deployment.rng.lognormvariate(-2.0, 1.0))
            await self._gate.wait_until_open()
        deployment.generated += 1
        text = f'{spec.step_id} {task.index}'
        segments = [requests.Segment(version, 0, len(text))]
        return steps.Sample(task.index, task.group_index, text, segments)


class SimulatedStepApp(steps.StepApp):
    def __init__(self, registry, deployment):
        super().__init__(registry, None, None)
        self._deployment = deployment

    async def _probe_owner(self, owner):
        if owner == self._registry.owner:
            return ''
        process = self._deployment.processes[owner]
        if process.gate.paused or not process.running:
            return ''
        return owner


class Process:
    """A rollout process that can be paused and restarted."""

    def __init__(self, deployment, name):
        self.deployment = deployment
        self.name = name
        self.running = False
        self.start()

    def start(self):
        self.gate = PauseGate()
        self.registry = steps.StepRegistry(
            PausableStore(self.deployment.store, self.gate),
            self.name,
            FakeProducer(self.deployment, self.gate),
            LossyPayloadStore(self.deployment, self.gate),
            anyio.current_time,
        )
        self.app = SimulatedStepApp(self.registry, self.deployment)
        self.scope = anyio.CancelScope()
        self.running = True
        self.deployment.tasks.start_soon(self._run, self.registry, self.scope)

    async def _run(self, registry, scope):
        with scope:
            await registry.run()

    async def pause(self):
        self.gate.pause()

    async def resume(self):
        self.gate.resume()

    async def restart(self):
        """Stop at once and start again with empty memory."""
        self.scope.cancel()
        self.running = False
        await anyio.sleep(0.001)
        self.start()

    async def fetch(self, step_id, cursor, wait_seconds=0.5):
        await self.gate.wait_until_open()
        if not self.running:
            raise errors.NotRun('process is not running', step='test')
        running = await self.app._find_step(step_id, cursor)
        page = await running.fetch_samples(cursor, wait_seconds)
        await self.gate.wait_until_open()
        return page


class StepDeployment:
    """Rollout processes and fakes, with checks of delivered samples."""

    def __init__(
        self, rng, tasks, fault_probability=0.0, loss_probability=0.0
    ):
        self.rng = rng
        self.tasks = tasks
        self.fault_probability = fault_probability
        self.loss_probability = loss_probability
        self.version = 2
        self.fetch_latency_seconds = 0.002
        self.generated = 0
        self.delivered = 0
        self.lost_responses = 0
        self.injected_faults = collections.Counter()
        self.payloads = collections.defaultdict(dict)
        self.index_by_sequence = {}
        self.store = FaultyStore(self)
        self.processes = {}
        for name in 'abc':
            self.processes[name] = Process(self, name)

    async def clear_faults(self):
        self.fault_probability = self.loss_probability = 0.0
        self.store.down = False
        for process in self.processes.values():
            process.gate.resume()

    def check(self, step_id, sample):
        """Check a sample that any process delivered to any trainer."""
        key = (step_id, sample.sequence)
        known_index = self.index_by_sequence.setdefault(key, sample.index)
        assert known_index == sample.index, (
            'a sequence number refers to one sample permanently'
        )
        assert sample.text == f'{step_id} {sample.index}'
        assert sample.oldest_version >= self.version - 1, (
            'a delivered sample is fresh'
        )


class Trainer:
    """Fetches one step from any process that responds."""

    def __init__(self, deployment, step, samples):
        self.deployment = deployment
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
        """Retry the submission until the step is open."""
        while True:
            try:
                await process.registry.submit(self.spec)
                return
            except errors.StepElsewhere:
                return
            except errors.NotRun:
                await anyio.sleep(0.2)

    async def fetch(self, process, lose_response=False):
        """Fetch one page; `lose_response` discards it before it arrives."""
        try:
            with anyio.move_on_after(3.5) as scope:
                page = await process.fetch(self.step_id, self.cursor)
        except (errors.StepElsewhere, errors.NotRun):
            return
        except errors.StepEnded:
            self.done = True
            return
        if scope.cancelled_caught:
            return
        for sample in page.samples:
            self.deployment.check(self.step_id, sample)
        if lose_response:
            self.deployment.lost_responses += 1
            return
        for sample in page.samples:
            if sample.sequence > self.cursor:
                assert sample.sequence == self.cursor + 1
                self.cursor = sample.sequence
                self.received[sample.index] += 1
        self.done = self.done or page.done

    def check_complete(self):
        assert self.done
        assert sorted(self.received) == list(range(self.spec.count_samples()))
        assert set(self.received.values()) == {1}
