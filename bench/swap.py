"""Measures what each policy at a swap costs, and how stale its samples are.

One fleet of stand-ins in this process; new weights every two seconds while
samples of very different lengths are made. For each policy, in one run: the
samples made, how many versions the oldest token of a sample was behind when
it was handed over, and the tokens that were made and thrown away.
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

ENGINES = 4
IN_FLIGHT = 32
PUBLISH_SECONDS = 2.0
RUN_SECONDS = 14.0
TOKENS = (200, 400, 800, 1600)


class Tally:
    """What one policy did."""

    def __init__(self):
        self.staleness = []
        self.tokens = 0
        self.useful_tokens = 0


async def make_samples(fleet, policy, tally, rng):
    """Make samples until cancelled, as a step's producer does."""
    rollout = next(iter(fleet.rollouts.values()))
    generator = requests.CompletionGenerator(
        routing.Router(rollout.directory, 'dc-1', rng),
        backends.EngineClient(rollout.backend_clients),
        rollout.version_tracker,
        requests.RetryBudget(),
        requests.SuspectTracker(rollout.table, rollout.name),
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
            max_tokens=rng.choice(TOKENS),
            deadline=anyio.current_time() + 60,
            is_whole=True,
        )
        chunks = []
        try:
            async for chunk in generator.generate(call):
                chunks.append(chunk)
            generator.check_freshness(call, chunks)
        except errors.RequestError:
            tally.tokens += sum(c.tokens for c in chunks)
            continue
        oldest = min(c.weight_version for c in chunks if c.tokens)
        tally.staleness.append(
            rollout.version_tracker.find_newest('fit') - oldest
        )
        tally.tokens += sum(c.tokens for c in chunks)
        tally.useful_tokens += sum(c.tokens for c in chunks)


async def publish_often(fleet):
    """Publish until cancelled."""
    publisher = weights.Publisher(fleet.create_store_client())
    while True:
        await anyio.sleep(PUBLISH_SECONDS)
        await publisher.publish('fit')


async def measure():
    """Print one line for each policy."""
    plan = _fleet.FleetOptions(vms=1, engines=ENGINES, services=0, scorers=0)
    head = ('samples', 'stale mean', 'max', 'tokens/s', 'wasted %')
    print(f'{"policy":<12}' + ''.join(f'{h:>12}' for h in head))
    async with _fleet.Fleet(plan).run() as fleet:
        await fleet.configure()
        await weights.Publisher(fleet.create_store_client()).publish('fit')
        await fleet.wait_ready()
        for policy in weights.SWAP_POLICIES:
            tally, rng = Tally(), random.Random(5)
            began = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(publish_often, fleet)
                for _ in range(IN_FLIGHT):
                    tasks.start_soon(make_samples, fleet, policy, tally, rng)
                await anyio.sleep(RUN_SECONDS)
                tasks.cancel_scope.cancel()
            seconds = time.monotonic() - began
            wasted = 1 - tally.useful_tokens / max(tally.tokens, 1)
            print(
                f'{policy:<12}{len(tally.staleness):>12}'
                f'{statistics.fmean(tally.staleness or [0]):>12.2f}'
                f'{max(tally.staleness or [0]):>12}'
                f'{tally.useful_tokens / seconds:>12.0f}'
                f'{100 * wasted:>12.1f}'
            )


if __name__ == '__main__':
    anyio.run(measure)
