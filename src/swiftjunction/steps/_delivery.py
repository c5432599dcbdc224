"""Works on one step: makes its samples and hands them over once each."""

import collections.abc
import logging
import time

import anyio
import anyio.abc
import msgspec

from swiftjunction import errors
from swiftjunction.steps import _ledger
from swiftjunction.steps import _page
from swiftjunction.steps import _payloads
from swiftjunction.steps import _production
from swiftjunction.steps import _scheduler
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

# At most one call of the platform for the ledger of a step in this time.
PLACE_INTERVAL_SECONDS = 1.0
MAX_DRAW_SAMPLES = 512
MAX_WAIT_SECONDS = 30.0
# How long an expired step is kept for a trainer that has not drawn the rest.
EXPIRED_LINGER_SECONDS = 60.0


# What one placement takes of a platform that answers: the head and now and
# then a sealed part of the order.
MAX_PLACE_CALLS = 2


def choose_pause_seconds(calls_made: int) -> float:
    """Return how long to wait after a placement took so many calls.

    Calls that an outage refused are not made up for: after 8 s of an outage
    that would hold up the step for half a minute more.
    """
    return PLACE_INTERVAL_SECONDS * min(max(calls_made, 1), MAX_PLACE_CALLS)


class RunningStep:
    """One step on its owner.

    Parameters
    ----------
    step : Step
        As opened, or as rebuilt from its ledger.
    ledger : Ledger
        That this process may extend.
    producer : Producer
        Makes the samples.
    payloads : PayloadStore
        Keeps them until they are acknowledged.
    clock : callable
        Returns Unix time in seconds.
    restoring : bool
        Whether an earlier owner may have kept payloads.
    """

    __slots__ = (
        '_changed',
        '_clock',
        '_finished',
        '_ledger',
        '_lost',
        '_maker',
        '_payloads',
        '_placing_since',
        '_producer',
        '_restoring',
        '_unplaced',
        'step',
    )

    def __init__(
        self,
        step: _step.Step,
        ledger: _ledger.Ledger,
        producer: _production.Producer,
        payloads: _payloads.PayloadStore,
        clock: collections.abc.Callable[[], float] = time.time,
        *,
        restoring: bool = False,
    ) -> None:
        self._clock = clock
        self._restoring = restoring
        self.step = step
        self._ledger = ledger
        self._producer = producer
        self._payloads = payloads
        self._changed = anyio.Event()
        self._finished = anyio.Event()
        self._unplaced = anyio.Event()
        self._lost = False
        self._placing_since = 0.0
        self._maker = _scheduler.SampleScheduler(
            step, producer, self._remaining_seconds, self._note_made
        )

    async def run(self) -> None:
        """Work until the trainer has every sample, or the step is lost.

        Raises
        ------
        ExceptionGroup
            Of ``LeaseLost``, if another process owns the step by now.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._begin, tasks)
            tasks.start_soon(self._watch_deadline)
            await self._finished.wait()
            tasks.cancel_scope.cancel()
        self._producer.remove_step(self.step.spec)
        if not self._lost:
            await self._end()

    async def _begin(self, tasks: anyio.abc.TaskGroup) -> None:
        """Fetch what an earlier owner kept, and make the rest.

        This is not left to the draw that caused the take-over: it may take
        longer than the trainer waits for an answer, and would begin again
        with each draw.
        """
        if self._restoring:
            kept = await self._payloads.fetch(self.step.spec.step_id)
            self.step.restore(kept)
            self._restoring = False
            self._notify()
            self._unplaced.set()
        for index in self.step.list_missing():
            self._want(index)
        tasks.start_soon(self._maker.run)
        tasks.start_soon(self._place_finished)

    def cancel(self) -> None:
        """End the step without the rest of its samples."""
        self.step.cancelled = True
        self._finished.set()

    def has_committed(self, cursor: int) -> bool:
        """Tell whether a sequence number was given as far as is known."""
        return cursor <= len(self.step.order)

    async def check_ownership(self) -> None:
        """Raise ``LeaseLost`` if another process owns the step by now."""
        await self._ledger.check_ownership()

    def relinquish(self) -> None:
        """End the work of a process that does not own the step any more."""
        self._lost = True
        self._finished.set()

    async def fetch_samples(
        self, cursor: int, wait_seconds: float
    ) -> _page.SamplePage:
        """Acknowledge up to `cursor` and return what comes after it.

        A sequence number always means the same index, also on an earlier
        owner that was paused and does not know yet that it is not the owner:
        it has no numbers but those that the ledger gave.

        What was acknowledged is never handed over again: a trainer that lost
        its cursor goes on after the last sample acknowledged.

        Parameters
        ----------
        cursor : int
            The last sequence number that the trainer has.
        wait_seconds : float
            How long to wait where there is nothing after it yet.
        """
        if len(self.step.order) < cursor <= self.step.total:
            raise errors.NotRun(
                f'cursor = {cursor}: the newest is {len(self.step.order)}',
                step='draw',
            )
        self.step.acknowledge(cursor)
        cursor = max(cursor, self.step.acknowledged)
        if self.step.is_acknowledged:
            self._finished.set()
            return _page.SamplePage(cursor, [], cursor, self.step.total, True)
        with anyio.move_on_after(min(wait_seconds, MAX_WAIT_SECONDS)):
            while not (self._list_ready(cursor) or self._makes_no_more()):
                await self._changed.wait()
        samples = self._list_ready(cursor)
        last = samples[-1].sequence if samples else cursor
        done = not samples and self._makes_no_more()
        if done:
            self._finished.set()
        return _page.SamplePage(cursor, samples, last, self.step.total, done)

    def _makes_no_more(self) -> bool:
        """Tell whether the step expired and all that was made is placed."""
        return self.step.expired and all(
            index in self.step.committed for index in self.step.samples
        )

    def _list_ready(self, cursor: int) -> list[_step.Sample]:
        """Return the samples from `cursor` to the first that is not ready.

        Sequence numbers are handed over without gaps. A sample that became
        stale while it waited, or was lost with an earlier owner, is made
        again under the number it has: under another one, a trainer that did
        get it in an answer thought lost would have it twice. All such
        samples are looked for, so that they are made at the same time. After
        the step's deadline they are left out.
        """
        ready = []
        gap = False
        last = min(len(self.step.order), cursor + MAX_DRAW_SAMPLES)
        for sequence in range(cursor + 1, last + 1):
            index = self.step.order[sequence - 1]
            sample = self._find_fresh(index)
            if sample is None:
                self._want(index)
                gap = not self.step.expired
            elif not gap:
                ready.append(
                    msgspec.structs.replace(sample, sequence=sequence)
                )
        return ready

    def _find_fresh(self, index: int) -> _step.Sample | None:
        sample = self.step.samples.get(index)
        if sample is None or self._producer.is_fresh(self.step.spec, sample):
            return sample
        LOG.info('sample %s went stale before hand-over', index)
        del self.step.samples[index]
        return None

    def _want(self, index: int) -> None:
        if not self._restoring and not self.step.expired:
            self._maker.want(index)

    def _remaining_seconds(self) -> float:
        if not self.step.expires_at:
            return self.step.spec.deadline_seconds
        return max(self.step.expires_at - self._clock(), 0.0)

    async def _note_made(self, sample: _step.Sample) -> None:
        self.step.samples[sample.index] = sample
        if sample.index in self.step.committed:
            await self._payloads.save(self.step.spec.step_id, [sample])
            self._notify()
        else:
            self._unplaced.set()

    async def _watch_deadline(self) -> None:
        """Stop making samples at the deadline; hand over those there are."""
        if not self.step.expires_at:
            return
        await anyio.sleep(self._remaining_seconds())
        LOG.warning(
            'step %s expired with %s of %s samples placed',
            self.step.spec.step_id,
            len(self.step.order),
            self.step.total,
        )
        self.step.expired = True
        self._maker.stop()
        self._notify()
        await anyio.sleep(EXPIRED_LINGER_SECONDS)
        self._finished.set()

    async def _place_finished(self) -> None:
        while True:
            await self._unplaced.wait()
            self._unplaced = anyio.Event()
            calls = self._ledger.calls
            await self._place()
            calls_made = self._ledger.calls - calls
            await anyio.sleep(choose_pause_seconds(calls_made))

    async def _place(self) -> None:
        for index in [i for i in list(self.step.samples) if self._is_late(i)]:
            self._want(index)
        samples = [
            sample
            for index, sample in self.step.samples.items()
            if index not in self.step.committed
        ]
        if not samples:
            return
        self._placing_since = anyio.current_time()
        await self._payloads.save(self.step.spec.step_id, samples)
        indices = [sample.index for sample in samples]
        await self._ledger.append(indices, self.step.acknowledged)
        self._placing_since = 0.0
        # Only now may the trainer see them: from here on a new owner reads
        # the same sequence numbers in the ledger.
        for index in indices:
            self.step.commit(index)
        self._notify()

    def _is_late(self, index: int) -> bool:
        """Tell whether an unplaced sample went stale, and drop it then.

        One that is placed all the same would hold up those behind it.
        """
        if index in self.step.committed:
            return False
        return self._find_fresh(index) is None

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _end(self) -> None:
        try:
            await self._ledger.close(
                self.step.acknowledged,
                self.step.total - self.step.acknowledged,
            )
        except errors.LeaseLost:
            LOG.info('step %s was ended by another', self.step.spec.step_id)
            return
        await self._payloads.drop(self.step.spec.step_id)
        await self._ledger.erase()

    def summarize(self) -> dict[str, object]:
        """Return the state, for a dump.

        ``placing_seconds`` grows while the platform takes no writes.
        """
        placing_seconds = 0.0
        if self._placing_since:
            placing_seconds = anyio.current_time() - self._placing_since
        return {
            'total': self.step.total,
            'waiting': self._maker.waiting,
            'making': self._maker.running,
            'made': len(self.step.samples),
            'placed': len(self.step.order),
            'acknowledged': self.step.acknowledged,
            'expired': self.step.expired,
            'placing_seconds': round(placing_seconds, 3),
            'platform_calls': self._ledger.calls,
        }
