"""Routing policies that keep no state about servers."""

import random
import statistics

from swiftjunction import backends
from swiftjunction.routing import _policy

# A server that reports a load of 1 counts as if this process had so many more
# requests on it. With a higher weight, entries herd on servers whose reports
# are stale; see docs/design/routing.md for figures.
LOAD_WEIGHT_REQUESTS = 0.5


class RoundRobin(_policy.Policy):
    """Chooses the servers in turn; the baseline of the benchmarks."""

    name = 'round-robin'

    __slots__ = ('_count',)

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self,
        candidates: _policy.Candidates,
        request: _policy.RoutingRequest,
    ) -> backends.BackendServer:
        self._count += 1
        return candidates[self._count % len(candidates)]


class LeastOutstanding(_policy.Policy):
    """Chooses the server with the fewest requests of this process."""

    name = 'least-outstanding'

    __slots__ = ('_rng',)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: _policy.Candidates,
        request: _policy.RoutingRequest,
    ) -> backends.BackendServer:
        return min(candidates, key=lambda s: (s.in_flight, self._rng.random()))


class TwoChoices(_policy.Policy):
    """Draws two servers and chooses the one expected to answer first.

    Reported loads are stale and the same for every entry, so choosing the
    minimum would send all requests to one server at once. Two random choices
    spread them, and the requests of this process correct a stale report at
    once.
    """

    name = 'two-choices'

    __slots__ = ('_rng',)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: _policy.Candidates,
        request: _policy.RoutingRequest,
    ) -> backends.BackendServer:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return choose_faster(first, second)


def choose_faster(
    first: backends.BackendServer, second: backends.BackendServer
) -> backends.BackendServer:
    """Return the server that is expected to answer first.

    An unknown latency is assumed to equal that of the other server.
    """
    first_seconds = first.latency_seconds
    second_seconds = second.latency_seconds
    first_cost = estimate_requests(first) * (
        first_seconds or second_seconds or 1
    )
    second_cost = estimate_requests(second) * (
        second_seconds or first_seconds or 1
    )
    return first if first_cost <= second_cost else second


def estimate_requests(server: backends.BackendServer) -> float:
    """Return the load of a server with one more request, in requests.

    It combines the reported load with the requests of this process. During
    slow start, a server counts as more loaded than it is.
    """
    requests = (
        server.decayed_load * LOAD_WEIGHT_REQUESTS + server.in_flight + 1
    )
    return requests / server.health.compute_load_share()


def estimate_latency_scaled_loads(
    candidates: _policy.Candidates,
) -> dict[str, float]:
    """Return the load of each server, scaled by its relative latency.

    Latencies are relative to their median, so the unit is requests on a
    server of median latency.
    """
    known = [s.latency_seconds for s in candidates if s.latency_seconds]
    median_seconds = statistics.median(known) if known else 1.0
    return {
        server.name: estimate_requests(server)
        * ((server.latency_seconds or median_seconds) / median_seconds)
        for server in candidates
    }
