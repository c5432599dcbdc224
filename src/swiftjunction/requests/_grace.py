"""The time that a process which is to stop has left for its requests."""

import collections.abc
import contextlib
import math

import anyio

from swiftjunction import errors

# Within this time the last responses reach their callers, connections that
# are still open are aborted, and the process ends.
ANSWER_RESERVE_SECONDS = 0.45


class GracePeriod:
    """Accepts only requests that end before the process has to.

    Before it begins, it accepts all requests. Once it has begun, a request
    that may last longer is refused before it is sent to a server, unless it
    may be repeated and is expected to end in time. The deadline of those in
    flight is no later than its end.
    """

    __slots__ = ('_ends_at', '_scopes')

    def __init__(self) -> None:
        self._ends_at = math.inf
        self._scopes: set[anyio.CancelScope] = set()

    def begin(self, seconds: float) -> None:
        """Begin the period.

        Parameters
        ----------
        seconds : float
            Time until the process is killed, in seconds.
        """
        self._ends_at = anyio.current_time() + seconds - ANSWER_RESERVE_SECONDS
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self._ends_at)

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
