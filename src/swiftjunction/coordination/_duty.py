"""The coordinator's duty: batches, weight versions, and emptied storage."""

import abc
import collections.abc
import logging

import anyio

from swiftjunction import batches
from swiftjunction.coordination import _coordinator
from swiftjunction import leases

LOG = logging.getLogger(__name__)


class Feeds(abc.ABC):
    """What the deployment tells its coordinator."""

    __slots__ = ()

    @abc.abstractmethod
    async def follow_versions(
        self, name_version: collections.abc.Callable[[str, int], None]
    ) -> None:
        """Tell of each model's named version until cancelled."""

    @abc.abstractmethod
    async def answer_drains(self) -> None:
        """Say of each storage VM that is to be emptied that it is empty.

        No storage VM keeps anything, so this holds at once.
        """


class CoordinatorDuty(_coordinator.Duty):
    """Runs batches and rolls out versions.

    Parameters
    ----------
    runner : BatchRunner
        Runs the batches.
    rollout : VersionRollout
        Orders versions.
    feeds : Feeds
        Where versions are named.
    list_services : callable
        Returns the services whose engines run batches.
    settle_seconds : float
        For so long, orders of an earlier holder may still reach engines.
    """

    __slots__ = (
        '_feeds',
        '_list_services',
        '_rollout',
        '_runner',
        '_settle_seconds',
        'running',
    )

    def __init__(
        self,
        runner: batches.BatchRunner,
        rollout: batches.VersionRollout,
        feeds: Feeds,
        list_services: collections.abc.Callable[[], set[str]],
        settle_seconds: float,
    ) -> None:
        self._runner = runner
        self._rollout = rollout
        self._feeds = feeds
        self._list_services = list_services
        self._settle_seconds = settle_seconds
        self.running = False

    async def run(self, lease: leases.Lease) -> None:
        self.running = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._runner.run)
                tasks.start_soon(
                    self._rollout.run,
                    self._list_services,
                    lease,
                    self._settle_seconds,
                )
                tasks.start_soon(
                    self._feeds.follow_versions,
                    self._rollout.set_target_version,
                )
                tasks.start_soon(self._feeds.answer_drains)
        finally:
            self.running = False

    async def finish(self, seconds: float) -> None:
        await self._runner.stop(seconds)
