"""Texts that are kept for samples that will be asked for again.

A group that was not whole when its batch ended may come again in a later
batch, and a process that takes batches over has to make again what was under
way. Both go on from what is kept, where its versions fit.
"""

import collections
import collections.abc

import msgspec

from swiftjunction.batches import _batch
from swiftjunction.batches import _open_batch

MAX_KEPT_BYTES = 4_000_000


class ProgressSnapshot(msgspec.Struct, frozen=True):
    """How far one sample was.

    Attributes
    ----------
    events : list of str
        The data of its events.
    last_number : int
        Of the newest event.
    whole : bool
        Whether that was the last one.
    """

    item_id: str
    events: list[str]
    last_number: int
    versions: list[int]
    whole: bool = False

    @property
    def size(self) -> int:
        """Return the bytes of the text, about."""
        return sum(len(data) for data in self.events)


def copy_text(progress: _open_batch.SampleProgress) -> ProgressSnapshot:
    """Return what there is of a sample now."""
    return ProgressSnapshot(
        progress.item.item_id,
        list(progress.events),
        progress.last_number,
        list(progress.versions),
        progress.whole,
    )


def select_unfinished(
    opened: _open_batch.OpenBatch,
) -> collections.abc.Iterator[ProgressSnapshot]:
    """Yield the texts of the groups that are not whole."""
    open_groups = opened.list_open_groups(frozenset())
    for progress in opened.left.values():
        if progress.events:
            yield copy_text(progress)
    groups = {item.item_id: item.group for item in opened.batch.items}
    for result in opened.results:
        if result.complete and groups.get(result.item_id) in open_groups:
            yield ProgressSnapshot(
                result.item_id,
                [result.text],
                0,
                list(result.versions),
                whole=True,
            )


class ProgressCache:
    """The newest texts, up to a number of bytes."""

    __slots__ = ('_bytes', '_texts')

    def __init__(self) -> None:
        self._bytes = 0
        self._texts: collections.OrderedDict[str, ProgressSnapshot] = (
            collections.OrderedDict()
        )

    def keep(self, texts: collections.abc.Iterable[ProgressSnapshot]) -> None:
        """Keep texts in place of older ones of the same samples."""
        for text in texts:
            self._drop(text.item_id)
            self._texts[text.item_id] = text
            self._bytes += text.size
        while self._bytes > MAX_KEPT_BYTES:
            self._drop(next(iter(self._texts)))

    def restore(
        self, progress: _open_batch.SampleProgress, batch: _batch.Batch
    ) -> bool:
        """Give a sample what is kept of it; tell whether any of it fits."""
        text = self._texts.get(progress.item.item_id)
        if text is None:
            return False
        progress.events = list(text.events)
        progress.last_number = text.last_number
        progress.versions = list(text.versions)
        progress.whole = text.whole
        if progress.may_continue(batch):
            return True
        progress.restart()
        return False

    def _drop(self, item_id: str) -> None:
        text = self._texts.pop(item_id, None)
        if text is not None:
            self._bytes -= text.size
