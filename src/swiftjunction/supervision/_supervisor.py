"""Restarts the background tasks of a process that fail."""

import collections.abc
import logging
import time
import typing

import anyio

from swiftjunction import errors
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

INITIAL_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 2.0
# A task that has run for this long works again.
STABLE_SECONDS = 5.0
# Rounds that fail again and again are this much further apart.
MAX_INTERVAL_FACTOR = 32

# Errors that end a task on purpose, and those after which no task of the
# process can be trusted.
PASSED_ERRORS = (errors.LeaseLost, errors.SettingsError, MemoryError)

Task = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Supervisor:
    """Runs background tasks so that the error of one does not end the others.

    Parameters
    ----------
    metrics : Metrics
        Counts the failures of each task.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = ('_clock', '_failing_since', '_last_failure', '_metrics')

    def __init__(
        self,
        metrics: telemetry.Metrics,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        # For each task, when it failed last, and the first of the failures
        # between which it did not run for STABLE_SECONDS.
        self._last_failure: dict[str, float] = {}
        self._failing_since: dict[str, float] = {}

    async def run(self, name: str, task: Task) -> None:
        """Run a task until it ends, again after each unexpected error.

        Parameters
        ----------
        name : str
            Name of the task in logs and metrics.
        task : callable
            Runs until it is cancelled; must be able to run again.

        Raises
        ------
        LeaseLost, SettingsError
            If the task raises it, alone or in a group.
        """
        delay_seconds = INITIAL_DELAY_SECONDS
        while True:
            started_at = self._clock()
            try:
                await task()
                return
            except Exception as error:
                if _is_passed(error):
                    raise
                self._record_failure(name)
                if self._clock() - started_at > STABLE_SECONDS:
                    delay_seconds = INITIAL_DELAY_SECONDS
                LOG.exception(
                    'a background task failed and is started again',
                    extra={'task': name, 'delay_seconds': delay_seconds},
                )
            await anyio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_DELAY_SECONDS)

    async def run_essential(self, name: str, task: Task) -> None:
        """Run a task whose unexpected error ends the process.

        It cannot run again in the same process, and the process is of no use
        without it.
        """
        try:
            await task()
        except Exception as error:
            if not _is_passed(error):
                self._count_failure(name)
                LOG.exception(
                    'a background task failed; the process ends',
                    extra={'task': name},
                )
            raise

    async def run_isolated(
        self, name: str, task: Task, **context: object
    ) -> bool:
        """Run a task once that concerns a single item.

        An unexpected error is logged and ends this task alone.

        Parameters
        ----------
        name : str
            Kind of the task in logs and metrics.
        task : callable
            The task.
        context : object
            Fields of the log line that tell the item.

        Returns
        -------
        bool
            Whether the task ended without an unexpected error.
        """
        try:
            await task()
            return True
        except Exception as error:
            if _is_passed(error):
                raise
            self._count_failure(name)
            LOG.exception(
                'the task of one item failed', extra={'task': name, **context}
            )
            return False

    async def run_rounds(
        self, name: str, task: Task, interval_seconds: float
    ) -> None:
        """Run a task again and again, until cancelled.

        After an unexpected error the interval is doubled, up to
        ``MAX_INTERVAL_FACTOR`` times.

        Parameters
        ----------
        name : str
            Name of the task in logs and metrics.
        task : callable
            One round.
        interval_seconds : float
            Time before each round.
        """
        factor = 1
        while True:
            await anyio.sleep(factor * interval_seconds)
            if await self.run_isolated(name, task):
                factor = 1
            else:
                factor = min(2 * factor, MAX_INTERVAL_FACTOR)

    def compute_failing_seconds(self, name: str) -> float:
        """Return for how long a task has failed again and again.

        It is 0 for a task that runs, also after a single failure.
        """
        now = self._clock()
        if not self._is_failing(name, now):
            return 0.0
        if self._last_failure[name] == self._failing_since[name]:
            return 0.0
        return now - self._failing_since[name]

    def summarize(self) -> dict[str, float]:
        """Return the tasks that fail, and for how long, for the dump."""
        now = self._clock()
        return {
            name: round(now - since, 1)
            for name, since in self._failing_since.items()
            if self._is_failing(name, now)
        }

    def _is_failing(self, name: str, now: float) -> bool:
        failed_at = self._last_failure.get(name)
        return failed_at is not None and now - failed_at <= STABLE_SECONDS

    def _record_failure(self, name: str) -> None:
        self._count_failure(name)
        now = self._clock()
        if not self._is_failing(name, now):
            self._failing_since[name] = now
        self._last_failure[name] = now

    def _count_failure(self, name: str) -> None:
        self._metrics.count('task_failures', task=name)


def _is_passed(error: Exception) -> bool:
    if isinstance(error, ExceptionGroup):
        return error.subgroup(PASSED_ERRORS) is not None
    return isinstance(error, PASSED_ERRORS)
