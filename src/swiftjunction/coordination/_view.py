"""Which peers a VM asks: all of a small deployment, some of a large one.

In a large deployment the VMs of the first ranks form a ring. Whoever belongs
to it asks many of it, and all others ask a few of it, besides some others
that each VM draws for itself. So the questions that a VM asks and gets do not
grow with the number of VMs, and news reaches all of them within a few rounds.
"""

import collections.abc
import math
import random

# Up to so many peers, each VM asks all others.
MAX_PEERS_ALL_ASKED = 16
LEAST_RING_SIZE = 8
# One VM of so many belongs to the ring.
RING_DIVISOR = 8
RING_PEERS_ASKED = 2
# Whoever belongs to the ring asks the first ones of it, to know its own rank,
# and some more.
FIRST_PEERS_ASKED = 4
RING_PEERS_ASKED_WITHIN = 8
# Drawn by each VM for itself. Beside these, the coordinator is asked, and one
# VM that was lost.
OTHER_PEERS_ASKED = 4


def is_small(vms: int) -> bool:
    """Tell whether so many VMs all ask each other."""
    return vms <= MAX_PEERS_ALL_ASKED + 1


def find_ring_size(vms: int) -> int:
    """Return how many of so many VMs form the ring."""
    return max(LEAST_RING_SIZE, math.ceil(vms / RING_DIVISOR))


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
        Peers outside of the ring, each VM's own draw; empty in a small
        deployment.
    """

    __slots__ = ('_own', '_ring', '_rng', 'others')

    def __init__(self, own: str, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._ring: list[str] = []
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
        ring = set(sound[: find_ring_size(len(order))])
        first: list[str] = []
        count = RING_PEERS_ASKED
        if self._own in ring:
            count = RING_PEERS_ASKED_WITHIN
            first = [n for n in sound if n != self._own][:FIRST_PEERS_ASKED]
        self._ring = first + self._keep(
            self._ring, ring - {self._own, *first}, count - len(first)
        )
        self.others = self._keep(
            self.others,
            set(sound) - ring - {self._own, coordinator},
            OTHER_PEERS_ASKED,
        )
        chosen = [*self._ring, *self.others]
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
