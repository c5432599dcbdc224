"""VMs that count and report usage, with virtual time and no network."""

import contextlib
import itertools
import random

import anyio

from swiftjunction import coordination
from swiftjunction import duties
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import telemetry
from swiftjunction import usage
from tests import conftest
from tests.cover.test_coordination import make_entry
from tests import virtualtime

WINDOW_SECONDS = 5.0
LATE_SECONDS = 10.0
LEASE_SECONDS = 3.0
# The start of window 1000.
START_UNIX = 5000.0
LATENCY_SECONDS = 0.002
BACKEND_OPTIONS = {'loop_factory': virtualtime.VirtualTimeLoop}


class FakeApi(duties.DutyApi):
    """Takes reports, and notes what must never happen.

    Attributes
    ----------
    faults : list of str
        Those of the next calls: ``busy``, ``lost`` (carried out without an
        answer), ``late`` (carried out 3 s after the answer was given up) or
        ``fenced``.
    sent_at : dict of int to float
        When each window was first reported, in virtual seconds.
    """

    def __init__(self):
        self.faults = []
        self.reports = {}
        self.sent_at = {}
        self.calls = []
        self.wrong = []
        self._late_tasks = []

    async def report_usage(self, lease, report):
        lease.check()
        fault = self.faults.pop(0) if self.faults else 'ok'
        token = lease.fencing_token
        if fault == 'busy':
            raise errors.PlatformUnavailable('busy', step='test')
        if fault == 'fenced':
            raise errors.LeaseLost('fenced', step='test', peer='api')
        if fault == 'late':
            self._late_tasks.append((anyio.current_time() + 3, token, report))
        else:
            self._carry_out(token, report)
        if fault in ('lost', 'late'):
            await anyio.sleep(1)
            raise errors.WriteUncertain('no answer', step='test')

    async def order_servers(self, lease, order):
        raise AssertionError('no servers are ordered here')

    async def run(self):
        while True:
            await anyio.sleep(0.1)
            now = anyio.current_time()
            for call in [c for c in self._late_tasks if c[0] <= now]:
                self._late_tasks.remove(call)
                self._carry_out(*call[1:])

    def _carry_out(self, token, report):
        self.calls.append((anyio.current_time(), token, report.window))
        known = self.reports.setdefault(report.window, report.counts)
        if known != report.counts:
            self.wrong.append(f'window {report.window}: two reports')
        self.sent_at.setdefault(report.window, anyio.current_time())

    def sum_windows(self, organisation):
        return sum(c.get(organisation, 0) for c in self.reports.values())


class FakeDatagrams:
    """Delivers messages to the other VMs of a fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.handlers = {}

    def listen(self, kind, handler):
        self.handlers[kind] = handler

    async def send(self, message, address):
        self.fleet.deliver(self.name, address, message)


class FleetVm:
    """One run of the process of a VM."""

    def __init__(self, fleet, name):
        self.name = name
        self.scope = anyio.CancelScope()
        self.member = coordination.Member(
            name,
            conftest.make_address(name, 1),
            '',
            'dc',
            'r',
            f'run-{next(fleet.numbers)}',
        )
        self.members = coordination.MemberTable(
            self.member, anyio.current_time
        )
        self.windows = usage.Windows(
            WINDOW_SECONDS,
            LATE_SECONDS,
            lambda: (
                START_UNIX + anyio.current_time() + fleet.steps.get(name, 0.0)
            ),
        )
        self.counter = usage.UsageCounter(self.windows)
        self.reporter = usage.UsageReporter(
            fleet.api,
            usage.UsageArchive(fleet.store),
            self.windows,
            self.members,
            telemetry.Metrics(),
            50.0,
            LEASE_SECONDS,
            fleet.settle_seconds,
        )
        self.exchange = usage.UsageExchange(
            self.counter, self.windows, self.members, self.reporter, fleet.rng
        )
        self.datagrams = FakeDatagrams(fleet, name)
        self.exchange.connect(self.datagrams)

    async def run(self):
        with self.scope:
            await self.exchange.run()

    def count(self, organisation='org', times=1):
        """Count requests that have run."""
        for _ in range(times):
            self.counter.settle(self.counter.count(organisation))


class UsageFleet:
    """VMs, a store and an API.

    Attributes
    ----------
    cut : set of (str, str)
        Pairs of VMs of which the first does not reach the second.
    loss : float
        The share of messages that are lost.
    steps : dict of str to float
        By how many seconds the clock of a VM is wrong.
    """

    def __init__(self, names, settle_seconds=0.0, seed=1):
        self.names = names
        self.settle_seconds = settle_seconds
        self.numbers = itertools.count()
        self.rng = random.Random(seed)
        self.store = conftest.MemoryStore()
        self.api = FakeApi()
        self.vms = {}
        self.cut = set()
        self.loss = 0.0
        self.steps = {}
        self.token = 0
        self.coordinator = None
        self.lease = None
        self._term_scope = None

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self.api.run)
            for name in self.names:
                self.start(name)
            self.elect(self.names[0])
            yield
            self._tasks.cancel_scope.cancel()

    def start(self, name):
        """Start the process of a VM; its former run has ended."""
        vm = self.vms[name] = FleetVm(self, name)
        for other in self.vms.values():
            other.members.apply_entry(make_entry(vm.member))
            vm.members.apply_entry(make_entry(other.member))
            vm.members.record_coordinator(*other.members.newest_coordinator)
        self._tasks.start_soon(vm.run)
        return vm

    def kill(self, name):
        """Kill the process of a VM, and its term if it coordinates."""
        if name == self.coordinator:
            self.depose()
        self.vms[name].scope.cancel()
        self.vms[name].reporter._term = None
        self.vms[name].datagrams.handlers.clear()

    def elect(self, name):
        """Have a VM coordinate under a new fencing token."""
        self.depose()
        self.token += 1
        self.coordinator = name
        self.lease = leases.Lease(
            'coordinator',
            self.token,
            anyio.current_time() + 1e6,
            anyio.current_time,
            has_predecessor=self.token > 1,
        )
        for vm in self.vms.values():
            vm.members.record_coordinator(name, self.token)
        self._term_scope = anyio.CancelScope()
        self._tasks.start_soon(
            self._run_term, self.vms[name], self.lease, self._term_scope
        )

    async def _run_term(self, vm, lease, scope):
        with scope:
            try:
                await vm.reporter.run(lease)
            except* errors.LeaseLost:
                self.coordinator = None

    def depose(self):
        """End the term of the coordinator."""
        if self._term_scope is not None:
            self._term_scope.cancel()
        self.coordinator = None

    def deliver(self, sender, address, message):
        receiver = conftest.find_name(address, self.vms)
        is_lost = self.rng.random() < self.loss
        if not is_lost and (sender, receiver) not in self.cut:
            self._tasks.start_soon(
                self._deliver_later,
                conftest.make_address(sender, 1),
                receiver,
                message,
            )

    async def _deliver_later(self, sender, receiver, message):
        await anyio.sleep(LATENCY_SECONDS * (1 + self.rng.random()))
        handlers = self.vms[receiver].datagrams.handlers
        if type(message) in handlers:
            await handlers[type(message)](message, sender)

    async def sleep_until_age(self, window, seconds):
        """Sleep until some seconds after the end of a window (from 0)."""
        await anyio.sleep_until((window + 1) * WINDOW_SECONDS + seconds)

    def get_report(self, window):
        """Return the report of a window, the first of which is 0."""
        return self.api.reports.get(1000 + window)

    def get_delay(self, window):
        """Return how long after its end a window was reported."""
        return self.api.sent_at[1000 + window] - (window + 1) * WINDOW_SECONDS
