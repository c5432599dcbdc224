"""Routing of prompts to servers that have their prefix cached."""

import random

import xxhash

from swiftjunction import backends
from swiftjunction.routing import _blocks
from swiftjunction.routing import _holders
from swiftjunction.routing import _policy
from swiftjunction.routing import _simple

# A server is not chosen for its cache if its load exceeds the mean load times
# this factor, plus the slack below.
MAX_LOAD_TO_MEAN_RATIO = 1.25
# At low load the mean is below one request, and a bound relative to it would
# exclude every server that has a request.
LOAD_SLACK_REQUESTS = 2.0
# Prompts that differ only after this number of blocks are treated alike.
MAX_BLOCKS_COMPARED = 32


class PrefixAffinity(_policy.Policy):
    """Chooses the least loaded server that has the longest prefix cached.

    Servers whose load is above a bound are skipped. A prefix that no server
    is known to have cached goes to the server selected by rendezvous hashing
    of the first half of the compared blocks, so all entry processes select
    the same server without communicating. If that server is above the bound,
    `TwoChoices` selects one.

    A match of less than half of the compared blocks is ignored: instructions
    that all prompts begin with would otherwise send them all to one server.
    """

    name = 'prefix'

    __slots__ = ('_fallback', '_weight_versions', 'index')

    def __init__(self, rng: random.Random) -> None:
        self._fallback = _simple.TwoChoices(rng)
        self._weight_versions: dict[str, int] = {}
        self.index = _holders.PrefixIndex()

    def choose(
        self,
        candidates: _policy.Candidates,
        request: _policy.RoutingRequest,
    ) -> backends.BackendServer:
        self._invalidate_swapped(candidates)
        block_hashes = _blocks.hash_blocks(request.prompt, MAX_BLOCKS_COMPARED)
        if not block_hashes:
            return self._fallback.choose(candidates, request)
        server = self._find_server(candidates, block_hashes)
        if server is None:
            server = self._fallback.choose(candidates, request)
        self.index.record_use(server.name, block_hashes)
        return server

    def _invalidate_swapped(self, candidates: _policy.Candidates) -> None:
        # An engine drops its prefix cache when it changes its weights.
        for server in candidates:
            known_version = self._weight_versions.get(server.name)
            if known_version != server.weight_version:
                self.index.invalidate(server.name)
                self._weight_versions[server.name] = server.weight_version

    def _find_server(
        self, candidates: _policy.Candidates, block_hashes: list[str]
    ) -> backends.BackendServer | None:
        loads = _simple.estimate_latency_scaled_loads(candidates)
        mean = sum(loads.values()) / len(loads)
        bound = mean * MAX_LOAD_TO_MEAN_RATIO + LOAD_SLACK_REQUESTS
        eligible = {s.name: s for s in candidates if loads[s.name] <= bound}
        half = (len(block_hashes) - 1) // 2
        for block_hash in reversed(block_hashes[half:]):
            names = [
                n for n in self.index.find_servers(block_hash) if n in eligible
            ]
            if names:
                return eligible[min(names, key=loads.__getitem__)]
        preferred = max(
            candidates,
            key=lambda s: _compute_rendezvous_score(
                s.name, block_hashes[half]
            ),
        )
        return eligible.get(preferred.name)


def _compute_rendezvous_score(server: str, block_hash: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{block_hash} {server}'.encode())
