"""What all VMs have told the coordinator of the windows not yet fixed."""

import collections
import collections.abc

import msgspec

from swiftjunction.usage import _messages

# Fixed windows of which the counts are kept, to notice what came too late.
KEPT_FIXED_WINDOWS = 12


class CountKey(msgspec.Struct, frozen=True, array_like=True):
    """Names one count: who counted, in which run, and of what."""

    vm: str
    run: str
    window: int
    organisation: str


class CountRecord(msgspec.Struct, frozen=True, array_like=True):
    """A count as it was last told, with the number of the message."""

    key: CountKey
    number: int
    count: int


class UsageLedger:
    """Merges counts, whatever their order and however often they are told.

    Attributes
    ----------
    next_window : int
        The first window whose report is not fixed; -1 if that is not known.
    is_changed : bool
        Whether anything has changed since :meth:`list_records`.
    late_count : int
        The changes of counts that came after their window was fixed.
    """

    __slots__ = (
        '_records',
        '_told_through',
        'is_changed',
        'late_count',
        'next_window',
    )

    def __init__(self) -> None:
        self._records: dict[CountKey, CountRecord] = {}
        # By VM, its run and the last window that it has told completely.
        self._told_through: dict[str, tuple[str, int]] = {}
        self.next_window = -1
        self.is_changed = False
        self.late_count = 0

    def record(self, message: _messages.UsageCounts, is_meant: bool) -> int:
        """Merge a message of a VM; return how many counts came too late.

        Parameters
        ----------
        is_meant : bool
            Whether the sender meant this coordinator, in this term.
        """
        records = [
            CountRecord(
                CountKey(
                    message.vm, message.run, entry.window, entry.organisation
                ),
                message.number,
                entry.count,
            )
            for entry in message.entries
        ]
        if is_meant:
            run, through = self._told_through.get(message.vm, ('', -1))
            if run != message.run or message.told_through > through:
                self._told_through[message.vm] = (
                    message.run,
                    message.told_through,
                )
        return self.merge(records)

    def merge(self, records: collections.abc.Iterable[CountRecord]) -> int:
        """Merge counts; return how many came too late."""
        late_count = 0
        for record in records:
            known = self._records.get(record.key)
            if known is not None and known.number >= record.number:
                continue
            if record.key.window < self.next_window:
                # Without a known count, a predecessor may have had it.
                late_count += known is not None and known.count != record.count
                continue
            self._records[record.key] = record
            self.is_changed = True
        self.late_count += late_count
        return late_count

    def has_told(self, vm: str, run: str, window: int) -> bool:
        """Return whether a VM has told all of a window."""
        told_run, through = self._told_through.get(vm, ('', -1))
        return told_run == run and through >= window

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window."""
        sums: collections.Counter[str] = collections.Counter()
        for key, record in self._records.items():
            if key.window == window:
                sums[key.organisation] += record.count
        return {name: sums[name] for name in sorted(sums) if sums[name] > 0}

    def advance(self, next_window: int) -> None:
        """Learn that all windows before `next_window` are fixed."""
        if next_window <= self.next_window:
            return
        self.next_window = next_window
        self.is_changed = True
        oldest = next_window - KEPT_FIXED_WINDOWS
        for key in list(self._records):
            if key.window < oldest:
                del self._records[key]

    def list_records(self) -> list[CountRecord]:
        """Return the counts of the windows that are not fixed."""
        self.is_changed = False
        return [
            record
            for key, record in self._records.items()
            if key.window >= self.next_window
        ]
