"""Which entries a caller should use."""

import random

import msgspec

from swiftjunction import membership

SPARE_ADDRESSES = 2


class AddressAnswer(msgspec.Struct, frozen=True):
    """The entries to use, best first, and for how long."""

    addresses: list[str]
    lifetime_seconds: float


class AddressBook:
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

    def answer(self, data_center: str) -> AddressAnswer:
        """Return the live entries, those of `data_center` first."""
        entries = list(self._processes.select('entry'))
        self._rng.shuffle(entries)
        entries.sort(key=lambda entry: entry.data_center != data_center)
        near = sum(entry.data_center == data_center for entry in entries)
        count = max(near, 1) + SPARE_ADDRESSES
        return AddressAnswer(
            [entry.address for entry in entries[:count]],
            self._lifetime_seconds,
        )
