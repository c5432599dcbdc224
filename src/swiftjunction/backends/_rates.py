"""Knowledge of the request rates that servers name as their limits.

An overloaded server states a limit in its responses, in requests a second
over all processes. The limit is kept for the instance, which is one
run of the server, and holds until a later response names another one or none.
"""

import collections.abc
import logging
import math
import typing

import msgspec

from swiftjunction import decoding

LOG = logging.getLogger(__name__)

UNLIMITED = math.inf
# Sent to a server in spite of a lower limit, as only a response shows that the
# limit has ended.
MIN_REQUESTS_PER_SECOND = 0.25
# Statements of other processes arrive with an age that is off by the transit.
AGE_ERROR_SECONDS = 0.1
RETENTION_SECONDS = 600.0
MAX_SERVERS = 4096
# Statements in one status of this process, the newest ones.
MAX_SHARED_STATEMENTS = 64

Run = tuple[str, int]


class RateStatement(msgspec.Struct, frozen=True, array_like=True):
    """What a process knows of the limit of a server.

    Attributes
    ----------
    server : str
        Name of the server.
    born_ms : int
        The start of the server in Unix milliseconds; 0 if not known.
    requests_per_second : float
        The limit; infinity if the server names none any more.
    age_seconds : float
        The time since a response of the server showed it.
    """

    server: str
    born_ms: decoding.Count
    requests_per_second: decoding.NonNegative
    age_seconds: decoding.NonNegative

    @property
    def run(self) -> Run:
        """Return what identifies the run of the server."""
        return self.server, self.born_ms


class Instance(typing.Protocol):
    """The fields of a server report that are used here."""

    @property
    def name(self) -> str:
        """Return the name of the server."""

    @property
    def born_ms(self) -> int:
        """Return the start time in Unix milliseconds; 0 if not known."""

    @property
    def service(self) -> str:
        """Return the model or plain service that it serves."""


class _Limit:
    """The limit of one run of a server, on the clock of its owner.

    Attributes
    ----------
    as_of : float
        When a response showed it, in seconds.
    blocked_until : float
        Until when this process may send the server nothing.
    """

    __slots__ = ('as_of', 'blocked_until', 'requests_per_second')

    def __init__(self, requests_per_second: float, as_of: float) -> None:
        self.requests_per_second = requests_per_second
        self.as_of = as_of
        self.blocked_until = -math.inf


class ServerRates:
    """The limits that servers named, as far as this process knows.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_by_run', '_clock', '_listeners')

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        # In the order of their last statement.
        self._by_run: dict[Run, _Limit] = {}
        self._listeners: list[collections.abc.Callable[[Run], None]] = []

    def listen(self, listener: collections.abc.Callable[[Run], None]) -> None:
        """Call `listener` with each run that is newly known to be limited."""
        self._listeners.append(listener)

    def now(self) -> float:
        """Return the time with which responses are recorded."""
        return self._clock()

    def record(
        self, instance: Instance, requests_per_second: float, sent_at: float
    ) -> None:
        """Record what a response of a server named.

        A higher limit, or none, counts only if the request was sent after the
        former one was known: responses may overtake each other.

        Parameters
        ----------
        requests_per_second : float
            The limit; infinity if the response named none.
        sent_at : float
            What :meth:`now` returned before the request.
        """
        run = (instance.name, instance.born_ms)
        known = self._by_run.get(run)
        if known is None and requests_per_second == UNLIMITED:
            return
        if (
            known is not None
            and requests_per_second > known.requests_per_second
            and sent_at < known.as_of
        ):
            return
        self._apply(run, requests_per_second, self._clock())

    def merge(self, statement: RateStatement) -> None:
        """Take over what another process knows, if it is newer."""
        as_of = self._clock() - statement.age_seconds
        known = self._by_run.get(statement.run)
        if known is None and statement.requests_per_second == UNLIMITED:
            return
        if known is None or as_of > known.as_of + AGE_ERROR_SECONDS:
            self._apply(statement.run, statement.requests_per_second, as_of)

    def _apply(
        self, run: Run, requests_per_second: float, as_of: float
    ) -> None:
        limit = self._by_run.pop(run, None)
        if limit is None:
            limit = _Limit(UNLIMITED, as_of)
        former = limit.requests_per_second
        limit.requests_per_second = requests_per_second
        limit.as_of = as_of
        self._by_run[run] = limit
        self._remove_surplus()
        if requests_per_second == former:
            return
        if requests_per_second == UNLIMITED:
            limit.blocked_until = -math.inf
        LOG.info(
            'server names another request limit',
            extra={
                'server': run[0],
                'requests_per_second': _format_limit(requests_per_second),
                'former_requests_per_second': _format_limit(former),
            },
        )
        if former == UNLIMITED:
            for listener in self._listeners:
                listener(run)

    def _remove_surplus(self) -> None:
        oldest = self._clock() - RETENTION_SECONDS
        while self._by_run:
            run, limit = next(iter(self._by_run.items()))
            if len(self._by_run) <= MAX_SERVERS and limit.as_of >= oldest:
                return
            del self._by_run[run]

    def get(self, run: Run) -> float:
        """Return the limit of a run, in requests a second.

        It is infinity if the server names none.
        """
        limit = self._by_run.get(run)
        if limit is None or limit.requests_per_second == UNLIMITED:
            return UNLIMITED
        return max(limit.requests_per_second, MIN_REQUESTS_PER_SECOND)

    def describe(self, run: Run) -> RateStatement:
        """Return what is known of a run, for another process."""
        limit = self._by_run.get(run)
        if limit is None:
            return RateStatement(*run, UNLIMITED, math.inf)
        return RateStatement(
            *run, limit.requests_per_second, self._clock() - limit.as_of
        )

    def list_statements(self) -> list[RateStatement]:
        """Return the newest limits that are known, for other processes."""
        limited = [
            run
            for run, limit in self._by_run.items()
            if limit.requests_per_second != UNLIMITED
        ]
        return [self.describe(run) for run in limited[-MAX_SHARED_STATEMENTS:]]

    def block(self, run: Run, seconds: float) -> None:
        """Send nothing to a server until its next permit is due."""
        limit = self._by_run.get(run)
        if limit is not None:
            limit.blocked_until = self._clock() + seconds

    def get_blocked_seconds(self, run: Run) -> float:
        """Return for how long to send a server nothing; 0 if it may get it."""
        limit = self._by_run.get(run)
        if limit is None or limit.requests_per_second == UNLIMITED:
            return 0.0
        return max(limit.blocked_until - self._clock(), 0.0)


def _format_limit(requests_per_second: float) -> float | None:
    """Return a limit for JSON, which has no infinity."""
    if requests_per_second == UNLIMITED:
        return None
    return requests_per_second
