"""Selection of the entries that a caller should connect to."""

import collections
import collections.abc
import random

import msgspec

from swiftjunction import membership

MAX_BACKUP_ADDRESSES = 2
# A caller whose data centre has no live entry asks again earlier.
FALLBACK_LIFETIME_FACTOR = 0.5

Entries = list[membership.Process]


class EntryAddresses(msgspec.Struct, frozen=True):
    """The entries that a caller should use.

    Attributes
    ----------
    addresses : list of str
        ``ip:port`` of each entry, in order of preference.
    lifetime_seconds : float
        How long the caller may use the list before it asks again.
    """

    addresses: list[str]
    lifetime_seconds: float


class EntrySelector:
    """Selects the entries that callers should use.

    Parameters
    ----------
    processes : ProcessList
        The known processes, entries among them.
    lifetime_seconds : float
        How long a caller may use a selection.
    rng : random.Random
        Source of the random order that balances the callers over the entries.
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

        Live entries of the caller's data centre come first, in random order
        to balance the callers over them. Backup entries follow, from as many
        other data centres as possible. Overloaded and draining entries are
        listed only if no entry is live: it is better that such an entry
        refuses the request than that the caller does not send it.

        If `data_center` is empty, as for a caller that does not send it, or
        has no live entry, up to three live entries of other data centres are
        returned. Unless it is empty, the caller may then use the list for a
        shorter time.
        """
        local, remote = self._partition('live', data_center)
        selected = local or remote[:1]
        backups = [entry for entry in remote if entry not in selected]
        selected = selected + backups[:MAX_BACKUP_ADDRESSES]
        lifetime_seconds = self._lifetime_seconds
        if data_center and not local:
            lifetime_seconds *= FALLBACK_LIFETIME_FACTOR
        if not selected:
            selected = self._select_not_live(data_center)
        return EntryAddresses(
            [entry.address for entry in selected], lifetime_seconds
        )

    def _select_not_live(self, data_center: str) -> Entries:
        for state in ('overloaded', 'draining'):
            local, remote = self._partition(state, data_center)
            if local or remote:
                return local + remote[:MAX_BACKUP_ADDRESSES]
        return []

    def _partition(
        self, state: str, data_center: str
    ) -> tuple[Entries, Entries]:
        """Return the entries in `state`, local ones and remote ones."""
        entries = list(self._processes.select('entry', state))
        self._rng.shuffle(entries)
        local = [e for e in entries if e.data_center == data_center]
        remote = [e for e in entries if e.data_center != data_center]
        return local, list(_interleave_data_centers(remote, self._rng))


def _interleave_data_centers(
    entries: Entries, rng: random.Random
) -> collections.abc.Iterator[membership.Process]:
    """Yield one entry of each data centre in turn.

    The first few entries then do not fail together with one data centre.
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
