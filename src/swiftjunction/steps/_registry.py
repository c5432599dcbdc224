"""The steps that a process owns: submission, take-over and end."""

import collections.abc
import logging
import time

import anyio
import anyio.abc

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.steps import _delivery
from swiftjunction.steps import _ledger
from swiftjunction.steps import _payloads
from swiftjunction.steps import _production
from swiftjunction.steps import _step
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)


class StepRegistry:
    """Opens, takes over and runs steps.

    Parameters
    ----------
    store : ObjectStore
        Holds the ledgers of all steps.
    owner : str
        Name of this process.
    producer : Producer
        Generates and scores the samples.
    payloads : PayloadStore
        Stores the samples until their step ends.
    clock : callable
        Returns Unix time in seconds.
    """

    __slots__ = (
        '_clock',
        '_locks',
        '_owner',
        '_payloads',
        '_producer',
        '_running',
        '_store',
        '_tasks',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        owner: str,
        producer: _production.Producer,
        payloads: _payloads.PayloadStore,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._store = store
        self._owner = owner
        self._producer = producer
        self._payloads = payloads
        self._running: dict[str, _delivery.RunningStep] = {}
        self._locks: dict[str, anyio.Lock] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the owned steps until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def submit(self, spec: _step.StepSpec) -> _delivery.RunningStep:
        """Open a step, or return it if this process already owns it.

        Raises
        ------
        RequestInvalid
            If the path has no model, or the step has too many samples.
        StepElsewhere
            If the step was opened before and is not owned here.
        NotRun
            If the platform is unavailable; it is safe to submit again.
        """
        self._producer.resolve_settings(spec)
        spec.validate()
        async with self._get_lock(spec.step_id):
            running = self._running.get(spec.step_id)
            if running is not None:
                return running
            ledger = _ledger.Ledger(self._store, spec.step_id, self._owner)
            step = _step.Step(spec)
            step.expires_at = self._clock() + spec.deadline_seconds
            try:
                await ledger.open(spec, step.expires_at)
            except errors.RevisionConflict as error:
                raise errors.StepElsewhere(
                    f'step {spec.step_id} was already opened', step='submit'
                ) from error
            except errors.PlatformError as error:
                raise errors.NotRun(
                    error.message, step='submit', peer=error.peer
                ) from error
            return self._start(step, ledger)

    @property
    def owner(self) -> str:
        """Return the name of this process."""
        return self._owner

    def find(self, step_id: str) -> _delivery.RunningStep | None:
        """Return the step, or None if this process does not own it."""
        return self._running.get(step_id)

    async def verify_ownership(self, running: _delivery.RunningStep) -> bool:
        """Return whether this process still owns a step; stop it if not."""
        try:
            await running.check_ownership()
        except (errors.LeaseLost, errors.StepEnded, errors.StepIncomplete):
            self._remove(running)
            running.relinquish()
            return False
        return True

    async def read_owner(self, step_id: str) -> str:
        """Return the name of the owner of a step, read from its ledger."""
        return await _ledger.Ledger(
            self._store, step_id, self._owner
        ).read_owner()

    async def take_over(self, step_id: str) -> _delivery.RunningStep:
        """Make this process the owner of a step with an unreachable owner."""
        async with self._get_lock(step_id):
            running = self._running.get(step_id)
            if running is not None:
                return running
            ledger = _ledger.Ledger(self._store, step_id, self._owner)
            step = await ledger.take_over()
            LOG.info(
                'took over step %s with %s of %s samples committed',
                step_id,
                len(step.order),
                step.total,
            )
            return self._start(step, ledger, restoring=True)

    def _get_lock(self, step_id: str) -> anyio.Lock:
        return self._locks.setdefault(step_id, anyio.Lock())

    def _start(
        self,
        step: _step.Step,
        ledger: _ledger.Ledger,
        *,
        restoring: bool = False,
    ) -> _delivery.RunningStep:
        running = _delivery.RunningStep(
            step,
            ledger,
            self._producer,
            self._payloads,
            self._clock,
            restoring=restoring,
        )
        self._running[step.spec.step_id] = running
        assert self._tasks is not None, 'the registry is not running'
        self._tasks.start_soon(self._run_step, running)
        return running

    async def _run_step(self, running: _delivery.RunningStep) -> None:
        step_id = running.step.spec.step_id
        telemetry.set_request_context(step_id, running.step.spec.path)
        try:
            await running.run()
        except* errors.SwiftjunctionError as group:
            LOG.warning('stopped step %s: %s', step_id, group.exceptions[0])
        except* Exception:
            # An unexpected error in one step must not stop the others. The
            # step is taken over when its trainer sends the next request.
            LOG.exception('stopped step %s after an unexpected error', step_id)
        finally:
            self._remove(running)

    def _remove(self, running: _delivery.RunningStep) -> None:
        step_id = running.step.spec.step_id
        # The step may have been taken over again in the meantime.
        if self._running.get(step_id) is running:
            del self._running[step_id]
            if not self._get_lock(step_id).locked():
                self._locks.pop(step_id)

    def summarize(self) -> dict[str, object]:
        """Return the state of each step for a diagnostic dump."""
        return {
            step_id: running.summarize()
            for step_id, running in self._running.items()
        }
