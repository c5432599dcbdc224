"""The page with the figures of all experiments."""

import collections

from bench import report
from bench import results

KEPT_MARK = '<!-- what stands below is kept by make experiments -->'
HEAD = """\
# Results

Written by `make experiments` on {cores} cores with {memory} GB of memory,
which other work shared. Latencies are those that the caller saw, in
milliseconds. All processes and the load run on this one machine over
loopback; the latencies between data centres are not added.

| experiment | seed | answers p50 / p99 | lookups p50 / p99 | idle s a step \
| staleness, versions (answers / samples) | calls: complete / other \
| steps | broken promises |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""


def format_page(found: list[results.Result], held: str = '') -> str:
    """Return docs/RESULTS.md; notes below the mark in `held` are kept."""
    page = HEAD.format(cores=found[0].cores, memory=found[0].memory_gb)
    page += ''.join(_format_row(result) for result in found)
    page += '\n## Promises, over all these runs\n\n'
    page += '| promise | cases tried | broken |\n| --- | --- | --- |\n'
    totals: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0])
    for result in found:
        for name, promise in result.promises.items():
            totals[name][0] += promise.tried
            totals[name][1] += promise.violations
    for name, (tried, broken) in sorted(totals.items()):
        page += f'| {name} | {tried} | {broken} |\n'
    page += _format_broken(found)
    page += '\n## Commands\n\n'
    for result in found:
        page += f'    {result.command}\n'
    _, mark, notes = held.partition(KEPT_MARK)
    return f'{page}\n{mark}{notes}' if mark else page


def _format_row(result: results.Result) -> str:
    live = [result.outcomes.get(k, {}) for k in report.LIVE_KINDS]
    good = sum(outcomes.get('complete', 0) for outcomes in live)
    other = sum(sum(outcomes.values()) for outcomes in live) - good
    name = result.experiment.name + ('' if result.whole else ' (partial)')
    return (
        f'| {name} | {result.seed} | {_format_ms(result, "answer")} '
        f'| {_format_ms(result, "lookup")} '
        f'| {report.mean_idle(result):.2f} '
        f'| {report.mean_staleness(result, "answers"):.2f} / '
        f'{report.mean_staleness(result, "samples"):.2f} '
        f'| {good} / {other} | {result.steps} | {result.violations()} |\n'
    )


def _format_ms(result: results.Result, kind: str) -> str:
    found = result.percentiles_ms.get(kind)
    if found is None:
        return '-'
    return f'{found["p50"]:.0f} / {found["p99"]:.0f}'


def _format_broken(found: list[results.Result]) -> str:
    lines = [
        f'- {result.experiment.name}: {name}: {promise.violations} of '
        f'{promise.tried}; {"; ".join(promise.examples[:2])}\n'
        for result in found
        for name, promise in sorted(result.promises.items())
        if promise.violations
    ]
    if not lines:
        return ''
    return '\n## Where a promise did not hold\n\n' + ''.join(lines)
