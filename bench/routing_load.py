"""Simulates one cell of the matrix of the routing benchmark.

A cell has entries, engines, callers, and optionally samples and faults.
"""

import collections
import contextlib
import random
import time

import anyio
import anyio.abc
import msgspec

from bench import routing_engines
from bench import routing_virtual
from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction import routing
from swiftjunction import weights

ENTRIES = 4
ENGINES = 10
CAPACITY_PER_SECOND = (
    ENGINES * routing_engines.SLOTS / routing_engines.MEAN_SERVICE_SECONDS
)
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 10.0
CRASH_AT_SECONDS = 4.0
OUTAGE_SECONDS = 3.0
# From the crash or restart of an engine until every entry has the report of
# the conductor that monitors the engine.
REPORT_DELAY_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 5.0
SAMPLE_TIMEOUT_SECONDS = 120.0
SAMPLE_PAUSE_SECONDS = 0.01
PREFIX_COUNT = 120
SLOW_FACTOR = 10.0


class Cell(msgspec.Struct, frozen=True):
    """Parameters of one run.

    Attributes
    ----------
    policy : str
        Routing policy.
    load : float
        Arrival rate of the callers' requests, as a fraction of the capacity
        of the engines without faults.
    fault : str
        ``none``, ``slow``, ``crash`` or ``both``.
    limits : bool
        Whether each engine has a concurrency limit.
    prefill_seconds : float
        Additional duration of a request whose prefix is not cached.
    samples : int
        Concurrent samples that trainers request per engine.
    ceiling : float, optional
        Reported load of an engine from which on samples wait.
    seed : int
        Seed of all random numbers.
    """

    policy: str
    load: float
    fault: str = 'none'
    limits: bool = True
    prefill_seconds: float = 0.0
    samples: int = 0
    ceiling: float | None = None
    seed: int = 1


class Outcome(msgspec.Struct):
    """Results of one run; latencies are in seconds since the arrival.

    Attributes
    ----------
    cell : Cell
        Parameters of the run.
    requests, answers : int
        Requests that arrived after the warm-up, and that succeeded.
    errors : dict
        Number of failed requests by the class of the error; ``NotRun`` means
        that the request was refused.
    p50, p99, p999 : float
        Latency quantiles of all requests that were not refused; a failed
        request counts with the time until its error.
    refused_p99 : float
        Latency quantile of the refused requests.
    goodput_per_second : float
        Rate of requests that succeeded before the end of the run.
    retries_share : float
        Ratio of retries to first attempts.
    hits : float
        Fraction of requests that hit the prefix cache.
    samples : int
        Samples that trainers received.
    processor_seconds : float
        Processor time of the run.
    """

    cell: Cell
    requests: int = 0
    answers: int = 0
    errors: dict[str, int] = {}
    p50: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    refused_p99: float = 0.0
    goodput_per_second: float = 0.0
    retries_share: float = 0.0
    hits: float = 0.0
    samples: int = 0
    processor_seconds: float = 0.0


class _NoLimit:
    """Concurrency limit that no load reaches."""

    requests = 1_000_000

    def record_latency(
        self, seconds: float, in_flight: int, now: float, distorted: bool
    ) -> None:
        """Ignore the observation."""

    def record_failure(self) -> None:
        """Ignore the observation."""


class SimulatedEntry:
    """The real components of an entry, over simulated engines."""

    def __init__(
        self,
        name: str,
        cell: Cell,
        engines: dict[str, routing_engines.SimulatedEngine],
        latency_tolerance: float | None = None,
    ) -> None:
        self.table = membership.RecordTable()
        clock = anyio.current_time
        self.directory = backends.Directory(self.table, clock)
        if latency_tolerance is not None:
            self.directory.latency_tolerance = latency_tolerance
        rng = random.Random(f'{cell.seed} {name}')
        self.admission = requests.AdmissionController(1024, clock)
        version_tracker = weights.VersionTracker(self.table)
        self.client = routing_engines.SimulatedEngineClient(engines)
        self.generator = requests.CompletionGenerator(
            routing.Router(self.directory, 'dc-1', rng),
            self.client,
            version_tracker,
            requests.RetryBudget(),
            requests.SuspectTracker(
                requests.RecordCrashRegistry(self.table), name, clock
            ),
        )
        for engine in engines:
            self.report(engine, 'live')
        if not cell.limits:
            for server in self.directory.select('fit'):
                server.limit = _NoLimit()

    def report(self, engine: str, state: str) -> None:
        """Store a report that the engine is in the state `state`."""
        report = backends.ServerReport(
            engine, f'{engine}:1', 'fit', 'dc-1', '', state, 1
        )
        self.table.put(f'server/{engine}', msgspec.msgpack.encode(report))


class _Simulation:
    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._rng = random.Random(f'{cell.seed} callers {cell.load}')
        self._engines = {
            f'engine-{number}': routing_engines.SimulatedEngine(
                random.Random(f'{cell.seed} engine {number}')
            )
            for number in range(ENGINES)
        }
        for engine in self._engines.values():
            engine.prefill_seconds = cell.prefill_seconds
        if cell.fault in ('slow', 'both'):
            self._engines['engine-0'].slow_factor = SLOW_FACTOR
        self._entries = [
            SimulatedEntry(f'entry-{number}', cell, self._engines)
            for number in range(ENTRIES)
        ]
        # Crash reports reach all entries without a delay.
        for entry in self._entries:
            entry.table.listen('crash/', self._replicate)
        self._settings = configuration.PathSettings(
            model='fit',
            policy=cell.policy,
            sample_load_ceiling=cell.ceiling,
        )
        self._latencies: list[float] = []
        self._refusal_latencies: list[float] = []
        self._errors: collections.Counter[str] = collections.Counter()
        self._requests = 0
        self._answers = 0
        self._answers_before_end = 0
        self._samples = 0

    def _replicate(self, record: links.Record) -> None:
        for entry in self._entries:
            entry.table.apply([record])

    async def run(self) -> Outcome:
        cpu_started = time.process_time()
        async with anyio.create_task_group() as tasks:
            if self._cell.fault in ('crash', 'both'):
                tasks.start_soon(self._crash)
            self._start_trainers(tasks)
            async with anyio.create_task_group() as callers:
                await self._generate_arrivals(callers)
            tasks.cancel_scope.cancel()
        return self._summarize(time.process_time() - cpu_started)

    async def _generate_arrivals(self, tasks: anyio.abc.TaskGroup) -> None:
        rate = CAPACITY_PER_SECOND * self._cell.load
        number = 0
        while anyio.current_time() < RUN_SECONDS:
            await anyio.sleep(self._rng.expovariate(rate))
            number += 1
            tasks.start_soon(self._send_request, number)

    def _start_trainers(self, tasks: anyio.abc.TaskGroup) -> None:
        rollout = SimulatedEntry(
            'rollout',
            self._cell,
            self._engines,
            backends.SAMPLE_LATENCY_TOLERANCE,
        )
        for number in range(self._cell.samples * ENGINES):
            tasks.start_soon(self._request_samples, rollout, number)

    async def _request_samples(
        self, rollout: SimulatedEntry, number: int
    ) -> None:
        while True:
            call = requests.GenerationCall(
                f's{number}',
                'demo',
                self._settings,
                f'{number:<64}',
                16,
                anyio.current_time() + SAMPLE_TIMEOUT_SECONDS,
                priority=-1,
            )
            with contextlib.suppress(errors.RequestError):
                async for _ in rollout.generator.generate(call):
                    self._samples += 1
            await anyio.sleep(SAMPLE_PAUSE_SECONDS)

    async def _send_request(self, number: int) -> None:
        arrived_at = anyio.current_time()
        measured = arrived_at >= WARM_UP_SECONDS
        entry = self._rng.choice(self._entries)
        prefix = f'{self._rng.randrange(PREFIX_COUNT):<64}'
        call = requests.GenerationCall(
            f'r{number}',
            'demo',
            self._settings,
            f'{prefix}{number}',
            16,
            arrived_at + REQUEST_TIMEOUT_SECONDS,
            priority=1,
        )
        self._requests += measured
        try:
            with entry.admission.admit('demo', self._settings):
                async for _ in entry.generator.generate(call):
                    pass
        except errors.RequestError as error:
            if measured:
                self._record_error(error, anyio.current_time() - arrived_at)
            return
        if measured:
            self._answers += 1
            self._answers_before_end += anyio.current_time() < RUN_SECONDS
            self._latencies.append(anyio.current_time() - arrived_at)

    def _record_error(
        self, error: errors.RequestError, seconds: float
    ) -> None:
        self._errors[type(error).__name__] += 1
        if isinstance(error, errors.NotRun):
            self._refusal_latencies.append(seconds)
        else:
            # A failed request waited at least as long as answered ones, so
            # leaving it out would make the quantiles too low.
            self._latencies.append(seconds)

    async def _crash(self) -> None:
        await anyio.sleep(CRASH_AT_SECONDS)
        self._engines['engine-1'].crash()
        await anyio.sleep(REPORT_DELAY_SECONDS)
        self._report('engine-1', 'down')
        await anyio.sleep(OUTAGE_SECONDS - REPORT_DELAY_SECONDS)
        self._engines['engine-1'].restart()
        await anyio.sleep(REPORT_DELAY_SECONDS)
        self._report('engine-1', 'live')

    def _report(self, engine: str, state: str) -> None:
        for entry in self._entries:
            entry.report(engine, state)

    def _summarize(self, processor_seconds: float) -> Outcome:
        self._latencies.sort()
        self._refusal_latencies.sort()
        started = sum(e.started for e in self._engines.values())
        hits = sum(e.hits for e in self._engines.values())
        first = sum(e.client.first_attempts for e in self._entries)
        retries = sum(e.client.retries for e in self._entries)
        return Outcome(
            self._cell,
            self._requests,
            self._answers,
            dict(self._errors),
            find_quantile(self._latencies, 0.5),
            find_quantile(self._latencies, 0.99),
            find_quantile(self._latencies, 0.999),
            find_quantile(self._refusal_latencies, 0.99),
            self._answers_before_end / (RUN_SECONDS - WARM_UP_SECONDS),
            retries / max(first, 1),
            hits / started,
            self._samples,
            processor_seconds,
        )


def find_quantile(ordered: list[float], quantile: float) -> float:
    """Return a quantile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


async def _run_cell(cell: Cell) -> Outcome:
    return await _Simulation(cell).run()


def run_cell(cell: Cell) -> Outcome:
    """Simulate one cell in virtual time."""
    return routing_virtual.run(_run_cell, cell)
