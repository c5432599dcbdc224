"""Text summaries, comparisons and HTML reports of results."""

import base64
import collections.abc
import html
import io
import pathlib

import hdrh.histogram
import matplotlib
import matplotlib.pyplot

from bench import results

matplotlib.use('Agg')
PERCENTILES = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100]
CALL_KINDS = ('answer', 'stream', 'lookup', 'action', 'keyed action')


def format_summary(result: results.Result) -> list[str]:
    """Return the lines of a summary of a result."""
    lines = ['', f'{result.experiment.name}, seed {result.seed}']
    lines.append('' if result.is_complete else 'PARTIAL: the run did not end')
    for kind, outcomes in sorted(result.outcomes.items()):
        counts = ', '.join(f'{k} {v}' for k, v in sorted(outcomes.items()))
        lines.append(f'  {kind:<16} {counts}')
    for kind, percentiles in sorted(result.percentiles_ms.items()):
        formatted = ', '.join(f'{k} {v:.0f}' for k, v in percentiles.items())
        lines.append(f'  {kind:<28} ms: {formatted}')
    lines.append(f'  steps {result.steps}, samples {result.samples}')
    for name, invariant in sorted(result.invariants.items()):
        lines.append(
            f'  {name:<36}{invariant.cases:>8}{invariant.violations:>6}'
            + ''.join(f'\n      {e}' for e in invariant.examples[:3])
        )
    return lines


def format_comparison(
    first: results.Result, second: results.Result
) -> list[str]:
    """Return the lines of a table that compares two results."""
    lines = [f'{"":<36}{"first":>14}{"second":>14}']

    def add_row(name: str, a: float, b: float) -> None:
        lines.append(f'{name:<36}{a:>14.2f}{b:>14.2f}')

    for kind in sorted({*first.percentiles_ms, *second.percentiles_ms}):
        for quantile in ('p50', 'p99'):
            add_row(
                f'{kind} {quantile} ms',
                first.percentiles_ms.get(kind, {}).get(quantile, 0),
                second.percentiles_ms.get(kind, {}).get(quantile, 0),
            )
    add_row('steps', first.steps, second.steps)
    add_row(
        'idle s a step',
        compute_mean_idle_seconds(first),
        compute_mean_idle_seconds(second),
    )
    for kind in ('answers', 'samples'):
        add_row(
            f'staleness of {kind}, versions',
            compute_mean_staleness(first, kind),
            compute_mean_staleness(second, kind),
        )
    add_row('violations', first.count_violations(), second.count_violations())
    return lines


def compute_mean_idle_seconds(result: results.Result) -> float:
    """Return the mean time that trainers waited for a step, in seconds."""
    return sum(result.idle_seconds) / max(len(result.idle_seconds), 1)


def compute_mean_staleness(result: results.Result, kind: str) -> float:
    """Return how many versions behind the results were on average.

    Parameters
    ----------
    result : Result
        Result of a run.
    kind : str
        ``answers`` or ``samples``.
    """
    counts = result.staleness.get(kind, {})
    return sum(k * v for k, v in counts.items()) / max(sum(counts.values()), 1)


def write_report(folder: pathlib.Path) -> pathlib.Path:
    """Write ``report.html`` to the folder of a result.

    The page embeds its plots, so that it can be shared as one file.

    Parameters
    ----------
    folder : Path
        Folder of the result.

    Returns
    -------
    Path
        Path of the page.
    """
    result = results.read_result(str(folder))
    plots = [
        _render_plot(result, plot)
        for plot in (
            _plot_timeline,
            _plot_percentiles,
            _plot_staleness,
            _plot_idle,
            _plot_refusals,
        )
    ]
    rows = ''.join(
        f'<tr class="{"bad" if p.violations else ""}"><td>{html.escape(n)}'
        f'<td>{p.cases}<td>{p.violations}<td>'
        f'{html.escape("; ".join(p.examples[:3]))}</tr>'
        for n, p in sorted(result.invariants.items())
    )
    completeness = 'whole' if result.is_complete else 'partial'
    page = f"""<!doctype html><meta charset="utf-8">
<title>{html.escape(result.experiment.name)}</title>
<style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}
td,th{{padding:.2em .8em;text-align:left}}.bad{{background:#fcc}}
img{{max-width:100%}}</style>
<h1>{html.escape(result.experiment.name)}</h1>
<p><code>{html.escape(result.command)}</code>: {completeness},
{result.seconds:.0f} s, {result.steps} steps, {result.samples} samples,
{result.versions} versions, {result.cores} cores, {result.memory_gb} GB</p>
<h2>Promises</h2>
<table><tr><th>promise<th>tried<th>broken<th>examples</tr>{rows}</table>
{''.join(plots)}
"""
    path = folder / 'report.html'
    path.write_text(page)
    return path


PlotFunction = collections.abc.Callable[
    [results.Result, matplotlib.pyplot.Axes], str
]


def _render_plot(result: results.Result, plot: PlotFunction) -> str:
    figure, axes = matplotlib.pyplot.subplots(figsize=(11, 4.2))
    title = plot(result, axes)
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format='png', dpi=80)
    matplotlib.pyplot.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<h2>{title}</h2><img src="data:image/png;base64,{data}">'


def _plot_timeline(
    result: results.Result, axes: matplotlib.pyplot.Axes
) -> str:
    for kind in CALL_KINDS:
        points = [p for p in result.points if p.kind == kind]
        completed = [p for p in points if p.outcome == 'complete']
        axes.plot(
            [p.at_seconds for p in completed],
            [p.milliseconds for p in completed],
            '.',
            label=kind,
            markersize=4,
        )
    failed = [
        p
        for p in result.points
        if p.outcome != 'complete' and p.kind in CALL_KINDS
    ]
    axes.plot(
        [p.at_seconds for p in failed],
        [p.milliseconds for p in failed],
        'kx',
        label='not complete',
    )
    axes.set_yscale('log')
    axes.set_xlabel('s')
    axes.set_ylabel('ms')
    for event in result.events:
        is_version = event.text.startswith('version')
        axes.axvline(
            event.at_seconds, color='gray' if is_version else 'red', lw=0.6
        )
        if not is_version:
            axes.annotate(
                event.text,
                (event.at_seconds, 1),
                xycoords=('data', 'axes fraction'),
                rotation=90,
                fontsize=6,
                va='top',
            )
    axes.legend(fontsize=7, loc='upper left')
    return 'Latency of each call; faults in red, versions in gray'


def _plot_percentiles(
    result: results.Result, axes: matplotlib.pyplot.Axes
) -> str:
    for kind in (*CALL_KINDS, 'step'):
        if kind in result.histograms:
            histogram = hdrh.histogram.HdrHistogram.decode(
                result.histograms[kind]
            )
            values = [
                histogram.get_value_at_percentile(percentile) / 1000
                for percentile in PERCENTILES
            ]
            axes.plot(range(len(PERCENTILES)), values, 'o-', label=kind)
    axes.set_xticks(
        range(len(PERCENTILES)),
        [f'{percentile:g}' for percentile in PERCENTILES],
    )
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('ms')
    axes.legend(fontsize=7)
    return 'Latency percentiles of whole answers'


def _plot_staleness(
    result: results.Result, axes: matplotlib.pyplot.Axes
) -> str:
    for offset, (kind, counts) in enumerate(sorted(result.staleness.items())):
        total = max(sum(counts.values()), 1)
        axes.bar(
            [k + 0.35 * offset for k in counts],
            [100 * v / total for v in counts.values()],
            0.35,
            label=kind,
        )
    axes.set_xlabel('versions behind the newest when received')
    axes.set_ylabel('%')
    axes.legend(fontsize=7)
    return 'Staleness'


def _plot_idle(result: results.Result, axes: matplotlib.pyplot.Axes) -> str:
    steps = [p for p in result.points if p.kind == 'step']
    axes.bar(
        [p.at_seconds for p in steps],
        [p.milliseconds / 1000 for p in steps],
        0.4,
    )
    axes.set_xlabel('s at which the step was submitted')
    axes.set_ylabel('s that the trainer waited')
    return 'Trainer idle time of each step'


def _plot_refusals(
    result: results.Result, axes: matplotlib.pyplot.Axes
) -> str:
    bars = {
        f'{kind}\n{outcome}': count
        for kind, outcomes in sorted(result.outcomes.items())
        for outcome, count in sorted(outcomes.items())
        if outcome not in ('complete', 'accepted')
    }
    axes.bar(list(bars), list(bars.values()))
    axes.tick_params(axis='x', labelsize=7)
    axes.set_ylabel('calls')
    return 'Refusals and errors by kind'
