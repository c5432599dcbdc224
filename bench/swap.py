"""Compares the policies for requests that are running at a weight swap.

Runs a fleet of stand-ins in this process and publishes new weights every two
seconds while samples of very different lengths are generated. For each policy
in turn, prints the number of samples, how many versions the oldest token of a
sample was behind on delivery, and the share of generated tokens that were
discarded.
"""

import random
import statistics
import time

import anyio

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.demo import _fleet
from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import routing
from swiftjunction import weights

ENGINE_COUNT = 4
CONCURRENT_SAMPLES = 32
PUBLISH_INTERVAL_SECONDS = 2.0
RUN_SECONDS = 14.0
MAX_TOKENS_CHOICES = (200, 400, 800, 1600)


class PolicyStats:
    """Statistics of one policy.

    Attributes
    ----------
    staleness : list of int
        Versions behind the newest of each sample on delivery.
    tokens : int
        Generated tokens.
    useful_tokens : int
        Tokens of delivered samples.
    """

    def __init__(self):
        self.staleness = []
        self.tokens = 0
        self.useful_tokens = 0


async def generate_samples(fleet, policy, stats, rng):
    """Generate samples until cancelled, as the producer of a step does."""
    rollout = next(iter(fleet.rollouts.values()))
    generator = requests.CompletionGenerator(
        routing.Router(rollout.directory, 'dc-1', rng),
        backends.EngineClient(rollout.backend_clients),
        rollout.version_tracker,
        requests.RetryBudget(),
        requests.SuspectTracker(
            requests.RecordCrashRegistry(rollout.table), rollout.name
        ),
    )
    settings = configuration.PathSettings(
        model='fit',
        freshness_versions=2,
        timeout_seconds=60.0,
        policy='two-choices',
        swap=policy,
    )
    while True:
        call = requests.GenerationCall(
            request_id=f'{rng.getrandbits(64):x}',
            path='demo/advice',
            settings=settings,
            prompt=_fleet.generate_prompt(rng, policy),
            max_tokens=rng.choice(MAX_TOKENS_CHOICES),
            deadline=anyio.current_time() + 60,
            is_whole=True,
        )
        chunks = []
        try:
            async for chunk in generator.generate(call):
                chunks.append(chunk)
            generator.check_freshness(call, chunks)
        except errors.RequestError:
            stats.tokens += sum(c.tokens for c in chunks)
            continue
        oldest_version = min(c.weight_version for c in chunks if c.tokens)
        stats.staleness.append(
            rollout.version_tracker.find_newest('fit') - oldest_version
        )
        stats.tokens += sum(c.tokens for c in chunks)
        stats.useful_tokens += sum(c.tokens for c in chunks)


async def publish_periodically(fleet):
    """Publish weight versions until cancelled."""
    publisher = weights.Publisher(fleet.create_store_client())
    while True:
        await anyio.sleep(PUBLISH_INTERVAL_SECONDS)
        await publisher.publish('fit')


async def measure_policies():
    """Measure each policy and print its line of the table."""
    options = _fleet.FleetOptions(
        vms=1, engines=ENGINE_COUNT, services=0, scorers=0
    )
    columns = ('samples', 'stale mean', 'max', 'tokens/s', 'wasted %')
    print(f'{"policy":<12}' + ''.join(f'{column:>12}' for column in columns))
    async with _fleet.Fleet(options).run() as fleet:
        await fleet.configure()
        await weights.Publisher(fleet.create_store_client()).publish('fit')
        await fleet.wait_ready()
        for policy in weights.SWAP_POLICIES:
            stats, rng = PolicyStats(), random.Random(5)
            started_at = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(publish_periodically, fleet)
                for _ in range(CONCURRENT_SAMPLES):
                    tasks.start_soon(
                        generate_samples, fleet, policy, stats, rng
                    )
                await anyio.sleep(RUN_SECONDS)
                tasks.cancel_scope.cancel()
            seconds = time.monotonic() - started_at
            wasted_share = 1 - stats.useful_tokens / max(stats.tokens, 1)
            print(
                f'{policy:<12}{len(stats.staleness):>12}'
                f'{statistics.fmean(stats.staleness or [0]):>12.2f}'
                f'{max(stats.staleness or [0]):>12}'
                f'{stats.useful_tokens / seconds:>12.0f}'
                f'{100 * wasted_share:>12.1f}'
            )


if __name__ == '__main__':
    anyio.run(measure_policies)
