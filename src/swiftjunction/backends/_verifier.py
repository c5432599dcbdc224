"""Finds out whether a server is still the run that is listed.

A server that started again under its name may run other software than its
entry says, until the new entry arrives. Who stood still, or is cut off from
the list, cannot tell by the list alone.
"""

import abc
import collections.abc
import logging
import time

import anyio

from swiftjunction.backends import _server
from swiftjunction import errors

LOG = logging.getLogger(__name__)

# A server that does not say it for this long may be busy.
CHECK_TIMEOUT_SECONDS = 0.25
# Servers need longer than this to start again.
MAX_CHECK_AGE_SECONDS = 0.5

ReadStart = collections.abc.Callable[
    [_server.BackendServer], collections.abc.Awaitable[int]
]


class RunVerifier(abc.ABC):
    """Tells whether the software of a server is what is listed."""

    __slots__ = ()

    @abc.abstractmethod
    async def may_begin(self, server: _server.BackendServer) -> bool:
        """Return whether the software of a text that begins is known."""

    @abc.abstractmethod
    async def may_continue(self, server: _server.BackendServer) -> bool:
        """Return whether a server is known to run what is listed of it."""


class ListTrust(RunVerifier):
    """Trusts the list, where servers do not start again under their names."""

    __slots__ = ()

    async def may_begin(self, server: _server.BackendServer) -> bool:
        return True

    async def may_continue(self, server: _server.BackendServer) -> bool:
        return True


class StartVerifier(RunVerifier):
    """Compares when a server says that it started with what is listed.

    Of a server that says nothing, the list is trusted while it is current.

    Parameters
    ----------
    read_start : callable
        Asks a server when it started, in Unix milliseconds; 0 if it does not
        say that.
    is_list_current : callable
        Returns whether changes of the list arrive, as far as is known.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_clock', '_confirmed', '_is_list_current', '_read_start')

    def __init__(
        self,
        read_start: ReadStart,
        is_list_current: collections.abc.Callable[[], bool],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._read_start = read_start
        self._is_list_current = is_list_current
        self._clock = clock
        # When runs were confirmed, the oldest first.
        self._confirmed: dict[tuple[str, int], float] = {}

    async def may_begin(self, server: _server.BackendServer) -> bool:
        """Ask the server only if changes of the list do not arrive."""
        return self._is_list_current() or await self.may_continue(server)

    async def may_continue(self, server: _server.BackendServer) -> bool:
        self._remove_old()
        if server.run in self._confirmed:
            return True
        asked_at = self._clock()
        listed_ms = server.report.born_ms
        start_ms = await self._ask(server)
        if not listed_ms or not start_ms:
            return self._is_list_current()
        if start_ms == listed_ms:
            self._confirmed.pop(server.run, None)
            self._confirmed[server.run] = asked_at
            return True
        LOG.info(
            'server has started anew, unlike its entry',
            extra={'server': server.name, 'born': start_ms},
        )
        return False

    async def _ask(self, server: _server.BackendServer) -> int:
        try:
            with anyio.move_on_after(CHECK_TIMEOUT_SECONDS):
                return await self._read_start(server)
        except errors.BackendError as error:
            LOG.info('cannot ask a server for its start: %s', error)
        return 0

    def _remove_old(self) -> None:
        oldest = self._clock() - MAX_CHECK_AGE_SECONDS
        while self._confirmed:
            run, confirmed_at = next(iter(self._confirmed.items()))
            if confirmed_at >= oldest:
                return
            del self._confirmed[run]
