"""Generates the requested samples of a step as slots become available."""

import collections.abc

import anyio
import anyio.abc

from swiftjunction.steps import _production
from swiftjunction.steps import _step

# Number of slots that a step waits for concurrently. A single waiting request
# would receive at most one slot of each burst of released slots.
MAX_WAITING_SLOTS = 8


class SampleScheduler:
    """Generates requested samples of a step in the order of its schedule.

    Parameters
    ----------
    step : Step
        The step that the samples belong to.
    producer : Producer
        Grants slots and generates samples.
    remaining_seconds : callable
        Returns the seconds until the deadline of the step.
    on_finished : callable
        Awaited with each finished sample.
    """

    __slots__ = (
        '_on_finished',
        '_producer',
        '_remaining_seconds',
        '_requested',
        '_schedule',
        '_scope',
        '_step',
        '_tasks_by_index',
        '_work_available',
    )

    def __init__(
        self,
        step: _step.Step,
        producer: _production.Producer,
        remaining_seconds: collections.abc.Callable[[], float],
        on_finished: collections.abc.Callable[
            [_step.Sample], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._step = step
        self._producer = producer
        self._remaining_seconds = remaining_seconds
        self._on_finished = on_finished
        self._schedule = producer.make_schedule(step.spec)
        self._tasks_by_index = {
            task.index: task for task in step.spec.iter_tasks()
        }
        self._requested: set[int] = set()
        self._work_available = anyio.Event()
        self._scope = anyio.CancelScope()

    @property
    def waiting(self) -> int:
        """Return the number of samples that wait for a slot."""
        return self._schedule.size

    @property
    def running(self) -> int:
        """Return the number of samples that are being generated or scored."""
        return len(self._requested) - self._schedule.size

    def request(self, index: int) -> None:
        """Schedule a sample unless it is waiting or running."""
        if index in self._requested:
            return
        self._requested.add(index)
        self._schedule.push(
            self._tasks_by_index[index], index in self._step.committed
        )
        self._work_available.set()
        self._work_available = anyio.Event()

    def stop(self) -> None:
        """Cancel all waiting and running samples."""
        self._scope.cancel()

    async def run(self) -> None:
        """Generate requested samples until stopped or cancelled."""
        async with anyio.create_task_group() as tasks:
            self._scope = tasks.cancel_scope
            for _ in range(MAX_WAITING_SLOTS):
                tasks.start_soon(self._dispatch, tasks)

    async def _dispatch(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            while not self._schedule.size:
                await self._work_available.wait()
            slot = await self._producer.acquire_slot(
                self._step.spec, self._remaining_seconds()
            )
            task = self._schedule.pop()
            if task is None:
                slot.release()
                continue
            tasks.start_soon(self._produce, task, slot)

    async def _produce(
        self, task: _step.SampleTask, slot: _production.Slot
    ) -> None:
        urgent = task.index in self._step.committed or not self._schedule.size
        sample = await self._producer.produce(
            self._step.spec, task, slot, urgent=urgent
        )
        self._requested.discard(task.index)
        self._schedule.update(task, sample.tokens)
        await self._on_finished(sample)
