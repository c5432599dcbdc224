"""Servers whose entries vanish: gone for good, or for a moment only.

While the list of servers is away, entries may lapse although their servers
live; they come back a moment after the list does. So a server whose entry is
gone keeps its work a little longer, and longer after an outage.
"""

import collections.abc
import logging

import anyio

from swiftjunction.backends import _directory
from swiftjunction.backends import _server

LOG = logging.getLogger(__name__)

USUAL_DELAY_SECONDS = 0.5
AFTER_OUTAGE_DELAY_SECONDS = 2.5
# So long after an outage may entries still be missing because of it.
OUTAGE_EFFECT_SECONDS = 3.0
CHECK_INTERVAL_SECONDS = 0.1

Clock = collections.abc.Callable[[], float]


class DelayedRemoval:
    """Tells a directory of servers that are gone, not too early.

    Parameters
    ----------
    directory : Directory
        Is told of servers.
    is_list_unavailable : callable
        Tells whether the list of servers cannot be read now.
    clock : callable
        Returns seconds of a monotonic clock.
    """

    __slots__ = (
        '_unavailable_at',
        '_clock',
        '_directory',
        '_is_list_unavailable',
        '_missing',
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
        self._unavailable_at = -OUTAGE_EFFECT_SECONDS
        self._missing: dict[str, float] = {}

    def record_listed(self, report: _server.ServerReport) -> None:
        """Learn of a server's entry."""
        self._missing.pop(report.name, None)
        self._directory.update(report)

    def record_missing(self, name: str) -> None:
        """Learn that the entry of a server is gone."""
        self._missing.setdefault(name, self._clock())

    async def run(self) -> None:
        """Drop servers whose time is up, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.remove_expired()

    def remove_expired(self) -> None:
        """Drop the servers whose entries did not come back in time."""
        now = self._clock()
        if self._is_list_unavailable():
            self._unavailable_at = now
            return
        after_outage = now - self._unavailable_at < OUTAGE_EFFECT_SECONDS
        for name, since in list(self._missing.items()):
            delay_seconds = (
                AFTER_OUTAGE_DELAY_SECONDS
                if after_outage or since < self._unavailable_at
                else USUAL_DELAY_SECONDS
            )
            if now - since < delay_seconds:
                continue
            del self._missing[name]
            server = self._directory.get(name)
            if server is not None:
                LOG.info('server gone', extra={'server': name})
                self._directory.remove(name)
