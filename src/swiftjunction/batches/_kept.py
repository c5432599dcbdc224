"""Snapshots of the progress of samples that may be requested again.

A trainer may submit a group again if it was incomplete when its batch ended,
and a process that takes over batches continues their running samples. In both
cases a sample resumes from its snapshot if the batch allows the weight
versions of the snapshot.
"""

import collections
import collections.abc

import msgspec

from swiftjunction import backends
from swiftjunction.batches import _batch
from swiftjunction.batches import _open

MAX_CACHE_BYTES = 4_000_000


class ProgressSnapshot(msgspec.Struct, frozen=True):
    """The text of one sample so far.

    Attributes
    ----------
    events : list of str
        The data of its events.
    last_number : int
        Number of the newest event.
    versions : list of int
        The weight versions that generated the events.
    complete : bool
        Whether the newest event was the last one of the sample.
    software : str
        The software version of the engines that generated the events; empty
        if not known.
    """

    sample_id: str = msgspec.field(name='item_id')
    events: list[str]
    last_number: int
    versions: list[int]
    complete: bool = msgspec.field(default=False, name='whole')
    software: str = backends.UNKNOWN_SOFTWARE

    @property
    def size(self) -> int:
        """Return the length of the text in characters.

        Limits in bytes use it as an estimate.
        """
        return sum(len(data) for data in self.events)


def take_snapshot(progress: _open.SampleProgress) -> ProgressSnapshot:
    """Return a snapshot of the current progress of a sample."""
    return ProgressSnapshot(
        progress.sample.sample_id,
        list(progress.events),
        progress.last_number,
        list(progress.versions),
        progress.complete,
        progress.software or backends.UNKNOWN_SOFTWARE,
    )


def snapshot_incomplete_groups(
    open_batch: _open.OpenBatch,
) -> collections.abc.Iterator[ProgressSnapshot]:
    """Yield snapshots of the samples with text that incomplete groups have."""
    incomplete_groups = open_batch.list_incomplete_groups(frozenset())
    for progress in open_batch.pending.values():
        if progress.events:
            yield take_snapshot(progress)
    groups = {
        sample.sample_id: sample.group for sample in open_batch.batch.samples
    }
    for result in open_batch.results:
        if (
            result.complete
            and groups.get(result.sample_id) in incomplete_groups
        ):
            yield ProgressSnapshot(
                result.sample_id,
                [result.text],
                0,
                list(result.versions),
                complete=True,
            )


class ProgressCache:
    """Keeps the newest snapshots up to ``MAX_CACHE_BYTES``."""

    __slots__ = ('_bytes', '_snapshots')

    def __init__(self) -> None:
        self._bytes = 0
        self._snapshots: collections.OrderedDict[str, ProgressSnapshot] = (
            collections.OrderedDict()
        )

    def add(
        self, snapshots: collections.abc.Iterable[ProgressSnapshot]
    ) -> None:
        """Add snapshots, replacing older ones of the same samples."""
        for snapshot in snapshots:
            self._remove(snapshot.sample_id)
            self._snapshots[snapshot.sample_id] = snapshot
            self._bytes += snapshot.size
        while self._bytes > MAX_CACHE_BYTES:
            self._remove(next(iter(self._snapshots)))

    def restore(
        self, progress: _open.SampleProgress, batch: _batch.Batch
    ) -> bool:
        """Restore a sample from its snapshot; return whether it was used.

        A snapshot with weight versions that the batch does not allow is not
        used, nor a part of a text if the software that wrote it is not known.
        """
        snapshot = self._snapshots.get(progress.sample.sample_id)
        if snapshot is None:
            return False
        progress.events = list(snapshot.events)
        progress.last_number = snapshot.last_number
        progress.versions = list(snapshot.versions)
        progress.complete = snapshot.complete
        progress.software = snapshot.software
        is_known = snapshot.software != backends.UNKNOWN_SOFTWARE
        if progress.can_resume(batch) and (is_known or snapshot.complete):
            return True
        progress.reset()
        return False

    def _remove(self, sample_id: str) -> None:
        snapshot = self._snapshots.pop(sample_id, None)
        if snapshot is not None:
            self._bytes -= snapshot.size
