"""Routing policies that need no memory of earlier requests."""

import random
import statistics

from swiftjunction import backends
from swiftjunction.routing import _policy

# How many requests of this process weigh as much as a full server. Higher
# weights make entries herd on old reports; docs/design/routing.md has figures.
LOAD_WEIGHT_REQUESTS = 0.5


class RoundRobin(_policy.Policy):
    """Takes the servers in turn: the baseline of the measurements."""

    name = 'round-robin'

    __slots__ = ('_turn',)

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        candidates: _policy.Candidates,
        request: _policy.RoutingRequest,
    ) -> backends.BackendServer:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastOutstanding(_policy.Policy):
    """Takes the server with the fewest requests of this process."""

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
    """Takes the one of two servers, drawn at random, that is done earlier.

    Reported load is old and the same for every entry, so that a minimum over
    it would send all of them to one server at once. Drawing two keeps them
    apart, and this process's own requests correct the report at once.
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
        return choose_earlier(first, second)


def choose_earlier(
    first: backends.BackendServer, second: backends.BackendServer
) -> backends.BackendServer:
    """Return the server that is expected to answer first.

    A latency that is not known is taken to be the other one's.
    """
    first_seconds = first.latency_seconds
    second_seconds = second.latency_seconds
    first_cost = estimate_load(first) * (first_seconds or second_seconds or 1)
    second_cost = estimate_load(second) * (
        second_seconds or first_seconds or 1
    )
    return first if first_cost <= second_cost else second


def estimate_load(server: backends.BackendServer) -> float:
    """Return reported load and own requests, the next one too, as one number.

    A server that is new or just came back counts as fuller than it is.
    """
    requests = server.recent_load * LOAD_WEIGHT_REQUESTS + server.in_flight + 1
    return requests / server.health.compute_share()


def compare_loads(candidates: _policy.Candidates) -> dict[str, float]:
    """Return the load of each server, higher for slower servers.

    The latencies are compared with their median, so that the unit stays
    requests on a server of usual speed.
    """
    known = [s.latency_seconds for s in candidates if s.latency_seconds]
    usual_seconds = statistics.median(known) if known else 1.0
    return {
        server.name: estimate_load(server)
        * ((server.latency_seconds or usual_seconds) / usual_seconds)
        for server in candidates
    }
