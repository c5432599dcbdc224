"""Selects the peers that each VM polls for their statuses.

In a small deployment each VM polls all others. In a large one, the VMs of the
lowest ranks are seeds: a seed polls several other seeds, and all other VMs
poll a few of the seeds. In addition each VM polls the coordinator, some peers
chosen at random and one unreachable VM. The number of polls that a VM sends
therefore does not grow with the deployment. Nor does the number that it
answers, except for the coordinator, which all VMs poll, and the first ranks,
which all seeds poll. A change of coordinator is known to all VMs within a few
rounds.
"""

import collections.abc
import math
import random

# Up to this number of peers, each VM polls all others.
FULL_MESH_MAX_PEERS = 16
MIN_SEEDS = 8
# One in this number of VMs is a seed.
VMS_PER_SEED = 8
# Seeds polled by a VM that is not a seed itself.
SEEDS_POLLED = 2
# A seed polls the VMs of the first ranks, to know its own rank, and other
# seeds, SEEDS_POLLED_BY_SEEDS VMs in all.
FIRST_RANKS_POLLED = 4
SEEDS_POLLED_BY_SEEDS = 8
# Peers other than seeds that each VM polls, chosen at random.
RANDOM_PEERS_POLLED = 4


def is_full_mesh(vm_count: int) -> bool:
    """Return whether all VMs of a deployment of this size poll each other."""
    return vm_count <= FULL_MESH_MAX_PEERS + 1


def count_seeds(vm_count: int) -> int:
    """Return the number of seeds in a deployment of this size."""
    return max(MIN_SEEDS, math.ceil(vm_count / VMS_PER_SEED))


class PollSelector:
    """Selects the peers that one VM polls in each round.

    Parameters
    ----------
    own_name : str
        The name of this VM.
    rng : random.Random
        Chooses seeds and other peers.

    Attributes
    ----------
    random_peers : list of str
        The polled peers that are not seeds, chosen at random; empty in a
        small deployment.
    """

    __slots__ = ('_own_name', '_rng', '_seeds', 'random_peers')

    def __init__(self, own_name: str, rng: random.Random) -> None:
        self._own_name = own_name
        self._rng = rng
        self._seeds: list[str] = []
        self.random_peers: list[str] = []

    def select(
        self,
        ranking: collections.abc.Sequence[str],
        unreachable: collections.abc.Set[str],
        coordinator: str,
    ) -> list[str]:
        """Return the names of the peers to poll in this round.

        Parameters
        ----------
        ranking : sequence of str
            The names of all VMs, by rank.
        unreachable : set of str
            The names of the VMs that do not answer. In a large deployment
            each round polls one of them again, chosen at random.
        coordinator : str
            The name of the current coordinator, which is always polled; empty
            if unknown.
        """
        if is_full_mesh(len(ranking)):
            self.random_peers = []
            return [name for name in ranking if name != self._own_name]
        reachable = [name for name in ranking if name not in unreachable]
        seeds = set(reachable[: count_seeds(len(ranking))])
        first: list[str] = []
        count = SEEDS_POLLED
        if self._own_name in seeds:
            count = SEEDS_POLLED_BY_SEEDS
            first = [n for n in reachable if n != self._own_name][
                :FIRST_RANKS_POLLED
            ]
        self._seeds = first + self._refill(
            self._seeds, seeds - {self._own_name, *first}, count - len(first)
        )
        self.random_peers = self._refill(
            self.random_peers,
            set(reachable) - seeds - {self._own_name, coordinator},
            RANDOM_PEERS_POLLED,
        )
        selected = [*self._seeds, *self.random_peers]
        if coordinator not in ('', self._own_name, *selected):
            selected.append(coordinator)
        retried = sorted(
            unreachable & (set(ranking) - {*selected, self._own_name})
        )
        return [*selected, *self._rng.sample(retried, min(len(retried), 1))]

    def _refill(
        self,
        current: list[str],
        candidates: collections.abc.Set[str],
        count: int,
    ) -> list[str]:
        """Return up to `count` candidates, preferably current ones."""
        kept = [name for name in current if name in candidates][:count]
        pool = sorted(candidates - set(kept))
        missing = min(count - len(kept), len(pool))
        return kept + self._rng.sample(pool, missing)
