"""Measures what each policy for steps does to trainers' idle time.

Run it with ``python bench/steps.py``. Three trainers run steps on five
engines in virtual time: the steps, ledgers, queues and schedules are the real
ones, and the engines are a model with the batch and the tick of the stand-in.
All policies see the same prompts, lengths and versions.
"""

import collections
import random
import statistics

import anyio
import msgspec

from swiftjunction import requests
from swiftjunction import steps
from tests import conftest
from tests import virtualtime

SEED = 1
ENGINES = 5
MAX_BATCH = 32
TICK_SECONDS = 0.010
TICK_SECONDS_PER_REQUEST = 0.0004
TOKENS_PER_TICK = 4
MAX_TOKENS = 2048
TRAINERS = 3
STEPS = 2
GROUPS = 256
GROUP_SAMPLES = 8
PROMPTS = 512
TRAIN_SECONDS = 2.0
PUBLISH_SECONDS = 5.0
BOUND_VERSIONS = 100
FULL_TICK_SECONDS = TICK_SECONDS + TICK_SECONDS_PER_REQUEST * MAX_BATCH
CAPACITY = ENGINES * MAX_BATCH * TOKENS_PER_TICK / FULL_TICK_SECONDS
ALONE = TOKENS_PER_TICK / (TICK_SECONDS + TICK_SECONDS_PER_REQUEST)


class Policies(msgspec.Struct, frozen=True):
    """Which policies a run has; the defaults are the baseline."""

    longest_first: bool = False
    fair: bool = False
    least_loaded: bool = False


class Engine:
    """One engine: a batch whose ticks grow with it, and a queue."""

    def __init__(self, model):
        self.model = model
        self.running = []
        self.waiting = collections.deque()
        self.wake = anyio.Event()

    @property
    def load(self):
        return len(self.running) + len(self.waiting)

    async def generate(self, tokens):
        job = [tokens, anyio.Event(), 0]
        self.waiting.append(job)
        self.wake.set()
        await job[1].wait()
        return job[2]

    async def run(self):
        while True:
            while self.waiting and len(self.running) < MAX_BATCH:
                job = self.waiting.popleft()
                job[2] = self.model.version
                self.running.append(job)
            if not self.running:
                self.wake = anyio.Event()
                await self.wake.wait()
                continue
            await anyio.sleep(
                TICK_SECONDS + TICK_SECONDS_PER_REQUEST * len(self.running)
            )
            for job in self.running:
                job[0] -= TOKENS_PER_TICK
                if job[0] <= 0:
                    job[1].set()
            self.running = [job for job in self.running if job[0] > 0]


class Model(steps.PayloadStore):
    """Stands in for the producer and the spools."""

    def __init__(self, policies):
        self.policies = policies
        self.version = 1
        self.turn = 0
        self.engines = [Engine(self) for _ in range(ENGINES)]
        self.queue = steps.FairQueue(ENGINES * MAX_BATCH)
        self.length_estimator = steps.LengthEstimator()
        self.staleness = []

    async def save(self, step_id, samples):
        await anyio.sleep(0.002)

    async def fetch(self, step_id):
        return {}

    async def drop(self, step_id):
        return

    def resolve_settings(self, spec):
        return None

    def is_fresh(self, spec, sample):
        return sample.oldest_version >= self.version - BOUND_VERSIONS

    def make_schedule(self, spec):
        if self.policies.longest_first:
            return steps.LongestFirst(self.length_estimator)
        return steps.FirstInFirstOut()

    async def acquire_slot(self, spec, remaining_seconds):
        flow = spec.step_id if self.policies.fair else 'all'
        await self.queue.acquire(flow, 1.0)
        return steps.Slot(self.queue)

    def remove_step(self, spec):
        if self.policies.fair:
            self.queue.remove(spec.step_id)

    def choose(self):
        self.turn += 1
        if self.policies.least_loaded:
            return min(self.engines, key=lambda engine: engine.load)
        return self.engines[self.turn % ENGINES]

    async def produce(self, spec, task, slot, *, urgent):
        tokens = count_tokens(task.group.prompt, task.index)
        with slot:
            version = await self.choose().generate(tokens)
        return steps.Sample(
            task.index,
            task.group_index,
            '',
            [requests.Segment(version, 0, tokens)],
        )

    async def publish(self):
        while True:
            await anyio.sleep(PUBLISH_SECONDS)
            self.version += 1


def count_tokens(prompt, index):
    """Return a length that is heavy-tailed between and within prompts."""
    mean = random.Random(f'{SEED} {prompt}').lognormvariate(4.6, 0.9)
    own = random.Random(f'{SEED} {prompt} {index}').lognormvariate(0, 0.4)
    return max(4, min(int(mean * own), MAX_TOKENS))


def make_spec(trainer, number):
    """Return a step over prompts that come again in later steps."""
    rng = random.Random(f'{SEED} {trainer} {number}')
    groups = [
        steps.Group(f'p{rng.randrange(PROMPTS)}', GROUP_SAMPLES, MAX_TOKENS)
        for _ in range(GROUPS)
    ]
    return steps.StepSpec(f't{trainer}', f's{number}', 'demo/advice', groups)


def find_lower_bound(spec):
    """Return the seconds that a step takes at least, if it is alone."""
    lengths = [
        count_tokens(task.group.prompt, task.index)
        for task in spec.iter_tasks()
    ]
    return max(sum(lengths) / CAPACITY, max(lengths) / ALONE)


class Times(msgspec.Struct):
    """What was measured of one step."""

    total: float
    last_percent: float
    bound: float
    ended: float
    work: float


async def run_step(registry, model, spec):
    """Run one step as its trainer and return its times."""
    started = anyio.current_time()
    running = await registry.submit(spec)
    bound = find_lower_bound(spec)
    cursor = 0
    most = started
    while True:
        page = await running.fetch_samples(cursor, 30)
        for sample in page.samples:
            model.staleness.append(model.version - sample.oldest_version)
        cursor = page.cursor
        if cursor < 0.99 * page.total:
            most = anyio.current_time()
        if page.done:
            break
    ended = anyio.current_time()
    work = sum(
        count_tokens(task.group.prompt, task.index)
        for task in spec.iter_tasks()
    )
    return Times(ended - started, ended - most, bound, ended, work / CAPACITY)


async def train(registry, model, trainer, times, count):
    """Run the steps of one trainer."""
    for number in range(count):
        spec = make_spec(trainer, number)
        times.append(await run_step(registry, model, spec))
        await anyio.sleep(TRAIN_SECONDS)


async def run(policies, trainers):
    """Run all trainers under `policies`; return times and staleness."""
    model = Model(policies)
    registry = steps.StepRegistry(
        conftest.MemoryStore(), 'a', model, model, anyio.current_time
    )
    times = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registry.run)
        tasks.start_soon(model.publish)
        for engine in model.engines:
            tasks.start_soon(engine.run)
        await anyio.sleep(0)
        async with anyio.create_task_group() as group:
            for trainer in range(trainers):
                group.start_soon(train, registry, model, trainer, times, STEPS)
        tasks.cancel_scope.cancel()
    return times, sorted(model.staleness)


def describe(name, times, staleness, baseline):
    """Return one line of the table."""
    idle = sum(t.total for t in times)
    ratio = idle / baseline if baseline else 1.0
    over = statistics.mean(t.total / t.bound for t in times)
    last = statistics.mean(t.last_percent / t.total for t in times)
    busy = sum(t.work for t in times) / max(t.ended for t in times)
    p99 = staleness[int(0.99 * (len(staleness) - 1))]
    return (
        f'{name:<22}idle {idle:7.1f} s ({ratio:.2f})  '
        f'over bound {over:.2f}  engines busy {busy:.2f}  last 1% {last:.3f}  '
        f'staleness mean {statistics.mean(staleness):.2f} '
        f'p99 {p99} max {staleness[-1]}'
    )


RUNS = {
    'baseline': Policies(),
    'longest first': Policies(longest_first=True),
    'fair queue': Policies(fair=True),
    'least loaded': Policies(least_loaded=True),
    'all': Policies(longest_first=True, fair=True, least_loaded=True),
}


def main():
    """Print the table for three trainers, and for one alone."""
    for trainers in (TRAINERS, 1):
        print(f'{trainers} trainer(s), {STEPS} steps each')
        baseline = 0.0
        for name, policies in RUNS.items():
            times, staleness = anyio.run(
                run,
                policies,
                trainers,
                backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
            )
            print(describe(name, times, staleness, baseline), flush=True)
            baseline = baseline or sum(t.total for t in times)


if __name__ == '__main__':
    main()
