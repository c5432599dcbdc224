"""Measures how the scheduling policies of steps affect trainers' idle time.

Three trainers run steps on five engines in virtual time. Steps, ledgers,
queues and schedules are the real ones; the engines are simulated with the
batch size and the tick duration of the engine stand-in. All policies get the
same prompts, lengths and weight versions.

    python bench/steps.py
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
MAX_BATCH = 32  # requests
TICK_SECONDS = 0.010
TICK_SECONDS_PER_REQUEST = 0.0004
TOKENS_PER_TICK = 4
MAX_TOKENS = 2048
TRAINERS = 3
STEPS_PER_TRAINER = 2
GROUPS_PER_STEP = 256
SAMPLES_PER_GROUP = 8
PROMPT_COUNT = 512
TRAIN_SECONDS = 2.0
PUBLISH_INTERVAL_SECONDS = 5.0
MAX_STALENESS_VERSIONS = 100
FULL_TICK_SECONDS = TICK_SECONDS + TICK_SECONDS_PER_REQUEST * MAX_BATCH
CAPACITY_TOKENS_PER_SECOND = (
    ENGINES * MAX_BATCH * TOKENS_PER_TICK / FULL_TICK_SECONDS
)
SINGLE_TOKENS_PER_SECOND = TOKENS_PER_TICK / (
    TICK_SECONDS + TICK_SECONDS_PER_REQUEST
)


class Policies(msgspec.Struct, frozen=True):
    """Policies of a run; the defaults are the baseline.

    Attributes
    ----------
    longest_first : bool
        Whether to start the samples with the longest expected length first.
    fair : bool
        Whether steps share the engines fairly, instead of first come, first
        served.
    least_loaded : bool
        Whether to select the engine with the lowest load, instead of
        round robin.
    """

    longest_first: bool = False
    fair: bool = False
    least_loaded: bool = False


class SimulatedEngine:
    """Continuous batching with a queue; ticks are slower in larger batches.

    Attributes
    ----------
    running, waiting : collection
        Requests in the batch and in the queue, each as a list of the number
        of tokens left, the event of its end, and the weight version.
    """

    def __init__(self, producer):
        self.producer = producer
        self.running = []
        self.waiting = collections.deque()
        self.wake = anyio.Event()

    @property
    def load(self):
        return len(self.running) + len(self.waiting)

    async def generate(self, tokens):
        request = [tokens, anyio.Event(), 0]
        self.waiting.append(request)
        self.wake.set()
        await request[1].wait()
        return request[2]

    async def run(self):
        while True:
            while self.waiting and len(self.running) < MAX_BATCH:
                request = self.waiting.popleft()
                request[2] = self.producer.version
                self.running.append(request)
            if not self.running:
                self.wake = anyio.Event()
                await self.wake.wait()
                continue
            await anyio.sleep(
                TICK_SECONDS + TICK_SECONDS_PER_REQUEST * len(self.running)
            )
            for request in self.running:
                request[0] -= TOKENS_PER_TICK
                if request[0] <= 0:
                    request[1].set()
            self.running = [
                request for request in self.running if request[0] > 0
            ]


class SimulatedProducer(steps.PayloadStore):
    """Replaces the producer and the payload store of a process."""

    def __init__(self, policies):
        self.policies = policies
        self.version = 1
        self.selections = 0
        self.engines = [SimulatedEngine(self) for _ in range(ENGINES)]
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
        return sample.oldest_version >= self.version - MAX_STALENESS_VERSIONS

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

    def select_engine(self):
        self.selections += 1
        if self.policies.least_loaded:
            return min(self.engines, key=lambda engine: engine.load)
        return self.engines[self.selections % ENGINES]

    async def produce(self, spec, task, slot, *, urgent):
        tokens = count_tokens(task.group.prompt, task.index)
        with slot:
            version = await self.select_engine().generate(tokens)
        return steps.Sample(
            task.index,
            task.group_index,
            '',
            [requests.Segment(version, 0, tokens)],
        )

    async def publish(self):
        while True:
            await anyio.sleep(PUBLISH_INTERVAL_SECONDS)
            self.version += 1


def count_tokens(prompt, index):
    """Return a sample length, heavy-tailed between and within prompts."""
    mean = random.Random(f'{SEED} {prompt}').lognormvariate(4.6, 0.9)
    factor = random.Random(f'{SEED} {prompt} {index}').lognormvariate(0, 0.4)
    return max(4, min(int(mean * factor), MAX_TOKENS))


def make_spec(trainer, number):
    """Return a step whose prompts recur in later steps."""
    rng = random.Random(f'{SEED} {trainer} {number}')
    groups = [
        steps.Group(
            f'p{rng.randrange(PROMPT_COUNT)}', SAMPLES_PER_GROUP, MAX_TOKENS
        )
        for _ in range(GROUPS_PER_STEP)
    ]
    return steps.StepSpec(f't{trainer}', f's{number}', 'demo/advice', groups)


def find_lower_bound(spec):
    """Return the minimum duration of a step without other load, in seconds."""
    lengths = [
        count_tokens(task.group.prompt, task.index)
        for task in spec.iter_tasks()
    ]
    return max(
        sum(lengths) / CAPACITY_TOKENS_PER_SECOND,
        max(lengths) / SINGLE_TOKENS_PER_SECOND,
    )


class StepTimes(msgspec.Struct):
    """Times of one step, in seconds.

    Attributes
    ----------
    total : float
        Duration of the step.
    last_percent : float
        Duration of the last 1 % of the samples.
    bound : float
        Minimum duration of the step without other load.
    ended : float
        Time of the end.
    work : float
        Duration at the full capacity of all engines.
    """

    total: float
    last_percent: float
    bound: float
    ended: float
    work: float


async def run_step(registry, producer, spec):
    """Run one step like a trainer and return its times."""
    started = anyio.current_time()
    running = await registry.submit(spec)
    bound = find_lower_bound(spec)
    cursor = 0
    last_percent_at = started
    while True:
        page = await running.fetch_samples(cursor, 30)
        for sample in page.samples:
            producer.staleness.append(producer.version - sample.oldest_version)
        cursor = page.cursor
        if cursor < 0.99 * page.total:
            last_percent_at = anyio.current_time()
        if page.done:
            break
    ended = anyio.current_time()
    work = sum(
        count_tokens(task.group.prompt, task.index)
        for task in spec.iter_tasks()
    )
    return StepTimes(
        ended - started,
        ended - last_percent_at,
        bound,
        ended,
        work / CAPACITY_TOKENS_PER_SECOND,
    )


async def train(registry, producer, trainer, times, count):
    """Run the steps of one trainer."""
    for number in range(count):
        spec = make_spec(trainer, number)
        times.append(await run_step(registry, producer, spec))
        await anyio.sleep(TRAIN_SECONDS)


async def run(policies, trainers):
    """Run all trainers with `policies`; return step times and staleness."""
    producer = SimulatedProducer(policies)
    registry = steps.StepRegistry(
        conftest.MemoryStore(), 'a', producer, producer, anyio.current_time
    )
    times = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registry.run)
        tasks.start_soon(producer.publish)
        for engine in producer.engines:
            tasks.start_soon(engine.run)
        await anyio.sleep(0)
        async with anyio.create_task_group() as group:
            for trainer in range(trainers):
                group.start_soon(
                    train,
                    registry,
                    producer,
                    trainer,
                    times,
                    STEPS_PER_TRAINER,
                )
        tasks.cancel_scope.cancel()
    return times, sorted(producer.staleness)


def format_row(name, times, staleness, baseline):
    """Return one line of the table."""
    idle = sum(t.total for t in times)
    ratio = idle / baseline if baseline else 1.0
    bound_ratio = statistics.mean(t.total / t.bound for t in times)
    last_share = statistics.mean(t.last_percent / t.total for t in times)
    utilization = sum(t.work for t in times) / max(t.ended for t in times)
    p99 = staleness[int(0.99 * (len(staleness) - 1))]
    return (
        f'{name:<22}idle {idle:7.1f} s ({ratio:.2f})  '
        f'over bound {bound_ratio:.2f}  engines busy {utilization:.2f}  '
        f'last 1% {last_share:.3f}  '
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
    """Print a table for three trainers, and one for a single trainer."""
    for trainers in (TRAINERS, 1):
        print(f'{trainers} trainer(s), {STEPS_PER_TRAINER} steps each')
        baseline = 0.0
        for name, policies in RUNS.items():
            times, staleness = anyio.run(
                run,
                policies,
                trainers,
                backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
            )
            print(format_row(name, times, staleness, baseline), flush=True)
            baseline = baseline or sum(t.total for t in times)


if __name__ == '__main__':
    main()
