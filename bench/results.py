"""What a run recorded, as written to ``result.json``."""

import collections
import os
import pathlib

import hdrh.histogram
import msgspec

from bench import plan

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
MAX_EXAMPLES = 10
MAX_POINTS = 20_000


class Promise(msgspec.Struct):
    """How often a promise was tried, and where it did not hold."""

    tried: int = 0
    violations: int = 0
    examples: list[str] = []

    def note(self, holds: bool, example: str = '') -> None:
        """Count one case."""
        self.tried += 1
        if not holds:
            self.violations += 1
            if len(self.examples) < MAX_EXAMPLES:
                self.examples = [*self.examples, example]


class Point(msgspec.Struct, array_like=True):
    """One call on the time axis."""

    at_seconds: float
    kind: str
    milliseconds: float
    outcome: str


class Event(msgspec.Struct, array_like=True):
    """A fault or a publication on the time axis."""

    at_seconds: float
    text: str


class Result(msgspec.Struct):
    """Everything that a run recorded."""

    experiment: plan.Experiment
    seed: int
    command: str
    cores: int = os.cpu_count() or 0
    memory_gb: int = 0
    whole: bool = False
    seconds: float = 0.0
    promises: dict[str, Promise] = {}
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

    def violations(self) -> int:
        """Return how many cases broke a promise."""
        return sum(p.violations for p in self.promises.values())


class Recorder:
    """Collects what callers, trainers and checks see."""

    def __init__(self) -> None:
        self.promises: dict[str, Promise] = collections.defaultdict(Promise)
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

    def note_call(
        self, at: float, kind: str, seconds: float, outcome: str
    ) -> None:
        """Record one call that ended."""
        self.outcomes[kind][outcome] += 1
        if len(self.points) < MAX_POINTS:
            ms = round(seconds * 1000, 1)
            self.points.append(Point(round(at, 2), kind, ms, outcome))
        name = kind if outcome == 'complete' else f'{kind} {outcome}'
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS
            )
            self._histograms[name] = histogram
        histogram.record_value(max(int(seconds * 1e6), LOWEST_US))

    def fill(self, result: Result) -> None:
        """Write everything into `result`."""
        result.promises = dict(self.promises)
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
    """Write ``result.json``."""
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
    (folder / 'result.json').write_bytes(encoded)


def read_result(folder: str) -> Result:
    """Read the result of a run."""
    data = (pathlib.Path(folder) / 'result.json').read_bytes()
    return msgspec.json.decode(data, type=Result)


def read_memory_gb() -> int:
    """Return the machine's memory."""
    pages = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return round(pages / 2**30)
