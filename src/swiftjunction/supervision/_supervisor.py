"""Reports the background tasks of a process that fail."""

import collections.abc
import logging
import typing

from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

Task = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Supervisor:
    """Names the task whose unexpected error ends the process.

    Parameters
    ----------
    metrics : Metrics
        Counts the failures of each task.
    """

    __slots__ = ('_metrics',)

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self._metrics = metrics

    async def run(self, name: str, task: Task) -> None:
        """Run a task until it ends or fails.

        Parameters
        ----------
        name : str
            Name of the task in logs and metrics.
        task : callable
            Runs until it is cancelled.
        """
        try:
            await task()
        except Exception:
            self._metrics.count('task_failures', task=name)
            LOG.exception('a background task failed', extra={'task': name})
            raise
