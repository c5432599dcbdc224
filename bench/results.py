"""The records of a run and their file ``result.json``."""

import collections
import os
import pathlib

import hdrh.histogram
import msgspec

from bench import experiment_file

# Range and precision of the latency histograms.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
# Bounds the size of the result file.
MAX_EXAMPLES = 10
MAX_POINTS = 20_000


class Invariant(msgspec.Struct):
    """A property that must hold in every case, and where it did not.

    Attributes
    ----------
    cases : int
        Number of cases that were checked.
    violations : int
        Number of cases in which the property did not hold.
    examples : list of str
        Descriptions of the first violations.
    """

    cases: int = msgspec.field(name='tried', default=0)
    violations: int = 0
    examples: list[str] = []

    def record(self, holds: bool, example: str = '') -> None:
        """Record one case, with a description in case it is a violation."""
        self.cases += 1
        if not holds:
            self.violations += 1
            if len(self.examples) < MAX_EXAMPLES:
                self.examples = [*self.examples, example]


class Point(msgspec.Struct, array_like=True):
    """One call or step.

    Attributes
    ----------
    at_seconds : float
        Start, in seconds of load.
    kind : str
        Kind of call, or ``step``.
    milliseconds : float
        Latency.
    outcome : str
        ``complete`` or how the call failed.
    """

    at_seconds: float
    kind: str
    milliseconds: float
    outcome: str


class Event(msgspec.Struct, array_like=True):
    """A fault or a publication.

    Attributes
    ----------
    at_seconds : float
        Time, in seconds of load.
    text : str
        Description; starts with ``version`` for a publication.
    """

    at_seconds: float
    text: str


class Result(msgspec.Struct):
    """Everything that a run recorded.

    Attributes
    ----------
    experiment : Experiment
        The experiment that ran.
    seed : int
        Seed of the run.
    command : str
        Command that repeats the run.
    cores : int
        Processor cores of the machine.
    memory_gb : int
        Memory of the machine, in GiB.
    is_complete : bool
        Whether the run came to its end.
    seconds : float
        Duration of the load and the checks after it.
    invariants : dict of str to Invariant
        Checked invariants by name.
    outcomes : dict of str to dict
        Number of calls by kind and outcome.
    histograms : dict of str to str
        Encoded HdrHistogram of latencies, in microseconds, by kind.
    percentiles_ms : dict of str to dict
        Percentiles of the histograms, in milliseconds, by kind.
    staleness : dict of str to dict
        Number of answers and samples by versions behind the newest.
    idle_seconds : list of float
        How long a trainer waited for each step.
    steps, samples, versions : int
        Number of finished steps, received samples and published versions.
    points : list of Point
        Calls and steps for the timeline.
    events : list of Event
        Faults and publications for the timeline.
    processes : dict of str to dict
        CPU seconds and memory, in MiB, of each process.
    """

    experiment: experiment_file.Experiment
    seed: int
    command: str
    cores: int = os.cpu_count() or 0
    memory_gb: int = 0
    is_complete: bool = msgspec.field(name='whole', default=False)
    seconds: float = 0.0
    invariants: dict[str, Invariant] = msgspec.field(
        name='promises', default={}
    )
    outcomes: dict[str, dict[str, int]] = {}
    histograms: dict[str, str] = {}
    percentiles_ms: dict[str, dict[str, float]] = {}
    staleness: dict[str, dict[int, int]] = {}
    idle_seconds: list[float] = []
    steps: int = 0
    samples: int = 0
    versions: int = 0
    points: list[Point] = []
    events: list[Event] = []
    processes: dict[str, dict[str, float]] = {}

    def count_violations(self) -> int:
        """Return the number of violations of all invariants."""
        return sum(i.violations for i in self.invariants.values())


class Recorder:
    """Collects the observations of workloads and checks during a run."""

    def __init__(self) -> None:
        self.invariants: dict[str, Invariant] = collections.defaultdict(
            Invariant
        )
        self.outcomes: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.staleness: dict[str, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        self.points: list[Point] = []
        self.events: list[Event] = []
        self.idle_seconds: list[float] = []
        self.steps = 0
        self.samples = 0
        self._histograms: dict[str, hdrh.histogram.HdrHistogram] = {}

    def record_call(
        self,
        started_at_seconds: float,
        kind: str,
        seconds: float,
        outcome: str,
    ) -> None:
        """Record the latency and outcome of a call.

        Parameters
        ----------
        started_at_seconds : float
            Start, in seconds of load.
        kind : str
            Kind of call.
        seconds : float
            Latency.
        outcome : str
            ``complete`` or how the call failed.
        """
        self.outcomes[kind][outcome] += 1
        if len(self.points) < MAX_POINTS:
            ms = round(seconds * 1000, 1)
            self.points.append(
                Point(round(started_at_seconds, 2), kind, ms, outcome)
            )
        name = kind if outcome == 'complete' else f'{kind} {outcome}'
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._histograms[name] = histogram
        histogram.record_value(max(int(seconds * 1e6), MIN_LATENCY_US))

    def copy_to(self, result: Result) -> None:
        """Copy all records to `result`."""
        result.invariants = dict(self.invariants)
        result.outcomes = {k: dict(v) for k, v in self.outcomes.items()}
        result.staleness = {k: dict(v) for k, v in self.staleness.items()}
        result.points, result.events = self.points, self.events
        result.idle_seconds = self.idle_seconds
        result.steps, result.samples = self.steps, self.samples
        for name, histogram in self._histograms.items():
            result.histograms[name] = histogram.encode().decode()
            result.percentiles_ms[name] = {
                f'p{p:g}': histogram.get_value_at_percentile(p) / 1000
                for p in (50, 90, 99, 99.9, 100)
            }


def write_result(result: Result, folder: pathlib.Path) -> None:
    """Write ``result.json`` to `folder`."""
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
    (folder / 'result.json').write_bytes(encoded)


def read_result(folder: str) -> Result:
    """Read the result in a folder."""
    data = (pathlib.Path(folder) / 'result.json').read_bytes()
    return msgspec.json.decode(data, type=Result)


def read_memory_gb() -> int:
    """Return the memory of this machine, rounded to GiB."""
    memory_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return round(memory_bytes / 2**30)
