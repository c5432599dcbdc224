"""Computes costs and their slopes from the reports of bench/slopes.py."""

import json
import pathlib
import typing

import numpy

TARGET_DAEMONS = 380
COSTS = (
    'cpu_percent',
    'sent_bytes_per_second',
    'received_bytes_per_second',
    'messages_per_second',
    'kilobytes',
)

Report = dict[str, typing.Any]


def summarize_cost(before: list[Report], after: list[Report]) -> Report:
    """Return the cost per daemon between two sets of reports.

    Parameters
    ----------
    before, after : list of dict
        Reports of all workers, in the same order.
    """
    nodes = sum(report['nodes'] for report in after)
    seconds = after[0]['time'] - before[0]['time']

    def compute_rate(name: str) -> float:
        total = sum(
            later['totals'].get(name, 0) - earlier['totals'].get(name, 0)
            for earlier, later in zip(before, after, strict=True)
        )
        return total / seconds

    cpu = sum(
        later['cpu_seconds'] - earlier['cpu_seconds']
        for earlier, later in zip(before, after, strict=True)
    )
    memory = sum(f['resident_bytes'] - f['base_bytes'] for f in after)
    return {
        'seconds': round(seconds, 1),
        'cpu_percent': round(100 * cpu / seconds / nodes, 4),
        'sent_bytes_per_second': round(compute_rate('sent_bytes') / nodes, 1),
        'received_bytes_per_second': round(
            compute_rate('received_bytes') / nodes, 1
        ),
        'messages_per_second': round(
            (compute_rate('sent_messages') + compute_rate('received_messages'))
            / nodes,
            2,
        ),
        'kilobytes': round(memory / nodes / 1000, 1),
        'base_megabytes': round(after[0]['base_bytes'] / 1e6, 1),
        'dropped_per_second': round(compute_rate('dropped_messages'), 2),
        'fleet_watches_per_second': round(compute_rate('calls_watch'), 3),
        'fleet_reads_per_second': round(
            compute_rate('calls_objects') + compute_rate('calls_vms'), 3
        ),
        'records': max(max(f['records']) for f in after),
        'suspicions': sum(f['suspicions'] for f in after),
        'false_dead': sum(len(f['dead']) for f in after),
    }


def summarize_propagation(
    accepted: dict[int, float], reports: list[Report], name: str
) -> Report:
    """Return how long changes took from acceptance until they were applied.

    Parameters
    ----------
    accepted : dict
        Time of acceptance of each version of the configuration.
    reports : list of dict
        Reports of all workers.
    name : str
        Prefix of the fields of the result.
    """
    nodes = sum(report['nodes'] for report in reports)
    delays = [
        max(0.0, at - accepted[version])
        for report in reports
        for version, at in report['arrivals']
        if version in accepted
    ]
    if not delays:
        return {f'{name}_p99_seconds': None}
    # A daemon may skip a version if a later one of the same team arrives
    # first; skipped versions are not counted.
    return {
        f'{name}_changes': len(accepted),
        f'{name}_seen': round(len(delays) / len(accepted) / nodes, 4),
        f'{name}_p50_seconds': round(float(numpy.quantile(delays, 0.5)), 3),
        f'{name}_p99_seconds': round(float(numpy.quantile(delays, 0.99)), 3),
        f'{name}_max_seconds': round(max(delays), 3),
    }


def summarize_death(
    reports: list[Report], vm: str, killed_at: float
) -> Report:
    """Return how long daemons took to learn that `vm` was killed."""
    nodes = sum(report['nodes'] for report in reports)
    delays = [
        at - killed_at
        for report in reports
        for name, at in report['dead']
        if name == f'{vm}/conductor' and at >= killed_at
    ]
    return {
        'death_known_by': f'{len(delays)} of {nodes}',
        'death_max_seconds': round(max(delays), 2) if delays else None,
    }


def print_slopes(path: pathlib.Path) -> None:
    """Print the costs per size, extrapolated to 380 daemons."""
    results = [json.loads(line) for line in path.read_text().splitlines()]
    for kind in ('product', 'baseline'):
        selected = sorted(
            (r for r in results if r['kind'] == kind),
            key=lambda r: r['size'],
        )
        sizes = [r['size'] for r in selected]
        print(f'{kind}, a daemon, at {sizes} daemons:')
        for name in COSTS:
            costs = [r[name] for r in selected]
            slope, base = numpy.polyfit(sizes, costs, 1)
            print(
                f'  {name:<26} {costs}  = {base:.3f} + {slope:.5f} n, '
                f'at {TARGET_DAEMONS}: {base + slope * TARGET_DAEMONS:.2f}'
            )
        for name in (
            'fleet_watches_per_second',
            'fleet_reads_per_second',
            'steady_p99_seconds',
            'burst_p99_seconds',
            'death_max_seconds',
            'false_dead',
        ):
            print(f'  {name:<26} {[r[name] for r in selected]}')
