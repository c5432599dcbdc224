"""The time that a process which is to stop has left for its requests."""

import collections.abc
import contextlib
import math

import anyio

from swiftjunction import errors

# Within this time the last responses reach their callers, connections that
# are still open are aborted, and the process ends.
ANSWER_RESERVE_SECONDS = 0.45
# How often a response waits for the event loop before its caller has it.
LOOP_PASSES_PER_ANSWER = 4
# A longer reserve would refuse requests that can still be served.
MAX_LAG_RESERVE_SECONDS = 1.0
MAX_LAG_RESERVE_SHARE = 0.125
# The listener closes this long before requests have to end.
CLOSING_SECONDS = 1.05


def compute_reserve(loop_lag_seconds: float, period_seconds: float) -> float:
    """Return how long before the end of the period requests have to end.

    Parameters
    ----------
    loop_lag_seconds : float
        The average lag of the event loop.
    period_seconds : float
        Length of the whole period.

    Returns
    -------
    float
        Time in seconds, between `ANSWER_RESERVE_SECONDS` and that and
        `MAX_LAG_RESERVE_SECONDS` together.
    """
    return ANSWER_RESERVE_SECONDS + min(
        loop_lag_seconds * LOOP_PASSES_PER_ANSWER,
        period_seconds * MAX_LAG_RESERVE_SHARE,
        MAX_LAG_RESERVE_SECONDS,
    )


class GracePeriod:
    """Accepts only requests that end before the process has to.

    Before it begins, it accepts all requests. Once it has begun, a request
    that may last longer is refused before it is sent to a server, unless it
    may be repeated and is expected to end in time. The deadline of those in
    flight is no later than its end.
    """

    __slots__ = ('_ends_at', '_killed_at', '_scopes', '_seconds')

    def __init__(self) -> None:
        self._ends_at = math.inf
        self._killed_at = math.inf
        self._seconds = math.inf
        self._scopes: set[anyio.CancelScope] = set()

    def begin(self, seconds: float, loop_lag_seconds: float = 0.0) -> None:
        """Begin the period.

        Parameters
        ----------
        seconds : float
            Time until the process is killed, in seconds.
        loop_lag_seconds : float
            The average lag of the event loop.
        """
        self._seconds = seconds
        self._killed_at = anyio.current_time() + seconds
        self.update(loop_lag_seconds)

    def update(self, loop_lag_seconds: float) -> None:
        """Set the end of requests by the lag of the event loop."""
        reserve_seconds = compute_reserve(loop_lag_seconds, self._seconds)
        self._ends_at = self._killed_at - reserve_seconds
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self._ends_at)

    def compute_remaining(self) -> float:
        """Return for how long connections are accepted, in seconds."""
        closes_at = self._ends_at - CLOSING_SECONDS
        return max(closes_at - anyio.current_time(), 0.0)

    def check(self, ends_at: float) -> None:
        """Check whether a request can be accepted.

        Parameters
        ----------
        ends_at : float
            When the request ends at the latest, or when it is expected to end
            if its caller may repeat it; on the event loop's clock in seconds.

        Raises
        ------
        NotRun
            If the request may not end before the period does. Another process
            can run it at once.
        """
        if ends_at > self._ends_at:
            raise errors.NotRun(
                'this VM is shutting down before the request may end',
                step='admit',
                retry_after_seconds=0.0,
            )

    def cap(self, deadline: float) -> float:
        """Return a deadline that is no later than the end of the period."""
        return min(deadline, self._ends_at)

    @contextlib.contextmanager
    def limit(
        self, deadline: float
    ) -> collections.abc.Iterator[anyio.CancelScope]:
        """Cancel the body of the context at a deadline or when this ends.

        Parameters
        ----------
        deadline : float
            On the event loop's clock, in seconds.
        """
        with anyio.CancelScope(deadline=self.cap(deadline)) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)
