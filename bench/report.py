"""One self-contained HTML page for each run, and comparisons."""

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
QUANTILES = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100]
LIVE_KINDS = ('answer', 'stream', 'lookup', 'action', 'keyed action')


def format_summary(result: results.Result) -> list[str]:
    """Return the result as lines for a person."""
    lines = ['', f'{result.experiment.name}, seed {result.seed}']
    lines.append('' if result.whole else 'PARTIAL: the run did not end')
    for kind, outcomes in sorted(result.outcomes.items()):
        counts = ', '.join(f'{k} {v}' for k, v in sorted(outcomes.items()))
        lines.append(f'  {kind:<16} {counts}')
    for kind, found in sorted(result.percentiles_ms.items()):
        shown = ', '.join(f'{k} {v:.0f}' for k, v in found.items())
        lines.append(f'  {kind:<28} ms: {shown}')
    lines.append(f'  steps {result.steps}, samples {result.samples}')
    for name, promise in sorted(result.promises.items()):
        lines.append(
            f'  {name:<36}{promise.tried:>8}{promise.violations:>6}'
            + ''.join(f'\n      {e}' for e in promise.examples[:3])
        )
    return lines


def format_comparison(
    first: results.Result, second: results.Result
) -> list[str]:
    """Return two results side by side."""
    lines = [f'{"":<36}{"first":>14}{"second":>14}']

    def add(name: str, a: float, b: float) -> None:
        lines.append(f'{name:<36}{a:>14.2f}{b:>14.2f}')

    for kind in sorted({*first.percentiles_ms, *second.percentiles_ms}):
        for quantile in ('p50', 'p99'):
            add(
                f'{kind} {quantile} ms',
                first.percentiles_ms.get(kind, {}).get(quantile, 0),
                second.percentiles_ms.get(kind, {}).get(quantile, 0),
            )
    add('steps', first.steps, second.steps)
    add('idle s a step', mean_idle(first), mean_idle(second))
    for kind in ('answers', 'samples'):
        add(
            f'staleness of {kind}, versions',
            mean_staleness(first, kind),
            mean_staleness(second, kind),
        )
    add('violations', first.violations(), second.violations())
    return lines


def mean_idle(result: results.Result) -> float:
    """Return the mean seconds that a trainer waited for a step."""
    return sum(result.idle_seconds) / max(len(result.idle_seconds), 1)


def mean_staleness(result: results.Result, kind: str) -> float:
    """Return by how many versions answers or samples were behind."""
    found = result.staleness.get(kind, {})
    return sum(k * v for k, v in found.items()) / max(sum(found.values()), 1)


def write_report(folder: pathlib.Path) -> pathlib.Path:
    """Write ``report.html`` beside a result and return its path."""
    result = results.read_result(str(folder))
    plots = [
        _draw(result, draw)
        for draw in (
            _plot_timeline,
            _plot_percentiles,
            _plot_staleness,
            _plot_idle,
            _plot_refusals,
        )
    ]
    rows = ''.join(
        f'<tr class="{"bad" if p.violations else ""}"><td>{html.escape(n)}'
        f'<td>{p.tried}<td>{p.violations}<td>'
        f'{html.escape("; ".join(p.examples[:3]))}</tr>'
        for n, p in sorted(result.promises.items())
    )
    state = 'whole' if result.whole else 'partial'
    page = f"""<!doctype html><meta charset="utf-8">
<title>{html.escape(result.experiment.name)}</title>
<style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}
td,th{{padding:.2em .8em;text-align:left}}.bad{{background:#fcc}}
img{{max-width:100%}}</style>
<h1>{html.escape(result.experiment.name)}</h1>
<p><code>{html.escape(result.command)}</code>: {state},
{result.seconds:.0f} s, {result.steps} steps, {result.samples} samples,
{result.versions} versions, {result.cores} cores, {result.memory_gb} GB</p>
<h2>Promises</h2>
<table><tr><th>promise<th>tried<th>broken<th>examples</tr>{rows}</table>
{''.join(plots)}
"""
    path = folder / 'report.html'
    path.write_text(page)
    return path


Draw = collections.abc.Callable[[results.Result, matplotlib.pyplot.Axes], str]


def _draw(result: results.Result, draw: Draw) -> str:
    figure, axes = matplotlib.pyplot.subplots(figsize=(11, 4.2))
    title = draw(result, axes)
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format='png', dpi=80)
    matplotlib.pyplot.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<h2>{title}</h2><img src="data:image/png;base64,{data}">'


def _plot_timeline(
    result: results.Result, axes: matplotlib.pyplot.Axes
) -> str:
    for kind in LIVE_KINDS:
        points = [p for p in result.points if p.kind == kind]
        good = [p for p in points if p.outcome == 'complete']
        axes.plot(
            [p.at_seconds for p in good],
            [p.milliseconds for p in good],
            '.',
            label=kind,
            markersize=4,
        )
    bad = [
        p
        for p in result.points
        if p.outcome != 'complete' and p.kind in LIVE_KINDS
    ]
    axes.plot(
        [p.at_seconds for p in bad],
        [p.milliseconds for p in bad],
        'kx',
        label='not complete',
    )
    axes.set_yscale('log')
    axes.set_xlabel('s')
    axes.set_ylabel('ms')
    for event in result.events:
        version = event.text.startswith('version')
        axes.axvline(
            event.at_seconds, color='gray' if version else 'red', lw=0.6
        )
        if not version:
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
    for kind in (*LIVE_KINDS, 'step'):
        if kind in result.histograms:
            histogram = hdrh.histogram.HdrHistogram.decode(
                result.histograms[kind]
            )
            values = [
                histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES
            ]
            axes.plot(range(len(QUANTILES)), values, 'o-', label=kind)
    axes.set_xticks(range(len(QUANTILES)), [f'{q:g}' for q in QUANTILES])
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('ms')
    axes.legend(fontsize=7)
    return 'Latency percentiles of whole answers'


def _plot_staleness(
    result: results.Result, axes: matplotlib.pyplot.Axes
) -> str:
    for offset, (kind, found) in enumerate(sorted(result.staleness.items())):
        total = max(sum(found.values()), 1)
        axes.bar(
            [k + 0.35 * offset for k in found],
            [100 * v / total for v in found.values()],
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
