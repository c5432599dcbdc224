"""Which entries a caller should use."""

import collections
import collections.abc
import random

import msgspec

from swiftjunction import membership

SPARE_ADDRESSES = 2
# Where the answer is a makeshift, callers ask again earlier.
MAKESHIFT_LIFETIME_FACTOR = 0.5

Entries = list[membership.Process]


class EntryAddresses(msgspec.Struct, frozen=True):
    """The entries to use, best first, and for how long."""

    addresses: list[str]
    lifetime_seconds: float


class EntrySelector:
    """Answers which addresses callers should use.

    Parameters
    ----------
    processes : ProcessList
        Knows the entries.
    lifetime_seconds : float
        How long a caller may keep an answer.
    rng : random.Random
        Spreads the callers evenly over the entries.
    """

    __slots__ = ('_lifetime_seconds', '_processes', '_rng')

    def __init__(
        self,
        processes: membership.ProcessList,
        lifetime_seconds: float,
        rng: random.Random,
    ) -> None:
        self._processes = processes
        self._lifetime_seconds = lifetime_seconds
        self._rng = rng

    def select(self, data_center: str) -> EntryAddresses:
        """Return the entries that a caller in `data_center` should use.

        Those near it come first, in a random order, which spreads the callers
        evenly; then spare ones of as many other data centres as there are.
        Overloaded and draining entries are named only where there are no
        others, as refusing is better left to them than to the caller.
        """
        near, far = self._split('live', data_center)
        chosen = near or far[:1]
        spare = [entry for entry in far if entry not in chosen]
        chosen = chosen + spare[:SPARE_ADDRESSES]
        lifetime_seconds = self._lifetime_seconds
        if data_center and not near:
            lifetime_seconds *= MAKESHIFT_LIFETIME_FACTOR
        if not chosen:
            chosen = self._list_makeshift(data_center)
        return EntryAddresses(
            [entry.address for entry in chosen], lifetime_seconds
        )

    def _list_makeshift(self, data_center: str) -> Entries:
        for state in ('overloaded', 'draining'):
            near, far = self._split(state, data_center)
            if near or far:
                return near + far[:SPARE_ADDRESSES]
        return []

    def _split(self, state: str, data_center: str) -> tuple[Entries, Entries]:
        entries = list(self._processes.select('entry', state))
        self._rng.shuffle(entries)
        near = [e for e in entries if e.data_center == data_center]
        far = [e for e in entries if e.data_center != data_center]
        return near, list(_alternate(far, self._rng))


def _alternate(
    entries: Entries, rng: random.Random
) -> collections.abc.Iterator[membership.Process]:
    """Yield one entry of each data centre in turn.

    Spare ones are so not lost together with one data centre.
    """
    groups: dict[str, Entries] = collections.defaultdict(list)
    for entry in entries:
        groups[entry.data_center].append(entry)
    order = sorted(groups)
    rng.shuffle(order)
    while order:
        for data_center in list(order):
            yield groups[data_center].pop()
            if not groups[data_center]:
                order.remove(data_center)
