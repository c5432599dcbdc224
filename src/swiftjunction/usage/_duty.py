"""The coordinator's duty to report the usage of each window."""

import collections.abc
import contextlib
import functools
import logging
import math

import anyio
import msgspec

from swiftjunction import coordination
from swiftjunction import duties
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction.usage import _archive
from swiftjunction.usage import _exchange
from swiftjunction.usage import _ledger
from swiftjunction.usage import _messages
from swiftjunction.usage import _term
from swiftjunction.usage import _windows

LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.1
STATE_INTERVAL_SECONDS = 1.0
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# This VM's clock may run faster than the platform's by this factor.
CLOCK_RATE_MARGIN = 1.01
# Part of the permitted rate of calls that usage reports use. The rest is for
# other duties.
RATE_FRACTION = 0.5


class UsageReporter(coordination.Duty, _exchange.UsageCollector):
    """Collects the counts of all VMs, and reports each window once.

    Parameters
    ----------
    api : DutyApi
        Takes the reports.
    archive : UsageArchive
        Keeps the state and the fixed reports.
    windows : Windows
        Tells which windows have ended.
    members : MemberTable
        The VMs that count.
    metrics : Metrics
        Counts reports.
    calls_per_second : float
        The rate that the platform accepts of all calls of duties.
    lease_seconds : float
        Minimum time between the reports of two successive coordinators.
    settle_seconds : float
        For this time after a term began, no report is sent, as the platform
        does not refuse those of the previous holder.
    supervisor : Supervisor, optional
        Keeps the unexpected error of one report from the other work.
    """

    __slots__ = (
        '_api',
        '_archive',
        '_kept_records',
        '_last_call_at',
        '_lease_seconds',
        '_members',
        '_metrics',
        '_pause_seconds',
        '_sendings',
        '_settle_seconds',
        '_term',
        '_windows',
    )

    def __init__(
        self,
        api: duties.DutyApi,
        archive: _archive.UsageArchive,
        windows: _windows.Windows,
        members: coordination.MemberTable,
        metrics: telemetry.Metrics,
        calls_per_second: float,
        lease_seconds: float,
        settle_seconds: float,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._sendings = supervision.IsolatedItems(
            supervisor or supervision.Supervisor(metrics), 'usage report'
        )
        self._api = api
        self._archive = archive
        self._windows = windows
        self._members = members
        self._metrics = metrics
        self._pause_seconds = 1.0 / max(calls_per_second * RATE_FRACTION, 1.0)
        self._lease_seconds = lease_seconds
        self._settle_seconds = settle_seconds
        self._term: _term.UsageTerm | None = None
        self._kept_records: list[_ledger.CountRecord] = []
        self._last_call_at = -math.inf
        metrics.add_gauge('usage_open_windows', self._count_open_windows)

    def receive(
        self, message: _messages.UsageCounts
    ) -> _messages.UsageReceipt | None:
        term = self._term
        if term is None:
            return None
        term.note_heard(message.vm, anyio.current_time())
        self._metrics.count('usage_counts_merged', len(message.entries))
        late_count = term.ledger.record(
            self._drop_distant(message),
            message.fencing_token == term.fencing_token,
        )
        if late_count:
            self._metrics.count('usage_counts_late', late_count)
            LOG.warning(
                'usage came after its window was fixed',
                extra={'peer': message.vm, 'counts': late_count},
            )
        return _messages.UsageReceipt(
            message.vm,
            message.run,
            message.number,
            term.fencing_token,
            term.ledger.next_window - 1 if term.is_loaded else -1,
        )

    def _drop_distant(
        self, message: _messages.UsageCounts
    ) -> _messages.UsageCounts:
        """Return a message without counts of windows that never come."""
        latest = self._windows.current + _term.MAX_OPEN_WINDOWS
        entries = [e for e in message.entries if e.window <= latest]
        if len(entries) < len(message.entries):
            LOG.warning(
                'ignoring usage of distant windows',
                extra={'peer': message.vm},
            )
        return msgspec.structs.replace(message, entries=entries)

    async def run(self, lease: leases.Lease) -> None:
        term = _term.UsageTerm(
            lease.fencing_token,
            self._windows,
            self._members,
            anyio.current_time(),
        )
        term.ledger.merge(self._kept_records)
        may_send_at = (
            self._last_call_at + self._lease_seconds * CLOCK_RATE_MARGIN
        )
        self._term = term
        try:
            await self._load(term)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._save_states, term, lease)
                tasks.start_soon(self._fix_windows, term, lease)
                await anyio.sleep_until(may_send_at)
                await self._send_reports(term, lease)
        finally:
            # If this VM becomes the coordinator again, the other VMs may not
            # tell it again what it knew in this term.
            self._kept_records = term.ledger.list_records()
            if self._term is term:
                self._term = None

    async def _load(self, term: _term.UsageTerm) -> None:
        while True:
            with _log_failures('read the state of usage reports'):
                term.adopt(await self._archive.load())
                LOG.info(
                    'usage reports go on',
                    extra={
                        'window': term.ledger.next_window,
                        'unsent': sorted(term.unsent),
                        'fencing_token': term.fencing_token,
                    },
                )
                return
            await anyio.sleep(RETRY_SECONDS)

    async def _save_states(
        self, term: _term.UsageTerm, lease: leases.Lease
    ) -> None:
        while True:
            if term.ledger.is_changed and lease.remaining_seconds() > 0:
                with _log_failures('write the state of usage reports'):
                    await self._save_state(term)
            await anyio.sleep(STATE_INTERVAL_SECONDS)

    async def _save_state(self, term: _term.UsageTerm) -> None:
        try:
            term.state_version = await self._archive.save_state(
                term.build_state(), term.state_version
            )
        except errors.PlatformError:
            # Another VM may have changed the state, or this write may have
            # been carried out without a response.
            term.ledger.is_changed = True
            term.adopt(await self._archive.load())
            raise

    async def _fix_windows(
        self, term: _term.UsageTerm, lease: leases.Lease
    ) -> None:
        while True:
            await anyio.sleep(TICK_SECONDS)
            if lease.remaining_seconds() <= 0:
                continue
            with _log_failures('fix a usage report'):
                window = term.find_fixable(anyio.current_time())
                if window is not None:
                    await self._fix(term, window)
                await self._delete_expired(term)

    async def _fix(self, term: _term.UsageTerm, window: int) -> None:
        missing = term.list_missing(anyio.current_time())
        own = term.build_report(window)
        report, version = await self._archive.fix(own)
        term.record_fixed(report, version)
        LOG.info(
            'usage report is fixed',
            extra={
                'window': window,
                'requests': sum(report.counts.values()),
                'organisations': len(report.counts),
                'fixed_by': report.vm,
                'missing': missing,
                'seconds': round(self._windows.compute_age(window), 3),
            },
        )

    async def _delete_expired(self, term: _term.UsageTerm) -> None:
        expired = term.pop_expired()
        if expired is not None:
            await self._archive.delete(*expired)

    async def _send_reports(
        self, term: _term.UsageTerm, lease: leases.Lease
    ) -> None:
        pause_seconds = RETRY_SECONDS
        while True:
            report = term.find_sendable(self._is_delayed)
            if report is None or not self._may_call(lease):
                await anyio.sleep(TICK_SECONDS)
                continue
            await self._sendings.run(
                str(report.window),
                functools.partial(self._send, term, lease, report),
                window=report.window,
            )
            if report.window not in term.unsent:
                pause_seconds = RETRY_SECONDS
                await anyio.sleep(self._pause_seconds)
            else:
                await anyio.sleep(max(pause_seconds, self._pause_seconds))
                pause_seconds = min(2 * pause_seconds, MAX_RETRY_SECONDS)

    def _is_delayed(self, window: int) -> bool:
        return self._sendings.is_delayed(str(window))

    def _may_call(self, lease: leases.Lease) -> bool:
        try:
            lease.check()
            if self._settle_seconds:
                lease.check_predecessor_done(self._settle_seconds)
        except errors.LeaseLost:
            return False
        return True

    async def _send(
        self,
        term: _term.UsageTerm,
        lease: leases.Lease,
        report: _archive.FixedReport,
    ) -> None:
        """Send a report once; record it if the platform has taken it."""
        self._last_call_at = anyio.current_time()
        try:
            await self._api.report_usage(
                lease, duties.UsageReport(report.window, report.counts)
            )
        except errors.LeaseLost as error:
            if error.peer:
                # The platform has seen a successor.
                raise
            LOG.debug('no usage report is sent now: %s', error)
            return
        except errors.PlatformError as error:
            self._metrics.count('usage_reports', outcome='failed')
            LOG.info(
                'usage report is not confirmed: %s',
                error,
                extra={'window': report.window},
            )
            return
        self._record_sent(term, lease, report)

    def _record_sent(
        self,
        term: _term.UsageTerm,
        lease: leases.Lease,
        report: _archive.FixedReport,
    ) -> None:
        age_seconds = term.record_sent(report.window)
        is_late = age_seconds > self._windows.late_seconds
        self._metrics.count(
            'usage_reports', outcome='late' if is_late else 'sent'
        )
        LOG.log(
            logging.WARNING if is_late else logging.INFO,
            'usage report is sent',
            extra={
                'window': report.window,
                'requests': sum(report.counts.values()),
                'fencing_token': lease.fencing_token,
                'seconds': round(age_seconds, 3),
            },
        )

    def _count_open_windows(self) -> float:
        term = self._term
        if term is None or not term.is_loaded:
            return 0.0
        waiting = self._windows.current - term.ledger.next_window
        return max(waiting, 0) + len(term.unsent)

    def summarize(self) -> dict[str, object]:
        """Return the state of the term, for the state dump."""
        return {} if self._term is None else self._term.summarize()


@contextlib.contextmanager
def _log_failures(action: str) -> collections.abc.Iterator[None]:
    """Log the errors of one round, so that the next round goes on."""
    try:
        yield
    except errors.PlatformError as error:
        LOG.info('cannot %s: %s', action, error)
    except Exception:
        LOG.exception('cannot %s', action)
