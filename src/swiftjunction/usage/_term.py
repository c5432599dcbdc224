"""One term of the coordinator: which windows are fixed, and what is sent."""

import collections.abc
import logging

from swiftjunction import coordination
from swiftjunction.usage import _archive
from swiftjunction.usage import _ledger
from swiftjunction.usage import _windows

LOG = logging.getLogger(__name__)

# When a window is fixed at the latest, as a fraction of the time until its
# report is due. The rest is for a platform that does not respond or a change
# of coordinator.
FIX_FRACTION = 0.6
# After a term began, how long VMs have to learn of it and to tell again what
# is not fixed, also of windows that are overdue.
GATHER_SECONDS = 1.5
# A VM that is unreachable and silent for so long is not waited for.
MAX_SILENCE_SECONDS = 20.0
# Sent reports that the state names, for operators.
KEPT_SENT_WINDOWS = 24
# A report is deleted so long after the end of its window.
REPORT_EXPIRY_SECONDS = 300.0
# Older windows are not reported, after an outage that lasted longer.
MAX_OPEN_WINDOWS = 120


class UsageTerm:
    """What the coordinator knows during one term; performs no I/O.

    Parameters
    ----------
    fencing_token : int
        That of the term.
    windows : Windows
        Tells which windows have ended.
    members : MemberTable
        The VMs that count.
    began_at : float
        When the term began, in seconds on the event loop's clock.

    Attributes
    ----------
    ledger : UsageLedger
        The counts.
    is_loaded : bool
        Whether what predecessors wrote has been read.
    unsent : dict of int to FixedReport
        The reports that are fixed and not known to be sent.
    sent : dict of int to float
        When the last reports were sent, in Unix seconds.
    state_version : int
        The version of the stored state, or 0.
    """

    __slots__ = (
        '_began_at',
        '_heard_at',
        '_members',
        '_report_versions',
        '_windows',
        'fencing_token',
        'is_loaded',
        'ledger',
        'sent',
        'state_version',
        'unsent',
    )

    def __init__(
        self,
        fencing_token: int,
        windows: _windows.Windows,
        members: coordination.MemberTable,
        began_at: float,
    ) -> None:
        self._began_at = began_at
        self.fencing_token = fencing_token
        self._windows = windows
        self._members = members
        self.ledger = _ledger.UsageLedger()
        self.is_loaded = False
        self.unsent: dict[int, _archive.FixedReport] = {}
        self.sent: dict[int, float] = {}
        self.state_version = 0
        self._report_versions: dict[int, int] = {}
        # When each VM was first expected, or last heard.
        self._heard_at: dict[str, float] = {}

    def note_heard(self, vm: str, now: float) -> None:
        """Note that a VM has told something now, on the loop's clock."""
        self._heard_at[vm] = now

    def adopt(self, stored: _archive.StoredUsage) -> None:
        """Merge what predecessors or another coordinator stored."""
        self.state_version = stored.version
        # Without a state, no report is known to be sent.
        state = stored.state or _archive.UsageState(-1)
        self.ledger.merge(state.records)
        self.sent = {**state.sent, **self.sent}
        latest = self._windows.current + MAX_OPEN_WINDOWS
        reports = {
            window: report
            for window, report in stored.reports.items()
            if window <= latest
        }
        if len(reports) < len(stored.reports):
            LOG.warning('ignoring usage reports of distant windows')
        for window, report in reports.items():
            is_pending = window in state.unsent or window >= state.next_window
            if is_pending and window not in self.sent:
                self.unsent.setdefault(window, report)
        self._report_versions.update(stored.report_versions)
        next_window = max(
            self.ledger.next_window,
            min(state.next_window, latest + 1),
            *(window + 1 for window in reports),
        )
        if next_window < 0:
            next_window = self._find_first()
        oldest = self._windows.current - MAX_OPEN_WINDOWS
        self.ledger.advance(max(next_window, oldest))
        self.is_loaded = True

    def _find_first(self) -> int:
        """Return the first window to report, if none ever was.

        VMs may have counted before one of them became the coordinator.
        """
        window = self._windows.current
        while not self._is_overdue(window - 1):
            window -= 1
        return window

    def _is_overdue(self, window: int) -> bool:
        """Return whether a window must be fixed, complete or not."""
        latest_seconds = FIX_FRACTION * self._windows.late_seconds
        return self._windows.compute_age(window) >= latest_seconds

    def find_fixable(self, now: float) -> int | None:
        """Return the window to fix now, if there is one."""
        if not self.is_loaded:
            return None
        window = self.ledger.next_window
        if self._windows.compute_age(window) <= 0:
            return None
        if self._is_overdue(window) and (
            now - self._began_at >= GATHER_SECONDS
        ):
            return window
        if any(self._iter_missing(window, now)):
            return None
        return window

    def list_missing(self, now: float) -> list[str]:
        """Return the VMs that have not told all of the window to fix."""
        return list(self._iter_missing(self.ledger.next_window, now))

    def _iter_missing(
        self, window: int, now: float
    ) -> collections.abc.Iterator[str]:
        for member in [self._members.own, *self._members.list_peers()]:
            if self.ledger.has_told(member.name, member.run, window):
                continue
            heard_at = self._heard_at.setdefault(member.name, now)
            is_gone = (
                self._members.is_unreachable(member.name)
                and now - heard_at > MAX_SILENCE_SECONDS
            )
            if not is_gone:
                yield member.name

    def build_report(self, window: int) -> _archive.FixedReport:
        """Return what this VM would report of a window."""
        return _archive.FixedReport(
            window,
            self.ledger.sum_window(window),
            self._windows.read_clock(),
            self._members.own.name,
            self.fencing_token,
            _archive.make_nonce(),
        )

    def record_fixed(self, report: _archive.FixedReport, version: int) -> None:
        """Learn which report of a window is on the store."""
        self._report_versions[report.window] = version
        if report.window not in self.sent:
            self.unsent[report.window] = report
        self.ledger.advance(report.window + 1)

    def find_sendable(
        self, is_delayed: collections.abc.Callable[[int], bool]
    ) -> _archive.FixedReport | None:
        """Return the report to send next.

        The oldest of those that can still be in time, then the others; none
        whose window is delayed.
        """
        windows = [w for w in self.unsent if not is_delayed(w)]
        if not windows:
            return None
        late_seconds = self._windows.late_seconds

        def rank(window: int) -> tuple[bool, int]:
            return (self._windows.compute_age(window) > late_seconds, window)

        return self.unsent[min(windows, key=rank)]

    def record_sent(self, window: int) -> float:
        """Learn that a report was sent; return its window's age in seconds."""
        self.unsent.pop(window, None)
        self.sent[window] = self._windows.read_clock()
        for old in sorted(self.sent)[:-KEPT_SENT_WINDOWS]:
            del self.sent[old]
        self.ledger.is_changed = True
        return self._windows.compute_age(window)

    def pop_expired(self) -> tuple[int, int] | None:
        """Return the window and version of a report to delete, if any."""
        for window, version in self._report_versions.items():
            age_seconds = self._windows.compute_age(window)
            if window not in self.unsent and (
                age_seconds > REPORT_EXPIRY_SECONDS
            ):
                del self._report_versions[window]
                return window, version
        return None

    def build_state(self) -> _archive.UsageState:
        """Return the state to write for a successor."""
        return _archive.UsageState(
            self.ledger.next_window,
            sorted(self.unsent),
            self.sent,
            self.ledger.list_records(),
            self._members.own.name,
            self.fencing_token,
            _archive.make_nonce(),
        )

    def summarize(self) -> dict[str, object]:
        """Return what is fixed and sent, for the state dump."""
        return {
            'is_loaded': self.is_loaded,
            'fencing_token': self.fencing_token,
            'next_window': self.ledger.next_window,
            'unsent': sorted(self.unsent),
            'sent': self.sent,
        }
