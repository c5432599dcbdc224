"""The Markdown page with the results of all experiments."""

import collections

from bench import report
from bench import results

# Text after this line of the page is written by hand and preserved.
NOTES_MARKER = '<!-- what stands below is kept by make experiments -->'
PAGE_HEADER = """\
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


def format_page(
    run_results: list[results.Result], previous_page: str = ''
) -> str:
    """Return the page of results.

    Parameters
    ----------
    run_results : list of Result
        Results in the order in which they are listed.
    previous_page : str
        Page that is replaced; its text after `NOTES_MARKER` is preserved.
    """
    page = PAGE_HEADER.format(
        cores=run_results[0].cores, memory=run_results[0].memory_gb
    )
    page += ''.join(_format_row(result) for result in run_results)
    page += '\n## Promises, over all these runs\n\n'
    page += '| promise | cases tried | broken |\n| --- | --- | --- |\n'
    totals: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0])
    for result in run_results:
        for name, invariant in result.invariants.items():
            totals[name][0] += invariant.cases
            totals[name][1] += invariant.violations
    for name, (cases, violations) in sorted(totals.items()):
        page += f'| {name} | {cases} | {violations} |\n'
    page += _format_violations(run_results)
    page += '\n## Commands\n\n'
    for result in run_results:
        page += f'    {result.command}\n'
    _, marker, notes = previous_page.partition(NOTES_MARKER)
    return f'{page}\n{marker}{notes}' if marker else page


def _format_row(result: results.Result) -> str:
    call_outcomes = [result.outcomes.get(k, {}) for k in report.CALL_KINDS]
    completed = sum(outcomes.get('complete', 0) for outcomes in call_outcomes)
    other = (
        sum(sum(outcomes.values()) for outcomes in call_outcomes) - completed
    )
    name = result.experiment.name + (
        '' if result.is_complete else ' (partial)'
    )
    return (
        f'| {name} | {result.seed} | {_format_ms(result, "answer")} '
        f'| {_format_ms(result, "lookup")} '
        f'| {report.compute_mean_idle_seconds(result):.2f} '
        f'| {report.compute_mean_staleness(result, "answers"):.2f} / '
        f'{report.compute_mean_staleness(result, "samples"):.2f} '
        f'| {completed} / {other} | {result.steps} '
        f'| {result.count_violations()} |\n'
    )


def _format_ms(result: results.Result, kind: str) -> str:
    percentiles = result.percentiles_ms.get(kind)
    if percentiles is None:
        return '-'
    return f'{percentiles["p50"]:.0f} / {percentiles["p99"]:.0f}'


def _format_violations(run_results: list[results.Result]) -> str:
    lines = [
        f'- {result.experiment.name}: {name}: {invariant.violations} of '
        f'{invariant.cases}; {"; ".join(invariant.examples[:2])}\n'
        for result in run_results
        for name, invariant in sorted(result.invariants.items())
        if invariant.violations
    ]
    if not lines:
        return ''
    return '\n## Where a promise did not hold\n\n' + ''.join(lines)
