"""One cell of the routing benchmark: entries, engines, callers, faults."""

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
CAPACITY = ENGINES * routing_engines.SLOTS / routing_engines.MEAN_SECONDS
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 10.0
CRASH_AT_SECONDS = 4.0
CRASH_SECONDS = 3.0
# How long until the conductor that watches an engine has told every entry.
REPORT_SECONDS = 1.0
TIMEOUT_SECONDS = 5.0
SAMPLE_TIMEOUT_SECONDS = 120.0
SAMPLE_PAUSE_SECONDS = 0.01
PREFIXES = 120
SLOW_FACTOR = 10.0


class Cell(msgspec.Struct, frozen=True):
    """What is run.

    Attributes
    ----------
    load : float
        Of callers, as a part of the engines' capacity when all are well.
    fault : str
        ``none``, ``slow``, ``crash`` or ``both``.
    limits : bool
        Whether each engine has a concurrency limit.
    prefill_seconds : float
        Cost of a prompt whose prefix is not cached.
    samples : int
        Samples that trainers would have on each engine at once.
    ceiling : float, optional
        Reported load from which on samples wait.
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
    """What callers saw, in seconds from their arrival.

    Attributes
    ----------
    errors : dict
        How many requests ended so; ``NotRun`` is a refusal.
    p50, p99, p999 : float
        Of all that were not refused; who got no answer counts with the time
        until that was said.
    goodput_per_second : float
        Answers before the end of the run.
    retries_share : float
        Attempts after the first, as a part of first attempts.
    hits : float
        The part of requests whose prefix was cached.
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
    requests = 1_000_000

    def record_latency(
        self, seconds: float, in_flight: int, now: float, distorted: bool
    ) -> None:
        """Learn nothing."""

    def record_failure(self) -> None:
        """Learn nothing."""


class SimulatedEntry:
    """One entry: the real classes, over engines in the same process."""

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
        board = weights.VersionTracker(self.table)
        self.client = routing_engines.SimulatedEngineClient(engines)
        self.generator = requests.CompletionGenerator(
            routing.Router(self.directory, 'dc-1', rng),
            self.client,
            board,
            requests.RetryBudget(),
            requests.SuspectTracker(self.table, name, clock),
        )
        for engine in engines:
            self.report(engine, 'live')
        if not cell.limits:
            for server in self.directory.select('fit'):
                server.limit = _NoLimit()

    def report(self, engine: str, state: str) -> None:
        report = backends.ServerReport(
            engine, f'{engine}:1', 'fit', 'dc-1', '', state, 1
        )
        self.table.put(f'server/{engine}', msgspec.msgpack.encode(report))


class _Run:
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
        # Crash reports travel between entries; here at once.
        for entry in self._entries:
            entry.table.listen('crash/', self._spread)
        self._settings = configuration.PathSettings(
            model='fit',
            policy=cell.policy,
            sample_load_ceiling=cell.ceiling,
        )
        self._latencies: list[float] = []
        self._refused: list[float] = []
        self._errors: collections.Counter[str] = collections.Counter()
        self._requests = 0
        self._answers = 0
        self._in_time = 0
        self._samples = 0

    def _spread(self, record: links.Record) -> None:
        for entry in self._entries:
            entry.table.apply([record])

    async def run(self) -> Outcome:
        started = time.process_time()
        async with anyio.create_task_group() as tasks:
            if self._cell.fault in ('crash', 'both'):
                tasks.start_soon(self._crash)
            self._start_samples(tasks)
            async with anyio.create_task_group() as callers:
                await self._arrive(callers)
            tasks.cancel_scope.cancel()
        return self._sum_up(time.process_time() - started)

    async def _arrive(self, tasks: anyio.abc.TaskGroup) -> None:
        rate = CAPACITY * self._cell.load
        number = 0
        while anyio.current_time() < RUN_SECONDS:
            await anyio.sleep(self._rng.expovariate(rate))
            number += 1
            tasks.start_soon(self._ask, number)

    def _start_samples(self, tasks: anyio.abc.TaskGroup) -> None:
        rollout = SimulatedEntry(
            'rollout',
            self._cell,
            self._engines,
            backends.SAMPLE_LATENCY_TOLERANCE,
        )
        for number in range(self._cell.samples * ENGINES):
            tasks.start_soon(self._sample, rollout, number)

    async def _sample(self, rollout: SimulatedEntry, number: int) -> None:
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

    async def _ask(self, number: int) -> None:
        arrived = anyio.current_time()
        measured = arrived >= WARM_UP_SECONDS
        entry = self._rng.choice(self._entries)
        prefix = f'{self._rng.randrange(PREFIXES):<64}'
        call = requests.GenerationCall(
            f'r{number}',
            'demo',
            self._settings,
            f'{prefix}{number}',
            16,
            arrived + TIMEOUT_SECONDS,
            priority=1,
        )
        self._requests += measured
        try:
            with entry.admission.admit('demo', self._settings):
                async for _ in entry.generator.generate(call):
                    pass
        except errors.RequestError as error:
            if measured:
                self._note_error(error, anyio.current_time() - arrived)
            return
        if measured:
            self._answers += 1
            self._in_time += anyio.current_time() < RUN_SECONDS
            self._latencies.append(anyio.current_time() - arrived)

    def _note_error(self, error: errors.RequestError, seconds: float) -> None:
        self._errors[type(error).__name__] += 1
        if isinstance(error, errors.NotRun):
            self._refused.append(seconds)
        else:
            # Who waited in vain waited at least as long as those answered.
            self._latencies.append(seconds)

    async def _crash(self) -> None:
        await anyio.sleep(CRASH_AT_SECONDS)
        self._engines['engine-1'].crash()
        await anyio.sleep(REPORT_SECONDS)
        self._report('engine-1', 'down')
        await anyio.sleep(CRASH_SECONDS - REPORT_SECONDS)
        self._engines['engine-1'].restart()
        await anyio.sleep(REPORT_SECONDS)
        self._report('engine-1', 'live')

    def _report(self, engine: str, state: str) -> None:
        for entry in self._entries:
            entry.report(engine, state)

    def _sum_up(self, processor_seconds: float) -> Outcome:
        self._latencies.sort()
        self._refused.sort()
        started = sum(e.started for e in self._engines.values())
        hits = sum(e.hits for e in self._engines.values())
        first = sum(e.client.first_attempts for e in self._entries)
        retries = sum(e.client.retries for e in self._entries)
        return Outcome(
            self._cell,
            self._requests,
            self._answers,
            dict(self._errors),
            pick(self._latencies, 0.5),
            pick(self._latencies, 0.99),
            pick(self._latencies, 0.999),
            pick(self._refused, 0.99),
            self._in_time / (RUN_SECONDS - WARM_UP_SECONDS),
            retries / max(first, 1),
            hits / started,
            self._samples,
            processor_seconds,
        )


def pick(ordered: list[float], quantile: float) -> float:
    """Return a quantile of values in order; 0 where there are none."""
    if not ordered:
        return 0.0
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


async def _run_cell(cell: Cell) -> Outcome:
    return await _Run(cell).run()


def run_cell(cell: Cell) -> Outcome:
    """Run one cell in virtual time."""
    return routing_virtual.run(_run_cell, cell)
