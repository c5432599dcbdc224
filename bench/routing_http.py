"""Compares routing policies over HTTP while one engine is slow.

Runs a complete fleet of stand-ins and daemons in one process, over loopback.
Requests arrive as a Poisson process with a fixed mean rate. The rounds of the
policies alternate within one run, so that other load on the machine affects
all of them alike.

    python -m bench.routing_http
"""

import logging
import random

import anyio
import anyio.abc
import msgspec

from bench import routing_load
from swiftjunction import client
from swiftjunction import configuration
from swiftjunction import demo
from swiftjunction import errors
from swiftjunction import weights

POLICIES = ('round-robin', 'least-outstanding', 'two-choices')
ROUNDS = 2  # of each policy
ROUND_SECONDS = 5.0
REQUESTS_PER_SECOND = 20.0
SLOW_FACTOR = 10
MAX_TOKENS = 32
CALLERS = 8


class PolicyResult(msgspec.Struct):
    """Latencies, in seconds, and failures that callers of a policy saw."""

    policy: str
    latencies: list[float] = []
    failed: int = 0


class _PolicyComparison:
    def __init__(self, fleet: demo.Fleet) -> None:
        self._fleet = fleet
        self._rng = random.Random('http')
        self.results = {
            policy: PolicyResult(policy, []) for policy in POLICIES
        }

    async def run(self) -> None:
        await weights.Publisher(self._fleet.create_store_client()).publish(
            'fit'
        )
        await self._fleet.configure(self._list_paths())
        await self._fleet.wait_ready()
        self._fleet.engines['engine-0'].faults.set('slow_factor', SLOW_FACTOR)
        callers = [
            client.CallerClient(self._fleet.list_entry_addresses())
            for _ in range(CALLERS)
        ]
        for _ in range(ROUNDS):
            for policy in POLICIES:
                await self._run_round(callers, policy)
        for caller in callers:
            await caller.__aexit__(None, None, None)

    def _list_paths(self) -> dict[str, configuration.PathSettings]:
        return self._fleet.build_default_paths() | {
            f'demo/{policy}': configuration.PathSettings(
                model='fit', policy=policy
            )
            for policy in POLICIES
        }

    async def _run_round(
        self, callers: list[client.CallerClient], policy: str
    ) -> None:
        end_at = anyio.current_time() + ROUND_SECONDS
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < end_at:
                tasks.start_soon(
                    self._send_request,
                    self._rng.choice(callers),
                    self.results[policy],
                )
                await anyio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))

    async def _send_request(
        self, caller: client.CallerClient, result: PolicyResult
    ) -> None:
        started_at = anyio.current_time()
        prompt = f'which size fits, order {self._rng.randrange(10**9)}?'
        try:
            await caller.complete(
                f'demo/{result.policy}', prompt, max_tokens=MAX_TOKENS
            )
        except errors.RequestError:
            result.failed += 1
        result.latencies.append(anyio.current_time() - started_at)


async def measure() -> list[PolicyResult]:
    """Run all policies and return the results of each."""
    options = demo.FleetOptions(services=1, scorers=0)
    async with demo.Fleet(options).run() as fleet:
        comparison = _PolicyComparison(fleet)
        await comparison.run()
        return list(comparison.results.values())


def main() -> None:
    """Print the results as a Markdown table."""
    logging.disable(logging.WARNING)
    print('| policy | requests | failed | p50_ms | p90_ms | p99_ms |')
    print(f'|{" --- |" * 6}')
    for row in anyio.run(measure):
        row.latencies.sort()
        values = ' | '.join(
            f'{1000 * routing_load.find_quantile(row.latencies, quantile):.0f}'
            for quantile in (0.5, 0.9, 0.99)
        )
        print(
            f'| {row.policy} | {len(row.latencies)} | {row.failed} '
            f'| {values} |'
        )


if __name__ == '__main__':
    main()
