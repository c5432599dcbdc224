"""Routing policies that keep no state for each server."""

import random
import statistics

from swiftjunction import backends
from swiftjunction.routing import _policy

# A server that reports a load of 1 counts as if this process had this many
# more requests on it. With a higher weight, all entry processes choose the
# same servers while the reports are outdated; see docs/design/routing.md for
# figures.
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
    """Chooses the server with the fewest requests in flight from here.

    Requests of other processes are not counted.
    """

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
    """Draws two servers and chooses the one expected to respond first.

    Reported loads are outdated and the same in every entry process, so
    choosing the minimum would send all requests to one server at once. Two
    random choices spread them. In addition, the requests that this process
    has in flight on a server count at once, before the next report.
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
    """Return the server that is expected to respond first.

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
    """Return the estimated requests on a server, including one more.

    The estimate combines the reported load with the requests that this
    process has in flight. It is raised during the slow start of a server.
    """
    requests = (
        server.decayed_load * LOAD_WEIGHT_REQUESTS + server.in_flight + 1
    )
    return requests / server.health.compute_load_share()


def estimate_latency_scaled_loads(
    candidates: _policy.Candidates,
) -> dict[str, float]:
    """Return the estimated requests on each server, scaled by latency.

    Latencies are divided by their median, so the unit is requests on a
    server of median latency.
    """
    known = [s.latency_seconds for s in candidates if s.latency_seconds]
    median_seconds = statistics.median(known) if known else 1.0
    return {
        server.name: estimate_requests(server)
        * ((server.latency_seconds or median_seconds) / median_seconds)
        for server in candidates
    }
