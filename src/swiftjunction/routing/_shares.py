"""Fair shares of the flows of a service, while requests have to wait.

One flow, such as an organisation, may send far more requests than usual. It
can then use the capacity that the other flows leave, but not more.
"""

import collections.abc
import math
import random

import msgspec

from swiftjunction import decoding

# Long enough to know the mix of flows, short enough to follow a surge.
TIME_CONSTANT_SECONDS = 2.0
LEVEL_INTERVAL_SECONDS = 0.25
# Peers report each half second; older reports are of another load.
MAX_REPORT_AGE_SECONDS = 2.0
MAX_REPORTED_FLOWS = 32
MAX_RETRY_AFTER_SECONDS = 5.0
# Each flow may use at least this part of what it would get if the demand of
# all flows were reduced by the same factor.
MIN_PART_OF_EQUAL_CUT = 0.5
# With fewer recent requests, chance decides which flow is the largest.
MIN_REQUESTS = 16.0
# Halvings of the interval in which the level is searched.
LEVEL_STEPS = 30
# Rebase the counts before their weights exceed what a float can hold.
MAX_WEIGHT = 1e12


class FlowRate(msgspec.Struct, frozen=True):
    """The load of one flow at one VM, in requests a second.

    Attributes
    ----------
    asked : float
        Requests that asked for a server.
    started : float
        Requests that got one.
    """

    flow: str
    asked: decoding.Seconds
    started: decoding.Seconds


class DecayedCounts:
    """Exponentially decayed counts of events, by name.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_clock', '_counts', '_epoch')

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._epoch = clock()
        # Weighted by their time after the epoch, so that one event changes
        # one count and not all.
        self._counts: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Count one event now."""
        weight = self._compute_weight()
        if weight > MAX_WEIGHT:
            self._rebase()
            weight = 1.0
        self._counts[name] = self._counts.get(name, 0.0) + weight

    def list_rates(self) -> dict[str, float]:
        """Return the events per second of each name."""
        scale = 1 / (self._compute_weight() * TIME_CONSTANT_SECONDS)
        return {name: count * scale for name, count in self._counts.items()}

    def _compute_weight(self) -> float:
        elapsed_seconds = self._clock() - self._epoch
        # After a long idle time the exact age no longer matters.
        return math.exp(min(elapsed_seconds / TIME_CONSTANT_SECONDS, 100.0))

    def _rebase(self) -> None:
        weight = self._compute_weight()
        self._counts = {
            name: count / weight
            for name, count in self._counts.items()
            if count * MAX_WEIGHT > weight
        }
        self._epoch = self._clock()


class FairLevel(msgspec.Struct, frozen=True):
    """How much of each flow's demand is served.

    Attributes
    ----------
    level : float
        The demand up to which a flow is served in full, in requests a
        second; infinity if there is room for all.
    min_part : float
        The part of its demand that each flow may use, however large it is.
    """

    level: float = math.inf
    min_part: float = 1.0

    def compute_part(self, demand: float) -> float:
        """Return the part of a flow's demand that is within its share."""
        if demand <= self.level:
            return 1.0
        return max(self.level / demand, self.min_part)


class FlowShares:
    """Says which requests may wait for a server of one service.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random
        Chooses among the requests of a flow above the level. Chance keeps the
        part also of a flow that rarely comes to this VM, of which a count
        would always let the first few pass.
    """

    __slots__ = (
        '_asked',
        '_clock',
        '_computed_at',
        '_demand',
        '_level',
        '_reports',
        '_rng',
        '_started',
        '_waited_at',
    )

    def __init__(
        self,
        clock: collections.abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._clock = clock
        self._asked = DecayedCounts(clock)
        self._started = DecayedCounts(clock)
        # The rates that peers told, each with the time of its receipt.
        self._reports: dict[str, tuple[float, list[FlowRate]]] = {}
        self._demand: dict[str, float] = {}
        self._level = FairLevel()
        self._computed_at = -math.inf
        self._waited_at = -math.inf

    def record_asked(self, flow: str) -> None:
        """Count a request that asks for a server."""
        self._asked.add(flow)

    def record_started(self, flow: str) -> None:
        """Count a request that got a server."""
        self._started.add(flow)

    def record_report(
        self, peer: str, rates: collections.abc.Iterable[FlowRate]
    ) -> None:
        """Take over the rates that a peer tells."""
        self._reports[peer] = (self._clock(), list(rates))

    def list_rates(self) -> list[FlowRate]:
        """Return the rates of this VM's largest flows, for peers.

        None are returned unless requests had to wait lately.
        """
        if self._clock() - self._waited_at > MAX_REPORT_AGE_SECONDS:
            return []
        asked = self._asked.list_rates()
        started = self._started.list_rates()
        largest = sorted(asked, key=lambda flow: asked[flow], reverse=True)
        return [
            FlowRate(flow, asked[flow], started.get(flow, 0.0))
            for flow in largest[:MAX_REPORTED_FLOWS]
        ]

    def may_wait(self, flow: str) -> bool:
        """Return whether a request that cannot start now may wait.

        Of a flow above the fair level, a random part of the requests may.
        """
        now = self._clock()
        self._waited_at = now
        if now - self._computed_at >= LEVEL_INTERVAL_SECONDS:
            self._update_level(now)
        return self._rng.random() < self._compute_part(flow)

    def estimate_retry_after(self, flow: str) -> float:
        """Return when a refused request of `flow` may wait, in seconds."""
        asked = self._asked.list_rates().get(flow, 0.0)
        share = self._compute_part(flow) * asked
        if not share:
            return MAX_RETRY_AFTER_SECONDS
        return min(
            max(1 / share, LEVEL_INTERVAL_SECONDS), MAX_RETRY_AFTER_SECONDS
        )

    def summarize(self) -> dict[str, object]:
        """Return the level and the flows above it, for the state dump."""
        return {
            'level': (
                self._level.level if math.isfinite(self._level.level) else None
            ),
            'above': {
                flow: round(rate, 2)
                for flow, rate in self._demand.items()
                if rate > self._level.level
            },
        }

    def _compute_part(self, flow: str) -> float:
        return self._level.compute_part(self._demand.get(flow, 0.0))

    def _update_level(self, now: float) -> None:
        self._computed_at = now
        oldest = now - MAX_REPORT_AGE_SECONDS
        self._reports = {
            peer: report
            for peer, report in self._reports.items()
            if report[0] > oldest
        }
        self._demand = self._asked.list_rates()
        room = sum(self._started.list_rates().values())
        for _, rates in self._reports.values():
            for rate in rates:
                known = self._demand.get(rate.flow, 0.0)
                self._demand[rate.flow] = known + rate.asked
                room += rate.started
        requests = sum(self._demand.values()) * TIME_CONSTANT_SECONDS
        self._level = (
            compute_level(self._demand.values(), room)
            # Without any starts, the room is not known.
            if room and requests >= MIN_REQUESTS
            else FairLevel()
        )


def compute_level(
    demands: collections.abc.Iterable[float], room: float
) -> FairLevel:
    """Return the level at which the flows together fill the room.

    Parameters
    ----------
    demands : iterable of float
        The demand of each flow, in requests a second.
    room : float
        What can be served, in requests a second.
    """
    demands = list(demands)
    total = sum(demands)
    if total <= room:
        return FairLevel()
    # A flow that is always large must not starve where all ask for more.
    min_part = MIN_PART_OF_EQUAL_CUT * room / total
    low, high = 0.0, max(demands)
    for _ in range(LEVEL_STEPS):
        fair = FairLevel((low + high) / 2, min_part)
        if sum(d * fair.compute_part(d) for d in demands) > room:
            high = fair.level
        else:
            low = fair.level
    return FairLevel(low, min_part)
