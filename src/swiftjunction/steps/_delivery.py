"""Runs one step: generates its samples and delivers each of them once."""

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

# Delay after a commit for each platform call that it made: on a healthy
# platform, a step makes at most one call per interval for its ledger.
COMMIT_INTERVAL_SECONDS = 1.0
MAX_PAGE_SAMPLES = 512
MAX_FETCH_WAIT_SECONDS = 30.0
# Retains an expired step so that its trainer can fetch the remaining samples.
EXPIRED_RETENTION_SECONDS = 60.0
# Maximum number of calls of one commit that count towards the delay. On a
# healthy platform, a commit writes the head and sometimes one sealed block.
MAX_COUNTED_CALLS = 2


def compute_commit_delay_seconds(platform_calls: int) -> float:
    """Return the delay after a commit that made `platform_calls` calls.

    The delay is capped so that calls that failed during an outage do not add
    up: after an outage of 8 s they would delay the step by another 30 s.
    """
    return COMMIT_INTERVAL_SECONDS * min(
        max(platform_calls, 1), MAX_COUNTED_CALLS
    )


class RunningStep:
    """A step that this process owns and executes.

    Parameters
    ----------
    step : Step
        The state of the step, either new or rebuilt from its ledger.
    ledger : Ledger
        The step's ledger, owned by this process.
    producer : Producer
        Generates and scores the samples.
    payloads : PayloadStore
        Stores the samples until the step ends.
    clock : callable
        Returns Unix time in seconds.
    restoring : bool
        Whether a previous owner may have stored samples.
    """

    __slots__ = (
        '_clock',
        '_commit_started_at',
        '_finished',
        '_has_uncommitted',
        '_ledger',
        '_ownership_lost',
        '_payloads',
        '_producer',
        '_restoring',
        '_scheduler',
        '_state_changed',
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
        self._state_changed = anyio.Event()
        self._finished = anyio.Event()
        self._has_uncommitted = anyio.Event()
        self._ownership_lost = False
        self._commit_started_at = 0.0
        self._scheduler = _scheduler.SampleScheduler(
            step, producer, self._remaining_seconds, self._record_sample
        )

    async def run(self) -> None:
        """Run until the step ends or another process takes it over.

        Raises
        ------
        ExceptionGroup
            Contains ``LeaseLost`` if a write of the ledger shows that another
            process owns the step now.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._start_work, tasks)
            tasks.start_soon(self._watch_deadline)
            await self._finished.wait()
            tasks.cancel_scope.cancel()
        self._producer.remove_step(self.step.spec)
        if not self._ownership_lost:
            await self._close()

    async def _start_work(self, tasks: anyio.abc.TaskGroup) -> None:
        """Restore a previous owner's samples and generate the others.

        The samples are restored in the background and not within the request
        that triggered the take-over: that request could exceed the trainer's
        timeout, and each retry would start the restoration again.
        """
        if self._restoring:
            recovered = await self._payloads.fetch(self.step.spec.step_id)
            self.step.restore(recovered)
            self._restoring = False
            self._notify()
            self._has_uncommitted.set()
        for index in self.step.list_missing():
            self._request_sample(index)
        tasks.start_soon(self._scheduler.run)
        tasks.start_soon(self._commit_periodically)

    def cancel(self) -> None:
        """End the step without its remaining samples."""
        self.step.cancelled = True
        self._finished.set()

    def has_committed(self, cursor: int) -> bool:
        """Return whether this process knows `cursor` to be committed."""
        return cursor <= len(self.step.order)

    async def check_ownership(self) -> None:
        """Raise an error unless this process still owns the step."""
        await self._ledger.check_ownership()

    def relinquish(self) -> None:
        """Stop work on a step that this process no longer owns."""
        self._ownership_lost = True
        self._finished.set()

    async def fetch_samples(
        self, cursor: int, wait_seconds: float
    ) -> _page.SamplePage:
        """Acknowledge samples up to `cursor` and return the ones after it.

        A sequence number always refers to the same sample, even on a
        previous owner that was paused and has not noticed the take-over: a
        process only delivers sequence numbers that are in the ledger.

        Acknowledged samples are never delivered again. A trainer that lost
        its cursor continues after the last acknowledged sample.

        Parameters
        ----------
        cursor : int
            The last sequence number that the trainer received.
        wait_seconds : float
            How long to wait for a sample if none is ready.
        """
        if len(self.step.order) < cursor <= self.step.total:
            raise errors.NotRun(
                f'cursor {cursor} is beyond the last committed sequence '
                f'number {len(self.step.order)}',
                step='draw',
            )
        self.step.acknowledge(cursor)
        cursor = max(cursor, self.step.acknowledged)
        if self.step.is_acknowledged:
            self._finished.set()
            return _page.SamplePage(cursor, [], cursor, self.step.total, True)
        with anyio.move_on_after(min(wait_seconds, MAX_FETCH_WAIT_SECONDS)):
            while not (self._list_deliverable(cursor) or self._is_exhausted()):
                await self._state_changed.wait()
        samples = self._list_deliverable(cursor)
        last = samples[-1].sequence if samples else cursor
        done = not samples and self._is_exhausted()
        if done:
            self._finished.set()
        return _page.SamplePage(cursor, samples, last, self.step.total, done)

    def _is_exhausted(self) -> bool:
        """Return whether it expired and no sample waits for a commit."""
        return self.step.expired and all(
            index in self.step.committed for index in self.step.samples
        )

    def _list_deliverable(self, cursor: int) -> list[_step.Sample]:
        """Return the samples after `cursor` up to the first missing one.

        Sequence numbers are delivered without gaps. A committed sample that
        went stale before delivery, or was lost with a previous owner, is
        generated again under the same sequence number: with a new number, a
        trainer that received the original in a response presumed lost would
        have it twice. All missing samples are requested at once, so that
        they are generated concurrently. After the deadline of the step they
        are skipped.
        """
        ready = []
        has_gap = False
        last = min(len(self.step.order), cursor + MAX_PAGE_SAMPLES)
        for sequence in range(cursor + 1, last + 1):
            index = self.step.order[sequence - 1]
            sample = self._get_fresh_sample(index)
            if sample is None:
                self._request_sample(index)
                has_gap = not self.step.expired
            elif not has_gap:
                ready.append(
                    msgspec.structs.replace(sample, sequence=sequence)
                )
        return ready

    def _get_fresh_sample(self, index: int) -> _step.Sample | None:
        """Return the sample, or discard it and return None if it is stale."""
        sample = self.step.samples.get(index)
        if sample is None or self._producer.is_fresh(self.step.spec, sample):
            return sample
        LOG.info(
            'discarding sample %s, which went stale before delivery', index
        )
        del self.step.samples[index]
        return None

    def _request_sample(self, index: int) -> None:
        if not self._restoring and not self.step.expired:
            self._scheduler.request(index)

    def _remaining_seconds(self) -> float:
        if not self.step.expires_at:
            return self.step.spec.deadline_seconds
        return max(self.step.expires_at - self._clock(), 0.0)

    async def _record_sample(self, sample: _step.Sample) -> None:
        self.step.samples[sample.index] = sample
        if sample.index in self.step.committed:
            await self._payloads.save(self.step.spec.step_id, [sample])
            self._notify()
        else:
            self._has_uncommitted.set()

    async def _watch_deadline(self) -> None:
        """Stop generation at the deadline, and end the step some time later.

        Until then, the trainer can fetch the finished samples.
        """
        if not self.step.expires_at:
            return
        await anyio.sleep(self._remaining_seconds())
        LOG.warning(
            'step %s reached its deadline with %s of %s samples committed',
            self.step.spec.step_id,
            len(self.step.order),
            self.step.total,
        )
        self.step.expired = True
        self._scheduler.stop()
        self._notify()
        await anyio.sleep(EXPIRED_RETENTION_SECONDS)
        self._finished.set()

    async def _commit_periodically(self) -> None:
        while True:
            await self._has_uncommitted.wait()
            self._has_uncommitted = anyio.Event()
            calls_before = self._ledger.calls
            await self._commit_samples()
            platform_calls = self._ledger.calls - calls_before
            await anyio.sleep(compute_commit_delay_seconds(platform_calls))

    async def _commit_samples(self) -> None:
        for index in [
            i for i in list(self.step.samples) if self._discard_stale(i)
        ]:
            self._request_sample(index)
        samples = [
            sample
            for index, sample in self.step.samples.items()
            if index not in self.step.committed
        ]
        if not samples:
            return
        self._commit_started_at = anyio.current_time()
        await self._payloads.save(self.step.spec.step_id, samples)
        indices = [sample.index for sample in samples]
        await self._ledger.append(indices, self.step.acknowledged)
        self._commit_started_at = 0.0
        # Samples become visible to the trainer only after the ledger write:
        # from here on, a new owner reads the same sequence numbers.
        for index in indices:
            self.step.commit(index)
        self._notify()

    def _discard_stale(self, index: int) -> bool:
        """Discard an uncommitted sample if it is stale; return whether it was.

        Committing a stale sample would block delivery of the ones after it.
        """
        if index in self.step.committed:
            return False
        return self._get_fresh_sample(index) is None

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = anyio.Event()

    async def _close(self) -> None:
        try:
            await self._ledger.close(
                self.step.acknowledged,
                self.step.total - self.step.acknowledged,
            )
        except errors.LeaseLost:
            LOG.info(
                'did not close step %s: another process owns it',
                self.step.spec.step_id,
            )
            return
        await self._payloads.drop(self.step.spec.step_id)
        await self._ledger.delete_data()

    def summarize(self) -> dict[str, object]:
        """Return the state of the step for a diagnostic dump.

        ``waiting`` counts the samples that wait for a slot, ``making`` those
        being generated or scored, ``made`` the finished ones in memory and
        ``placed`` the committed ones. ``placing_seconds`` is the duration of
        the pending commit; it grows during a platform outage.
        """
        placing_seconds = 0.0
        if self._commit_started_at:
            placing_seconds = anyio.current_time() - self._commit_started_at
        return {
            'total': self.step.total,
            'waiting': self._scheduler.waiting,
            'making': self._scheduler.running,
            'made': len(self.step.samples),
            'placed': len(self.step.order),
            'acknowledged': self.step.acknowledged,
            'expired': self.step.expired,
            'placing_seconds': round(placing_seconds, 3),
            'platform_calls': self._ledger.calls,
        }
