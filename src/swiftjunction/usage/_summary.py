"""What is on the store of the last windows, for operators."""

import collections

import msgspec

from swiftjunction import objectstore
from swiftjunction.usage import _archive


class WindowSummary(msgspec.Struct, frozen=True):
    """The state of one window.

    Attributes
    ----------
    state : str
        ``open``: not fixed; ``fixed``: not known to be sent; ``sent``.
    requests, organisations : int
        What was told of it, or is reported.
    fixed_by : str
        The VM that fixed the report; empty if it is open.
    fixed_unix, sent_unix : float
        When it was fixed and sent, in Unix seconds; 0 if it was not.
    """

    window: int
    state: str
    requests: int
    organisations: int
    fixed_by: str = ''
    fixed_unix: float = 0.0
    sent_unix: float = 0.0


async def list_windows(store: objectstore.ObjectStore) -> list[WindowSummary]:
    """Return the windows of which anything is stored, oldest first.

    The state on the store is about a second old.
    """
    stored = await _archive.UsageArchive(store).load()
    state = stored.state or _archive.UsageState(-1)
    rows = [
        _summarize_report(report, state)
        for _, report in sorted(stored.reports.items())
    ]
    return rows + _summarize_open(state, stored.reports)


def _summarize_report(
    report: _archive.FixedReport, state: _archive.UsageState
) -> WindowSummary:
    # `state.sent` has only the last windows, so it does not tell this.
    is_pending = (
        report.window in state.unsent or report.window >= state.next_window
    )
    return WindowSummary(
        report.window,
        'fixed' if is_pending else 'sent',
        sum(report.counts.values()),
        len(report.counts),
        report.vm,
        report.fixed_unix,
        state.sent.get(report.window, 0.0),
    )


def _summarize_open(
    state: _archive.UsageState, reports: dict[int, _archive.FixedReport]
) -> list[WindowSummary]:
    sums: dict[int, collections.Counter[str]] = {}
    for record in state.records:
        window = record.key.window
        if window not in reports:
            counts = sums.setdefault(window, collections.Counter())
            counts[record.key.organisation] += record.count
    return [
        WindowSummary(
            window, 'open', counts.total(), sum(c > 0 for c in counts.values())
        )
        for window, counts in sorted(sums.items())
    ]
