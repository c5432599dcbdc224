"""Routing policies that need no memory of earlier requests."""

import random

from swiftjunction import backends
from swiftjunction.routing import _policy

# How many requests of this process weigh as much as a full server.
LOAD_WEIGHT_REQUESTS = 8.0


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
    """Takes the less loaded of two servers drawn at random.

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
        first, second = self._rng.sample(list(candidates), 2)
        return min(first, second, key=estimate_load)


def estimate_load(server: backends.BackendServer) -> float:
    """Return reported load and own requests as one number."""
    return server.load * LOAD_WEIGHT_REQUESTS + server.in_flight
