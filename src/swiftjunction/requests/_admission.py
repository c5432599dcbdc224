"""Admission control: which requests may start now."""

import collections
import collections.abc
import contextlib
import time

from swiftjunction import configuration
from swiftjunction import errors

# Requests of a class start only while the requests in flight, of all classes
# together, are below this share of the limit of the process. The rest is
# reserved for the higher classes, so that internal requests (between services)
# and samples never keep live requests out.
CLASS_SHARES = {'live': 1.0, 'internal': 0.75, 'samples': 0.5}
# Engines run requests of a higher priority first.
CLASS_PRIORITIES = {'live': 1, 'internal': 0, 'samples': -1}
INITIAL_DURATION_SECONDS = 1.0
# Share of a new duration in the moving average of request durations.
DURATION_SMOOTHING = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 30.0
SATURATED_SHARE = 0.9


class AdmissionController:
    """Limits the requests in flight in total, by team and by path.

    The limit in total is lower for the lower request classes. Requests that
    are queued for a backend server count as in flight. The queue itself bounds
    how long they wait, see :mod:`swiftjunction.routing`.

    Parameters
    ----------
    max_in_flight : int
        Limit for the whole process.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_by_path',
        '_by_team',
        '_clock',
        '_duration_seconds',
        '_in_flight',
        '_max_in_flight',
    )

    def __init__(
        self,
        max_in_flight: int,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._max_in_flight = max_in_flight
        self._in_flight = 0
        self._by_path: collections.Counter[str] = collections.Counter()
        self._by_team: collections.Counter[str] = collections.Counter()
        self._duration_seconds = INITIAL_DURATION_SECONDS

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    def is_saturated(self) -> bool:
        """Return whether the requests in flight are close to the limit."""
        return self._in_flight >= self._max_in_flight * SATURATED_SHARE

    @contextlib.contextmanager
    def admit(
        self, path: str, settings: configuration.PathSettings
    ) -> collections.abc.Iterator[None]:
        """Count one request as in flight during the ``with`` block.

        Raises
        ------
        NotRun
            If the request would exceed a limit.
        """
        self._check_limits(path, settings)
        team = get_team(path)
        self._in_flight += 1
        self._by_path[path] += 1
        self._by_team[team] += 1
        started_at = self._clock()
        try:
            yield
        finally:
            self._record_duration(self._clock() - started_at)
            self._in_flight -= 1
            _decrement(self._by_path, path)
            _decrement(self._by_team, team)

    def _record_duration(self, seconds: float) -> None:
        self._duration_seconds += DURATION_SMOOTHING * (
            seconds - self._duration_seconds
        )

    def summarize(self) -> dict[str, object]:
        """Return the requests in flight and the limits, for the state dump."""
        return {
            'in_flight': self._in_flight,
            'max_in_flight': self._max_in_flight,
            'by_team': dict(self._by_team),
            'by_path': dict(self._by_path),
            'duration_seconds': round(self._duration_seconds, 4),
        }

    def _check_limits(
        self, path: str, settings: configuration.PathSettings
    ) -> None:
        request_class = settings.request_class or 'live'
        team = get_team(path)
        class_limit = int(self._max_in_flight * CLASS_SHARES[request_class])
        for scope, in_flight, limit in (
            (
                f'all requests when admitting class {request_class}',
                self._in_flight,
                class_limit,
            ),
            (
                f'the team {team}',
                self._by_team[team],
                settings.team_max_in_flight,
            ),
            (path, self._by_path[path], settings.max_in_flight),
        ):
            if limit is not None and in_flight >= limit:
                raise errors.NotRun(
                    f'{in_flight} requests in flight; '
                    f'the limit for {scope} is {limit}',
                    step='admission',
                    retry_after_seconds=self._estimate_retry_after(
                        in_flight, limit
                    ),
                )

    def _estimate_retry_after(self, in_flight: int, limit: int) -> float:
        """Estimate when another request can be admitted, in seconds.

        By Little's law, `limit` requests complete within the mean duration of
        one request. Those above the limit, and one more, must complete first.
        """
        if not limit:
            return MAX_RETRY_AFTER_SECONDS
        seconds = self._duration_seconds * (in_flight - limit + 1) / limit
        return min(
            max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )


def get_priority(settings: configuration.PathSettings) -> int:
    """Return the priority that engines give to the requests of a path."""
    return CLASS_PRIORITIES[settings.request_class or 'live']


def get_team(path: str) -> str:
    """Return the team that a path belongs to."""
    return path.partition('/')[0]


def _decrement(counter: collections.Counter[str], key: str) -> None:
    # Zero counts are deleted, so that paths without requests take no memory.
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
