"""Delayed removal of servers that are no longer listed.

During an outage of the server list, servers may disappear from it although
they are live; they reappear shortly after the outage. A server that is not
listed is therefore only removed after a delay, which is longer after an
outage.
"""

import collections.abc
import logging

import anyio

from swiftjunction.backends import _directory
from swiftjunction.backends import _report

LOG = logging.getLogger(__name__)

REMOVAL_DELAY_SECONDS = 0.5
OUTAGE_REMOVAL_DELAY_SECONDS = 2.5
# How long after its end an outage may still cause servers to be missing.
OUTAGE_RECOVERY_SECONDS = 3.0
REMOVAL_CHECK_INTERVAL_SECONDS = 0.1

Clock = collections.abc.Callable[[], float]


class DelayedRemoval:
    """Removes servers from a directory if they remain unlisted for a while.

    Parameters
    ----------
    directory : Directory
        The directory to update.
    is_list_unavailable : callable
        Returns whether the list of servers cannot be read at present.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_is_list_unavailable',
        '_missing_since',
        '_unavailable_at',
    )

    def __init__(
        self,
        directory: _directory.Directory,
        is_list_unavailable: collections.abc.Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._is_list_unavailable = is_list_unavailable
        self._clock = clock
        self._unavailable_at = -OUTAGE_RECOVERY_SECONDS
        self._missing_since: dict[str, float] = {}

    def record_listed(self, report: _report.ServerReport) -> None:
        """Update the directory from the report of a listed server."""
        self._missing_since.pop(report.name, None)
        self._directory.update(report)

    def record_missing(self, name: str) -> None:
        """Start the removal delay of a server that is no longer listed."""
        self._missing_since.setdefault(name, self._clock())

    async def run(self) -> None:
        """Remove servers whose delay has expired, until cancelled."""
        while True:
            await anyio.sleep(REMOVAL_CHECK_INTERVAL_SECONDS)
            self.remove_expired()

    def remove_expired(self) -> None:
        """Remove the servers that were not listed again in time."""
        now = self._clock()
        if self._is_list_unavailable():
            self._unavailable_at = now
            return
        after_outage = now - self._unavailable_at < OUTAGE_RECOVERY_SECONDS
        for name, since in list(self._missing_since.items()):
            delay_seconds = (
                OUTAGE_REMOVAL_DELAY_SECONDS
                if after_outage or since < self._unavailable_at
                else REMOVAL_DELAY_SECONDS
            )
            if now - since < delay_seconds:
                continue
            del self._missing_since[name]
            server = self._directory.get(name)
            if server is not None:
                LOG.info(
                    'removed server that is no longer listed',
                    extra={'server': name},
                )
                self._directory.remove(name)
