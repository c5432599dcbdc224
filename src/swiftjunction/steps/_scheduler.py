"""Makes the samples of one step that are wanted, as slots come free."""

import collections.abc

import anyio
import anyio.abc

from swiftjunction.steps import _production
from swiftjunction.steps import _step

# Slots that a step waits for at once.
SLOTS_ASKED = 8


class SampleScheduler:
    """Makes samples in the order of the step's schedule.

    Parameters
    ----------
    step : Step
        Which it makes them for.
    producer : Producer
        Makes each one.
    remaining_seconds : callable
        Returns how long the step still has.
    on_made : callable
        Awaited with each sample.
    """

    __slots__ = (
        '_making',
        '_on_made',
        '_producer',
        '_remaining_seconds',
        '_schedule',
        '_scope',
        '_step',
        '_tasks_by_index',
        '_wanted',
    )

    def __init__(
        self,
        step: _step.Step,
        producer: _production.Producer,
        remaining_seconds: collections.abc.Callable[[], float],
        on_made: collections.abc.Callable[
            [_step.Sample], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._step = step
        self._producer = producer
        self._remaining_seconds = remaining_seconds
        self._on_made = on_made
        self._schedule = producer.make_schedule(step.spec)
        self._tasks_by_index = {
            task.index: task for task in step.spec.iter_tasks()
        }
        self._making: set[int] = set()
        self._wanted = anyio.Event()
        self._scope = anyio.CancelScope()

    @property
    def waiting(self) -> int:
        """Return how many samples wait for a slot."""
        return self._schedule.size

    @property
    def running(self) -> int:
        """Return how many samples are being made."""
        return len(self._making) - self._schedule.size

    def want(self, index: int) -> None:
        """Make a sample, unless it is being made."""
        if index in self._making:
            return
        self._making.add(index)
        self._schedule.push(
            self._tasks_by_index[index], index in self._step.committed
        )
        self._wanted.set()
        self._wanted = anyio.Event()

    def stop(self) -> None:
        """Make no more, and end what runs."""
        self._scope.cancel()

    async def run(self) -> None:
        """Make what is wanted until stopped or cancelled."""
        async with anyio.create_task_group() as tasks:
            self._scope = tasks.cancel_scope
            for _ in range(SLOTS_ASKED):
                tasks.start_soon(self._start_wanted, tasks)

    async def _start_wanted(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            while not self._schedule.size:
                await self._wanted.wait()
            slot = await self._producer.acquire_slot(
                self._step.spec, self._remaining_seconds()
            )
            task = self._schedule.pop()
            if task is None:
                slot.release()
                continue
            tasks.start_soon(self._make, task, slot)

    async def _make(
        self, task: _step.SampleTask, slot: _production.Slot
    ) -> None:
        urgent = task.index in self._step.committed or not self._schedule.size
        sample = await self._producer.produce(
            self._step.spec, task, slot, urgent=urgent
        )
        self._making.discard(task.index)
        self._schedule.learn(task, sample.tokens)
        await self._on_made(sample)
