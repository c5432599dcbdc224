"""Which peers a VM asks: all of a small deployment, some of a large one.

In a large deployment the VMs of the first ranks are seeds. A seed asks many
other seeds, and all other VMs ask a few of them, besides some VMs that each
one draws for itself. So the questions that a VM asks and gets do not grow with
the number of VMs, and news reaches all of them within a few rounds.
"""

import collections.abc
import math
import random

# Up to so many peers, each VM asks all others.
MAX_PEERS_ALL_ASKED = 16
LEAST_SEEDS = 8
# One VM of so many is a seed.
VMS_PER_SEED = 8
SEEDS_ASKED = 2
# A seed asks the first ones, to know its own rank, and some more.
FIRST_SEEDS_ASKED = 4
SEEDS_ASKED_BY_SEEDS = 8
# Drawn by each VM for itself. Beside these, the coordinator is asked, and one
# VM that was lost.
OTHERS_ASKED = 4


def is_small(vms: int) -> bool:
    """Tell whether so many VMs all ask each other."""
    return vms <= MAX_PEERS_ALL_ASKED + 1


def count_seeds(vms: int) -> int:
    """Return how many of so many VMs are seeds."""
    return max(LEAST_SEEDS, math.ceil(vms / VMS_PER_SEED))


class PeerView:
    """The peers that one VM asks.

    Parameters
    ----------
    own : str
        This VM.
    rng : random.Random
        Draws peers.

    Attributes
    ----------
    others : list of str
        Peers that are no seeds, each VM's own draw; empty in a small
        deployment.
    """

    __slots__ = ('_own', '_rng', '_seeds', 'others')

    def __init__(self, own: str, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._seeds: list[str] = []
        self.others: list[str] = []

    def choose(
        self,
        order: collections.abc.Sequence[str],
        lost: collections.abc.Set[str],
        coordinator: str,
    ) -> list[str]:
        """Return whom to ask in this round.

        Parameters
        ----------
        order : sequence of str
            All VMs by their ranks.
        lost : set of str
            Those that gave no answer; in a large deployment one of them is
            asked again in each round.
        coordinator : str
            The VM that is said to coordinate; it is asked always.
        """
        if is_small(len(order)):
            self.others = []
            return [name for name in order if name != self._own]
        sound = [name for name in order if name not in lost]
        seeds = set(sound[: count_seeds(len(order))])
        first: list[str] = []
        count = SEEDS_ASKED
        if self._own in seeds:
            count = SEEDS_ASKED_BY_SEEDS
            first = [n for n in sound if n != self._own][:FIRST_SEEDS_ASKED]
        self._seeds = first + self._keep(
            self._seeds, seeds - {self._own, *first}, count - len(first)
        )
        self.others = self._keep(
            self.others,
            set(sound) - seeds - {self._own, coordinator},
            OTHERS_ASKED,
        )
        chosen = [*self._seeds, *self.others]
        if coordinator not in ('', self._own, *chosen):
            chosen.append(coordinator)
        again = sorted(lost & (set(order) - {*chosen, self._own}))
        return [*chosen, *self._rng.sample(again, min(len(again), 1))]

    def _keep(
        self,
        held: list[str],
        candidates: collections.abc.Set[str],
        count: int,
    ) -> list[str]:
        """Return `count` candidates, as many as possible of those held."""
        kept = [name for name in held if name in candidates][:count]
        pool = sorted(candidates - set(kept))
        missing = min(count - len(kept), len(pool))
        return kept + self._rng.sample(pool, missing)
