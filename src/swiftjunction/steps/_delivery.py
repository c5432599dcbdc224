"""Works on one step: makes its samples and hands them over once each."""

import logging

import anyio
import anyio.abc
import msgspec

from swiftjunction import errors
from swiftjunction.steps import _ledger
from swiftjunction.steps import _payloads
from swiftjunction.steps import _production
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

# At most one ledger write a step in this time.
PLACE_INTERVAL_SECONDS = 1.0
MAX_DRAW_SAMPLES = 512
MAX_WAIT_SECONDS = 30.0


class Draw(msgspec.Struct, frozen=True):
    """What a trainer gets for a cursor.

    Attributes
    ----------
    cursor : int
        What to draw with next; it acknowledges these samples.
    done : bool
        Whether the trainer has acknowledged the whole step.
    """

    samples: list[_step.Sample]
    cursor: int
    total: int
    done: bool


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
    payloads : Payloads
        Keeps them until they are acknowledged.
    """

    __slots__ = (
        '_changed',
        '_finished',
        '_ledger',
        '_making',
        '_payloads',
        '_producer',
        '_stop',
        '_tasks',
        '_tasks_by_index',
        'step',
    )

    def __init__(
        self,
        step: _step.Step,
        ledger: _ledger.Ledger,
        producer: _production.Producer,
        payloads: _payloads.Payloads,
    ) -> None:
        self.step = step
        self._ledger = ledger
        self._producer = producer
        self._payloads = payloads
        self._changed = anyio.Event()
        self._finished = anyio.Event()
        self._stop = anyio.CancelScope()
        self._making: set[int] = set()
        self._tasks_by_index = {
            task.index: task for task in step.spec.list_tasks()
        }
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Work until the trainer has every sample, or the step is lost.

        Raises
        ------
        ExceptionGroup
            Of ``LeaseLost``, if another process owns the step by now.
        """
        with self._stop:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._make_missing()
                tasks.start_soon(self._place_finished)
                await self._finished.wait()
                tasks.cancel_scope.cancel()
        await self._end()

    def cancel(self) -> None:
        """End the step without the rest of its samples."""
        self.step.cancelled = True
        self._finished.set()

    async def draw(self, cursor: int, wait_seconds: float) -> Draw:
        """Acknowledge up to `cursor` and return what comes after it.

        The same cursor always gives the same samples in the same order,
        perhaps more or fewer of them.

        Parameters
        ----------
        cursor : int
            The last sequence number that the trainer has.
        wait_seconds : float
            How long to wait where there is nothing after it yet.
        """
        self.step.acknowledge(cursor)
        if self.step.is_acknowledged:
            self._finished.set()
            return Draw([], cursor, self.step.total, True)
        with anyio.move_on_after(min(wait_seconds, MAX_WAIT_SECONDS)):
            while not (ready := self._list_ready(cursor)):
                await self._changed.wait()
        samples = self._list_ready(cursor) if not ready else ready
        return Draw(samples, cursor + len(samples), self.step.total, False)

    def _list_ready(self, cursor: int) -> list[_step.Sample]:
        """Return the samples from `cursor` to the first that is not ready.

        Sequence numbers are handed over without gaps. A sample that became
        stale while it waited, or was lost with an earlier owner, is made
        again under the number it has: under another one, a trainer that did
        get it in an answer thought lost would have it twice.
        """
        ready = []
        for sequence in range(
            cursor + 1,
            min(len(self.step.order), cursor + MAX_DRAW_SAMPLES) + 1,
        ):
            index = self.step.order[sequence - 1]
            sample = self.step.samples.get(index)
            if sample is not None and not self._producer.is_fresh(
                self.step.spec, sample
            ):
                LOG.info('sample %s went stale before hand-over', index)
                del self.step.samples[index]
                sample = None
            if sample is None:
                self._start_making(index)
                break
            ready.append(msgspec.structs.replace(sample, sequence=sequence))
        return ready

    def _make_missing(self) -> None:
        acknowledged = set(self.step.order[: self.step.acknowledged])
        for index in self._tasks_by_index:
            if index not in self.step.samples and index not in acknowledged:
                self._start_making(index)

    def _start_making(self, index: int) -> None:
        if index in self._making or self._tasks is None:
            return
        self._making.add(index)
        self._tasks.start_soon(self._make, index)

    async def _make(self, index: int) -> None:
        sample = await self._producer.make(
            self.step.spec, self._tasks_by_index[index]
        )
        self._making.discard(index)
        self.step.samples[index] = sample
        if index in self.step.placed:
            await self._payloads.keep(self.step.spec.step_id, [sample])
            self._notify()

    async def _place_finished(self) -> None:
        while True:
            await anyio.sleep(PLACE_INTERVAL_SECONDS)
            samples = [
                sample
                for index, sample in self.step.samples.items()
                if index not in self.step.placed
            ]
            if samples:
                await self._place(samples)

    async def _place(self, samples: list[_step.Sample]) -> None:
        await self._payloads.keep(self.step.spec.step_id, samples)
        indices = [sample.index for sample in samples]
        await self._ledger.place(indices, self.step.acknowledged)
        # Only now may the trainer see them: from here on a new owner reads
        # the same sequence numbers in the ledger.
        for index in indices:
            self.step.place(index)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _end(self) -> None:
        try:
            await self._ledger.close(self.step.acknowledged)
        except errors.LeaseLost:
            LOG.info('step %s was ended by another', self.step.spec.step_id)
            return
        await self._payloads.drop(self.step.spec.step_id)
        await self._ledger.erase()
