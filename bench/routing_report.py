"""Formats the results of the routing benchmark as a table and plots."""

import collections.abc
import pathlib

import matplotlib

matplotlib.use('Agg')

# matplotlib.pyplot reads the backend on import.
import matplotlib.pyplot  # noqa: E402

from bench import routing_load  # noqa: E402

MS_PER_SECOND = 1000
PLOT_INCHES = (9.0, 3.2)
PLOT_DOTS_PER_INCH = 80

Outcomes = collections.abc.Sequence[routing_load.Outcome]


def format_policy(cell: routing_load.Cell) -> str:
    """Return the policy, with a note if engines had no limits."""
    return cell.policy if cell.limits else f'{cell.policy}, no limits'


def format_table(outcomes: Outcomes) -> str:
    """Return the outcomes as a Markdown table."""
    names = (
        'fault load policy p50_ms p99_ms p99.9_ms answers/s refused failed '
        'retries_% cache_hits_% samples ceiling'
    ).split()
    lines = [
        f'| {" | ".join(names)} |',
        f'|{" --- |" * len(names)}',
        *(f'| {" | ".join(_format_values(o))} |' for o in outcomes),
    ]
    return '\n'.join(lines) + '\n'


def _format_values(outcome: routing_load.Outcome) -> list[str]:
    cell = outcome.cell
    failed = dict(outcome.errors)
    refused = failed.pop('NotRun', 0)
    return [
        cell.fault,
        f'{cell.load:.0%}',
        format_policy(cell),
        f'{outcome.p50 * MS_PER_SECOND:.0f}',
        f'{outcome.p99 * MS_PER_SECOND:.0f}',
        f'{outcome.p999 * MS_PER_SECOND:.0f}',
        f'{outcome.goodput_per_second:.0f}',
        str(refused),
        str(sum(failed.values())),
        f'{outcome.retries_share:.1%}',
        f'{outcome.hits:.0%}',
        str(outcome.samples),
        str(cell.ceiling or ''),
    ]


def plot(outcomes: Outcomes, path: pathlib.Path) -> None:
    """Write a plot of p99 latency over load, one panel per fault."""
    faults = list(dict.fromkeys(o.cell.fault for o in outcomes))
    figure, axes = matplotlib.pyplot.subplots(
        1, len(faults), figsize=PLOT_INCHES, sharey=True
    )
    for axis, fault in zip(axes, faults):
        _plot_fault(axis, [o for o in outcomes if o.cell.fault == fault])
        axis.set_title(f'fault: {fault}')
        axis.set_xlabel('load, % of capacity')
    axes[0].set_ylabel('p99, ms')
    axes[0].legend(fontsize='x-small')
    figure.tight_layout()
    figure.savefig(path, dpi=PLOT_DOTS_PER_INCH)


def _plot_fault(axis: matplotlib.pyplot.Axes, outcomes: Outcomes) -> None:
    for name in dict.fromkeys(format_policy(o.cell) for o in outcomes):
        points = sorted(
            (100 * o.cell.load, o.p99 * MS_PER_SECOND)
            for o in outcomes
            if format_policy(o.cell) == name
        )
        axis.plot(*zip(*points), marker='.', label=name)
    axis.set_yscale('log')
