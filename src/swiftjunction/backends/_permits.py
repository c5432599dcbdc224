"""Permits to send requests to servers that named a request limit."""

import abc
import collections.abc
import math
import random

import msgspec

from swiftjunction.backends import _rates
from swiftjunction.backends import _server

# Size of a bucket: the permits of this time at the rate, and this many more.
BURST_SECONDS = 1.0
BURST_REQUESTS = 2
MAX_BUCKETS = 4096


class Permit(msgspec.Struct, frozen=True):
    """The answer to a request for a permit.

    Attributes
    ----------
    granted : bool
        Whether the request may be sent.
    wait_seconds : float
        After which time it may be sent, or another permit be requested.
    """

    granted: bool
    wait_seconds: float = 0.0


class PermitBuckets:
    """A token bucket for each server with a limit.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random, optional
        Draws when each bucket gives its first permit, within one interval, so
        that many processes that begin at once keep to the sum of their rates.
        Without it, that is at once.
    """

    __slots__ = ('_clock', '_due_at', '_rng')

    def __init__(
        self,
        clock: collections.abc.Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        # When the next permit of a steady flow is due, by run.
        self._due_at: dict[_rates.Run, float] = {}

    def take(
        self,
        run: _rates.Run,
        requests_per_second: float,
        max_wait_seconds: float,
    ) -> Permit:
        """Take the next permit, unless it is too far ahead.

        A new bucket has no burst, as another process may have given permits
        before.
        """
        now = self._clock()
        burst_seconds = BURST_SECONDS + BURST_REQUESTS / requests_per_second
        due_at = self._due_at.pop(run, None)
        if due_at is None:
            delay_seconds = self._rng.random() if self._rng else 0.0
            due_at = now + burst_seconds + delay_seconds / requests_per_second
        wait_seconds = max(due_at - burst_seconds - now, 0.0)
        granted = wait_seconds <= max_wait_seconds
        if granted:
            due_at = max(due_at, now) + 1 / requests_per_second
        self._due_at[run] = due_at
        if len(self._due_at) > MAX_BUCKETS:
            del self._due_at[next(iter(self._due_at))]
        return Permit(granted, wait_seconds)

    def forget(self, run: _rates.Run) -> None:
        """Forget a bucket, so that it begins anew."""
        self._due_at.pop(run, None)


class PermitSource(abc.ABC):
    """Gives permits for the servers that all processes share."""

    __slots__ = ()

    @abc.abstractmethod
    async def acquire(
        self,
        server: _server.BackendServer,
        request_class: str,
        max_wait_seconds: float = math.inf,
    ) -> None:
        """Wait for a permit to send one request to a server.

        Returns at once if the server has named no limit.

        Raises
        ------
        RateLimited
            If there is none within the time that the class may wait.
        """


class UnlimitedPermits(PermitSource):
    """Permits of deployments whose servers name no limits."""

    __slots__ = ()

    async def acquire(
        self,
        server: _server.BackendServer,
        request_class: str,
        max_wait_seconds: float = math.inf,
    ) -> None:
        return
