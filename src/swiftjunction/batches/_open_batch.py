"""One batch while it is run, in the memory of the process that runs it."""

import collections.abc

import anyio
import msgspec

from swiftjunction.batches import _batch

# Of the texts in one answer to a reader.
MAX_PAGE_BYTES = 700_000


class ResultPage(msgspec.Struct, frozen=True):
    """Results from one position on.

    Attributes
    ----------
    total : int
        How many samples the batch has.
    next_position : int
        Of the first result behind this page.
    """

    total: int
    results: list[_batch.Result]
    next_position: int


def make_page(
    total: int, results: list[_batch.Result], position: int
) -> ResultPage:
    """Return the results from `position` on that fit into one answer."""
    page: list[_batch.Result] = []
    size = 0
    for result in results[position:]:
        size += len(result.text)
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return ResultPage(total, page, position + len(page))


class SampleProgress:
    """How far one sample is.

    Attributes
    ----------
    events : list of str
        The data of the events so far.
    last_number : int
        Of the newest event; -1 before the first one.
    versions : list of int
        The weight versions that made them, without repetition.
    whole : bool
        Whether the newest event was the last one.
    failures : int
        Runs that ended with a failure of the sample itself.
    running : bool
        Whether it is at an engine, or being scored.
    scope : CancelScope
        Of its present run.
    engine : str
        Where it is generated now; empty while it is not.
    moves : int
        How often it was taken from a slow engine.
    began_at : float
        When it was first sent to an engine; 0 before.
    """

    __slots__ = (
        'began_at',
        'events',
        'failures',
        'item',
        'engine',
        'last_number',
        'moves',
        'running',
        'scope',
        'versions',
        'whole',
    )

    def __init__(self, item: _batch.Item) -> None:
        self.item = item
        self.events: list[str] = []
        self.last_number = -1
        self.versions: list[int] = []
        self.whole = False
        self.failures = 0
        self.running = False
        self.engine = ''
        self.moves = 0
        self.scope = anyio.CancelScope()
        self.began_at = 0.0

    def restart(self) -> None:
        """Forget the text so far."""
        self.events.clear()
        self.versions.clear()
        self.last_number = -1
        self.whole = False

    def may_continue(self, batch: _batch.Batch) -> bool:
        """Tell whether the text so far may be part of the whole."""
        if batch.single_version and len(self.versions) > 1:
            return False
        return all(version >= batch.min_version for version in self.versions)


class OpenBatch:
    """A batch, its results in order, and the samples that are left.

    Attributes
    ----------
    carried : container of str
        Groups that an earlier batch had already: a trainer waits for each of
        them.
    results : list of Result
        Those that are on the object store: only these are shown.
    finished : list of Result
        Those that are to be written next.
    left : dict of str to SampleProgress
        The samples without a result, by their ids.
    chunks : int
        How many objects hold the results.
    version : int
        Of the object that holds the batch.
    seen_at : float
        When this process first saw it, on the event loop's clock. It is no
        earlier than the submission.
    """

    __slots__ = (
        '_changed',
        'batch',
        'carried',
        'chunks',
        'ended',
        'finished',
        'left',
        'results',
        'seen_at',
        'version',
        'writing',
        'written_at',
    )

    def __init__(
        self,
        batch: _batch.Batch,
        seen_at: float,
        chunks: collections.abc.Sequence[list[_batch.Result]] = (),
        version: int = 0,
        carried: collections.abc.Container[str] = frozenset(),
    ) -> None:
        self.batch = batch
        self.version = version
        self.carried = carried
        self.seen_at = seen_at
        self.results: list[_batch.Result] = []
        self.finished: list[_batch.Result] = []
        self.left = {
            item.item_id: SampleProgress(item) for item in batch.items
        }
        self.chunks = 0
        self.ended = batch.ended
        self.writing = False
        self.written_at = seen_at
        self._changed = anyio.Event()
        for chunk in chunks:
            self.list_chunk(chunk)

    @property
    def due_at(self) -> float:
        """Return when all results are due, on the event loop's clock."""
        return self.seen_at + self.batch.due_seconds

    def may_give_up(self, now: float) -> bool:
        """Tell whether samples are old enough to be given up."""
        max_age_seconds = self.batch.max_age_seconds
        return bool(max_age_seconds) and now - self.seen_at > max_age_seconds

    def list_chunk(self, results: list[_batch.Result]) -> None:
        """Append results that are on the object store."""
        self.chunks += 1
        self.results += results
        for result in results:
            self.left.pop(result.item_id, None)
        listed = {result.item_id for result in results}
        self.finished = [r for r in self.finished if r.item_id not in listed]
        self._wake()

    def finish(self, result: _batch.Result) -> None:
        """Take the result of a sample, to be written."""
        if result.item_id in self.left and not any(
            held.item_id == result.item_id for held in self.finished
        ):
            self.finished.append(result)

    def end(self) -> None:
        """Take note that no more of it is wanted."""
        self.ended = True
        for progress in self.left.values():
            progress.scope.cancel()
        self._wake()

    def find_body(self, item_id: str) -> bytes | None:
        """Return the body of a sample without a result."""
        progress = self.left.get(item_id)
        return None if progress is None else progress.item.body

    def count_whole_groups(self) -> int:
        """Return how many groups have all of their results listed."""
        return len(self.list_groups() - self.list_open_groups(set()))

    def list_groups(self) -> set[str]:
        """Return the groups of the batch."""
        return {item.group for item in self.batch.items}

    def list_open_groups(
        self, finished: collections.abc.Container[str]
    ) -> set[str]:
        """Return the groups with samples that are neither listed nor given."""
        return {
            progress.item.group
            for item_id, progress in self.left.items()
            if item_id not in finished
        }

    def is_satisfied(self) -> bool:
        """Tell whether its trainer has as many whole groups as it wants."""
        wanted = self.batch.wanted_groups
        return bool(wanted) and self.count_whole_groups() >= wanted

    async def read(self, position: int, wait_seconds: float) -> ResultPage:
        """Return results from `position` on, waiting for the first one."""
        with anyio.move_on_after(wait_seconds):
            while len(self.results) <= position and not self._is_final():
                await self._changed.wait()
        return make_page(self.batch.total, self.results, position)

    def _is_final(self) -> bool:
        return self.ended or len(self.results) >= self.batch.total

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
