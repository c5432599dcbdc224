"""Works the reports of ``bench/slopes.py`` out into costs and slopes."""

import json
import pathlib
import typing

import numpy

FLEET_DAEMONS = 380
COSTS = (
    'cpu_percent',
    'sent_bytes_per_second',
    'received_bytes_per_second',
    'messages_per_second',
    'kilobytes',
)

Report = dict[str, typing.Any]


def summarize_cost(before: list[Report], after: list[Report]) -> Report:
    """Return what a daemon cost between two reports."""
    nodes = sum(found['nodes'] for found in after)
    seconds = after[0]['time'] - before[0]['time']

    def rate(name: str) -> float:
        total = sum(
            late['totals'].get(name, 0) - early['totals'].get(name, 0)
            for early, late in zip(before, after, strict=True)
        )
        return total / seconds

    cpu = sum(
        late['cpu_seconds'] - early['cpu_seconds']
        for early, late in zip(before, after, strict=True)
    )
    memory = sum(f['resident_bytes'] - f['base_bytes'] for f in after)
    return {
        'seconds': round(seconds, 1),
        'cpu_percent': round(100 * cpu / seconds / nodes, 4),
        'sent_bytes_per_second': round(rate('sent_bytes') / nodes, 1),
        'received_bytes_per_second': round(rate('received_bytes') / nodes, 1),
        'messages_per_second': round(
            (rate('sent_messages') + rate('received_messages')) / nodes, 2
        ),
        'kilobytes': round(memory / nodes / 1000, 1),
        'base_megabytes': round(after[0]['base_bytes'] / 1e6, 1),
        'dropped_per_second': round(rate('dropped_messages'), 2),
        'fleet_watches_per_second': round(rate('calls_watch'), 3),
        'fleet_reads_per_second': round(
            rate('calls_objects') + rate('calls_vms'), 3
        ),
        'records': max(max(f['records']) for f in after),
        'suspicions': sum(f['suspicions'] for f in after),
        'false_dead': sum(len(f['dead']) for f in after),
    }


def summarize_force(
    accepted: dict[int, float], reports: list[Report], name: str
) -> Report:
    """Return how long after its acceptance a change was in force."""
    nodes = sum(found['nodes'] for found in reports)
    waits = [
        max(0.0, at - accepted[version])
        for found in reports
        for version, at in found['arrivals']
        if version in accepted
    ]
    if not waits:
        return {f'{name}_p99_seconds': None}
    # A daemon that goes from one version straight to a later one of the same
    # team has the later one in force; the one between is not counted.
    return {
        f'{name}_changes': len(accepted),
        f'{name}_seen': round(len(waits) / len(accepted) / nodes, 4),
        f'{name}_p50_seconds': round(float(numpy.quantile(waits, 0.5)), 3),
        f'{name}_p99_seconds': round(float(numpy.quantile(waits, 0.99)), 3),
        f'{name}_max_seconds': round(max(waits), 3),
    }


def summarize_death(
    reports: list[Report], vm: str, killed_at: float
) -> Report:
    """Return how long after its end a daemon was known to be dead."""
    nodes = sum(found['nodes'] for found in reports)
    waits = [
        at - killed_at
        for found in reports
        for name, at in found['dead']
        if name == f'{vm}/conductor' and at >= killed_at
    ]
    return {
        'death_known_by': f'{len(waits)} of {nodes}',
        'death_max_seconds': round(max(waits), 2) if waits else None,
    }


def print_slopes(path: pathlib.Path) -> None:
    """Print what each kind costs at each size, and at 380 daemons."""
    results = [json.loads(line) for line in path.read_text().splitlines()]
    for kind in ('product', 'baseline'):
        found = sorted(
            (r for r in results if r['kind'] == kind),
            key=lambda r: r['size'],
        )
        sizes = [r['size'] for r in found]
        print(f'{kind}, a daemon, at {sizes} daemons:')
        for name in COSTS:
            costs = [r[name] for r in found]
            slope, base = numpy.polyfit(sizes, costs, 1)
            print(
                f'  {name:<26} {costs}  = {base:.3f} + {slope:.5f} n, '
                f'at {FLEET_DAEMONS}: {base + slope * FLEET_DAEMONS:.2f}'
            )
        for name in (
            'fleet_watches_per_second',
            'fleet_reads_per_second',
            'steady_p99_seconds',
            'burst_p99_seconds',
            'death_max_seconds',
            'false_dead',
        ):
            print(f'  {name:<26} {[r[name] for r in found]}')
