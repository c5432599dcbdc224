"""Sends prompts that begin alike to the servers that hold the beginning."""

import random

import xxhash

from swiftjunction import backends
from swiftjunction.routing import _blocks
from swiftjunction.routing import _policy
from swiftjunction.routing import _prefix_index
from swiftjunction.routing import _simple

# A holder may have so much more than the mean before it is passed over.
LOAD_BOUND = 1.25
# At low load the mean is below one request, and a bound of it would be none.
LOAD_SLACK_REQUESTS = 2.0
# Longer common beginnings than this are not told apart.
MAX_BLOCKS_COMPARED = 32


class PrefixAffinity(_policy.Policy):
    """Takes the least loaded holder of the longest prefix, under a bound.

    A prefix that nobody is known to hold goes to the server that rendezvous
    hashing of its first half gives, so that all entries agree on a server
    with no message between them. A server above the bound is passed over;
    two choices decide then. A match of less than half of the prompt counts
    for nothing: instructions that all prompts begin with would otherwise send
    them all to one server.
    """

    name = 'prefix'

    __slots__ = ('_fallback', '_weights', 'holders')

    def __init__(self, rng: random.Random) -> None:
        self._fallback = _simple.TwoChoices(rng)
        self._weights: dict[str, int] = {}
        self.holders = _prefix_index.PrefixIndex()

    def choose(
        self,
        candidates: _policy.Candidates,
        request: _policy.RoutingRequest,
    ) -> backends.BackendServer:
        self._forget_swapped(candidates)
        blocks = _blocks.hash_blocks(request.prompt, MAX_BLOCKS_COMPARED)
        if not blocks:
            return self._fallback.choose(candidates, request)
        server = self._find_holder(candidates, blocks)
        if server is None:
            server = self._fallback.choose(candidates, request)
        self.holders.record_use(server.name, blocks)
        return server

    def _forget_swapped(self, candidates: _policy.Candidates) -> None:
        # An engine drops its cache when it takes up other weights.
        for server in candidates:
            held = self._weights.get(server.name)
            if held != server.weight_version:
                self.holders.forget(server.name)
                self._weights[server.name] = server.weight_version

    def _find_holder(
        self, candidates: _policy.Candidates, blocks: list[str]
    ) -> backends.BackendServer | None:
        loads = _simple.compare_loads(candidates)
        mean = sum(loads.values()) / len(loads)
        bound = mean * LOAD_BOUND + LOAD_SLACK_REQUESTS
        below = {s.name: s for s in candidates if loads[s.name] <= bound}
        half = (len(blocks) - 1) // 2
        for block in reversed(blocks[half:]):
            found = [n for n in self.holders.find_holders(block) if n in below]
            if found:
                return below[min(found, key=loads.__getitem__)]
        first = max(candidates, key=lambda s: _score(s.name, blocks[half]))
        return below.get(first.name)


def _score(server: str, block: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{block} {server}'.encode())
