"""Compares the routing policies, in virtual time, in one run with one seed.

The routers, limits, lines, retry budgets and generations are the product's;
the engines are queues in the same process (bench/routing_engines.py), and
there is no HTTP. Prints JSON, or writes it with a table and plots.

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

PROCESSES = 2
LOADS = (0.5, 0.8, 0.95, 1.2)
# The second value says whether each engine has a concurrency limit. The
# first version of the service had none, and took servers in turn.
POLICIES = (
    ('round-robin', False),
    ('round-robin', True),
    ('least-outstanding', True),
    ('two-choices', True),
    ('prefix', True),
)


def list_policies(seed: int) -> list[routing_load.Cell]:
    """Return every policy at every load, with and without faults."""
    return [
        routing_load.Cell(policy, load, fault, limits, seed=seed)
        for fault, load, (policy, limits) in itertools.product(
            ('none', 'slow', 'crash'), LOADS, POLICIES
        )
    ] + [
        routing_load.Cell('two-choices', 1.0, seed=seed),
        routing_load.Cell('round-robin', 1.0, limits=False, seed=seed),
    ]


def list_trainers(seed: int) -> list[routing_load.Cell]:
    """Return live load beside trainers that take all they can get."""
    return [
        routing_load.Cell(
            'two-choices', load, samples=samples, ceiling=ceiling, seed=seed
        )
        for load, (samples, ceiling) in itertools.product(
            (0.3, 0.5, 0.8), ((0, None), (8, None), (8, 1.25))
        )
    ]


def list_prefixes(seed: int) -> list[routing_load.Cell]:
    """Return prompts that begin alike, and cost more where not cached."""
    return [
        routing_load.Cell(policy, load, prefill_seconds=0.1, seed=seed)
        for load, policy in itertools.product(
            (0.3, 0.5), ('two-choices', 'prefix')
        )
    ]


PARTS: dict[str, collections.abc.Callable[[int], list[routing_load.Cell]]] = {
    'policies': list_policies,
    'trainers': list_trainers,
    'prefixes': list_prefixes,
}


def main() -> None:
    """Run one part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', choices=PARTS, default='policies')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--folder', type=pathlib.Path)
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    cells = PARTS[options.part](options.seed)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
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
        routing_report.draw(outcomes, stem.with_suffix('.png'))


if __name__ == '__main__':
    main()
