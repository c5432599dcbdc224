"""The state of a batch in the memory of the process that runs it."""

import collections.abc

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction.batches import _batch
from swiftjunction.batches import _confirmation
from swiftjunction import errors

# Limits the texts in one response to a reader, counted in characters.
MAX_PAGE_BYTES = 700_000


class ResultPage(msgspec.Struct, frozen=True):
    """Consecutive results of a batch.

    Attributes
    ----------
    total : int
        Number of samples of the batch.
    next_position : int
        Position of the first result after this page.
    """

    total: int
    results: list[_batch.Result]
    next_position: int


def make_page(
    total: int, results: list[_batch.Result], position: int
) -> ResultPage:
    """Return as many results from `position` on as fit into one response.

    A page has at least one result if there is one, whatever its size.
    """
    page: list[_batch.Result] = []
    size = 0
    for result in results[position:]:
        size += len(result.text)
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return ResultPage(total, page, position + len(page))


class SampleProgress:
    """The progress of one sample.

    Attributes
    ----------
    events : list of str
        The data of the events so far.
    last_number : int
        Number of the newest event; -1 before the first one.
    versions : list of int
        The distinct weight versions that generated the events.
    software : str or None
        The software version of the engines that generated the events; None
        without events.
    complete : bool
        Whether the newest event was the last one of the sample.
    failures : int
        Number of attempts for which the engine reported a failure.
    running : bool
        Whether it is being generated or scored.
    cancel_scope : CancelScope
        Cancels its current attempt.
    engine : str
        Name of the engine that generates it; empty if none does.
    migrations : int
        How often it was migrated from a slow engine.
    started_at : float
        When its current or last attempt started, on the event loop's clock
        in seconds; 0 before the first attempt.
    ended_at : float
        When its last attempt ended, on the same clock; 0 before that.
    not_before : float
        When the next attempt may start, on the same clock; 0 for at once.
    error_count : int
        Number of attempts in a row that ended with an unexpected error.
    text_began_at : float
        When this process got the first event of the text so far, on the same
        clock; 0 without one, and if the text was restored.
    """

    __slots__ = (
        'cancel_scope',
        'complete',
        'ended_at',
        'engine',
        'error_count',
        'events',
        'failures',
        'sample',
        'last_number',
        'migrations',
        'not_before',
        'running',
        'software',
        'started_at',
        'text_began_at',
        'versions',
    )

    def __init__(self, sample: _batch.Sample) -> None:
        self.sample = sample
        self.events: list[str] = []
        self.last_number = -1
        self.versions: list[int] = []
        self.software: str | None = None
        self.complete = False
        self.failures = 0
        self.running = False
        self.engine = ''
        self.migrations = 0
        self.cancel_scope = anyio.CancelScope()
        self.started_at = 0.0
        self.ended_at = 0.0
        self.not_before = 0.0
        self.error_count = 0
        self.text_began_at = 0.0

    def reset(self) -> None:
        """Discard the text so far."""
        self.events.clear()
        self.versions.clear()
        self.software = None
        self.last_number = -1
        self.complete = False
        self.text_began_at = 0.0

    def can_resume(self, batch: _batch.Batch) -> bool:
        """Return whether `batch` allows the versions of the text so far."""
        if batch.single_version and len(self.versions) > 1:
            return False
        return all(version >= batch.min_version for version in self.versions)

    def needs_software(self) -> bool:
        """Return whether only some software versions may go on with it."""
        return self.software is not None and not self.complete

    def may_run_on(self, server: backends.BackendServer) -> bool:
        """Return whether a server may go on with the text so far."""
        if self.software is None or self.complete:
            return True
        return backends.may_continue(self.software, server)


class OpenBatch:
    """A batch with its results in order and its pending samples.

    It stays in memory for some time after the batch has ended.

    Parameters
    ----------
    blocks : sequence of list of Result
        The stored results.
    confirmation : EndConfirmation
        Tracks when all ended batches were last known; without it, an end is
        known at once.

    Attributes
    ----------
    resubmitted_groups : container of str
        Groups that an earlier batch contained too. They have priority, as the
        trainer has asked for them again.
    results : list of Result
        Results in the object store. Readers see only these.
    unwritten : list of Result
        Results that are not yet in the object store.
    pending : dict of str to SampleProgress
        The samples without a stored result, by id.
    block_count : int
        Number of stored blocks that hold the results.
    ended : bool
        Whether the trainer needs no more results.
    version : int
        Version of the object that stores the batch.
    first_seen_at : float
        When this process first saw the batch, on the event loop's clock in
        seconds. It is never before the submission.
    blocks_read_at : float
        When the stored blocks were last read, on the event loop's clock in
        seconds. Blocks that other processes created later may be missing.
    write_uncertain : bool
        Whether it is unknown if the last write of results took effect, also
        while it is in progress.
    writing : bool
        Whether a write of results is in progress.
    written_at : float
        When the last write of results or the batch ended, on the event
        loop's clock in seconds; `first_seen_at` before that.
    """

    __slots__ = (
        '_changed',
        '_confirmation',
        'batch',
        'block_count',
        'blocks_read_at',
        'ended',
        'first_seen_at',
        'pending',
        'results',
        'resubmitted_groups',
        'unwritten',
        'version',
        'write_uncertain',
        'writing',
        'written_at',
    )

    def __init__(
        self,
        batch: _batch.Batch,
        first_seen_at: float,
        blocks: collections.abc.Sequence[list[_batch.Result]] = (),
        version: int = 0,
        resubmitted_groups: collections.abc.Container[str] = frozenset(),
        confirmation: _confirmation.EndConfirmation | None = None,
    ) -> None:
        self.batch = batch
        self._confirmation = confirmation
        self.version = version
        self.resubmitted_groups = resubmitted_groups
        self.first_seen_at = first_seen_at
        self.results: list[_batch.Result] = []
        self.unwritten: list[_batch.Result] = []
        self.pending = {
            sample.sample_id: SampleProgress(sample)
            for sample in batch.samples
        }
        self.block_count = 0
        self.blocks_read_at = first_seen_at
        self.ended = batch.ended
        self.write_uncertain = False
        self.writing = False
        self.written_at = first_seen_at
        self._changed = anyio.Event()
        for block in blocks:
            self.add_block(block)

    @property
    def deadline(self) -> float:
        """Return the deadline of all results.

        It is a time on the event loop's clock in seconds.
        """
        return self.first_seen_at + self.batch.due_seconds

    def can_give_up(self, now: float) -> bool:
        """Return whether the batch is old enough to give up samples.

        Other samples than those that cannot be sent are given up only for
        failures.
        """
        max_age_seconds = self.batch.max_age_seconds
        return (
            bool(max_age_seconds)
            and now - self.first_seen_at > max_age_seconds
        )

    def add_block(self, results: list[_batch.Result]) -> None:
        """Add a block of results from the object store, and wake readers."""
        self.block_count += 1
        self.results += results
        for result in results:
            self.pending.pop(result.sample_id, None)
        stored = {result.sample_id for result in results}
        self.unwritten = [
            r for r in self.unwritten if r.sample_id not in stored
        ]
        self._notify_readers()

    def merge_blocks(
        self, blocks: collections.abc.Sequence[list[_batch.Result]]
    ) -> None:
        """Add those of all stored blocks that are not in memory yet.

        Blocks never change, so those in memory need no comparison.
        """
        for block in blocks[self.block_count :]:
            self.add_block(block)

    def add_result(self, result: _batch.Result) -> None:
        """Add the result of a pending sample to those to write."""
        if result.sample_id in self.pending and not any(
            other.sample_id == result.sample_id for other in self.unwritten
        ):
            self.unwritten.append(result)

    def end(self) -> None:
        """Mark the batch as ended, cancel its samples and wake readers."""
        self.ended = True
        for progress in self.pending.values():
            progress.cancel_scope.cancel()
        self._notify_readers()

    def check_may_send(self) -> None:
        """Check whether a request of the batch may be sent to a server now.

        Raises
        ------
        BatchEnded
            If the batch has ended.
        EndUnconfirmed
            If it may have ended.
        """
        if self.ended:
            raise errors.BatchEnded('the batch has ended', step='send')
        if self._confirmation and not self._confirmation.is_recent():
            raise errors.EndUnconfirmed(
                'the batch may have ended', step='send'
            )

    def find_body(self, sample_id: str) -> bytes | None:
        """Return the request body of a pending sample; None for others."""
        progress = self.pending.get(sample_id)
        return None if progress is None else progress.sample.body

    def count_complete_groups(self) -> int:
        """Return the number of groups whose results are all stored."""
        return len(self.list_groups() - self.list_incomplete_groups(set()))

    def list_groups(self) -> set[str]:
        """Return the names of all groups of the batch."""
        return {sample.group for sample in self.batch.samples}

    def list_incomplete_groups(
        self, finished: collections.abc.Container[str]
    ) -> set[str]:
        """Return the groups with pending samples.

        Parameters
        ----------
        finished : container of str
            Ids of pending samples to count as if their results were stored.
        """
        return {
            progress.sample.group
            for sample_id, progress in self.pending.items()
            if sample_id not in finished
        }

    def summarize(self) -> dict[str, object]:
        """Return the progress of the batch, for the state dump."""
        return {
            'batch': self.batch.batch_id,
            'model': self.batch.model,
            'step': self.batch.step,
            'listed': len(self.results),
            'total': self.batch.total,
            'running': sum(p.running for p in self.pending.values()),
            'whole_groups': self.count_complete_groups(),
            'wanted_groups': self.batch.wanted_groups,
            'ended': self.ended,
        }

    def has_wanted_groups(self) -> bool:
        """Return whether as many groups are complete as the trainer wants."""
        wanted = self.batch.wanted_groups
        return bool(wanted) and self.count_complete_groups() >= wanted

    async def read(self, position: int, wait_seconds: float) -> ResultPage:
        """Return results from `position` on, waiting for the first one.

        The page is empty if there is none within `wait_seconds`.
        """
        with anyio.move_on_after(wait_seconds):
            while (
                len(self.results) <= position and not self._has_final_results()
            ):
                await self._changed.wait()
        return make_page(self.batch.total, self.results, position)

    def _has_final_results(self) -> bool:
        return self.ended or len(self.results) >= self.batch.total

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
