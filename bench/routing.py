"""Compares the routing policies in virtual time, with the same seed.

Routers, concurrency limits, wait queues, retry budgets and generators are the
real ones. The engines are simulated as queues (bench/routing_engines.py), and
there is no HTTP. Prints the results as JSON and as a table, or writes them
to a folder, with a plot for the policies.

    python -m bench.routing --part policies --folder docs/design
"""

import argparse
import collections.abc
import concurrent.futures
import itertools
import logging
import pathlib

import msgspec

from bench import routing_load
from bench import routing_report

WORKER_PROCESSES = 2
LOADS = (0.5, 0.8, 0.95, 1.2)
# Each policy, and whether each engine has a concurrency limit. Round robin
# without limits is what the first version of the service did.
POLICIES = (
    ('round-robin', False),
    ('round-robin', True),
    ('least-outstanding', True),
    ('two-choices', True),
    ('prefix', True),
)


def make_policy_cells(seed: int) -> list[routing_load.Cell]:
    """Return the cells of each policy, load and fault."""
    return [
        routing_load.Cell(policy, load, fault, limits, seed=seed)
        for fault, load, (policy, limits) in itertools.product(
            ('none', 'slow', 'crash'), LOADS, POLICIES
        )
    ] + [
        routing_load.Cell('two-choices', 1.0, seed=seed),
        routing_load.Cell('round-robin', 1.0, limits=False, seed=seed),
    ]


def make_trainer_cells(seed: int) -> list[routing_load.Cell]:
    """Return cells in which trainers compete with callers for engines."""
    return [
        routing_load.Cell(
            'two-choices', load, samples=samples, ceiling=ceiling, seed=seed
        )
        for load, (samples, ceiling) in itertools.product(
            (0.3, 0.5, 0.8), ((0, None), (8, None), (8, 1.25))
        )
    ]


def make_prefix_cells(seed: int) -> list[routing_load.Cell]:
    """Return cells in which prompts share prefixes that engines cache."""
    return [
        routing_load.Cell(policy, load, prefill_seconds=0.1, seed=seed)
        for load, policy in itertools.product(
            (0.3, 0.5), ('two-choices', 'prefix')
        )
    ]


PARTS: dict[str, collections.abc.Callable[[int], list[routing_load.Cell]]] = {
    'policies': make_policy_cells,
    'trainers': make_trainer_cells,
    'prefixes': make_prefix_cells,
}


def main() -> None:
    """Run one part of the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', choices=PARTS, default='policies')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--folder', type=pathlib.Path)
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    cells = PARTS[options.part](options.seed)
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        outcomes = list(pool.map(routing_load.run_cell, cells))
    table = routing_report.format_table(outcomes)
    if options.folder is None:
        print(msgspec.json.encode(outcomes).decode())
        print(table)
        return
    stem = options.folder / f'routing-{options.part}'
    stem.with_suffix('.json').write_bytes(
        msgspec.json.format(msgspec.json.encode(outcomes), indent=1)
    )
    stem.with_suffix('.md').write_text(table)
    if options.part == 'policies':
        routing_report.plot(outcomes, stem.with_suffix('.png'))


if __name__ == '__main__':
    main()
