"""Which requests may start now."""

import collections
import collections.abc
import contextlib
import time

from swiftjunction import configuration
from swiftjunction import errors

# The part of a process's places that each class may fill. What is left is
# there for the classes above it, so that lookups between services and samples
# never keep a live caller out.
CLASS_SHARES = {'live': 1.0, 'internal': 0.75, 'samples': 0.5}
# An engine runs a higher priority first.
CLASS_PRIORITIES = {'live': 1, 'internal': 0, 'samples': -1}
FIRST_DURATION_SECONDS = 1.0
DURATION_WEIGHT = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 30.0
OVERLOADED_SHARE = 0.9


class AdmissionController:
    """Limits the requests in flight: in all, by class, team and path.

    Requests that wait for a place on a backend server count too; how long
    they wait is bounded where they wait, see :mod:`swiftjunction.routing`.

    Parameters
    ----------
    max_in_flight : int
        Of the whole process.
    clock : callable
        Returns seconds.
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
        self._duration_seconds = FIRST_DURATION_SECONDS

    @property
    def in_flight(self) -> int:
        """Return how many requests are in flight."""
        return self._in_flight

    def is_overloaded(self) -> bool:
        """Tell whether callers had better use another entry."""
        return self._in_flight >= self._max_in_flight * OVERLOADED_SHARE

    @contextlib.contextmanager
    def admit(
        self, path: str, settings: configuration.PathSettings
    ) -> collections.abc.Iterator[None]:
        """Hold a place for one request during the body.

        Raises
        ------
        NotRun
            If there is none.
        """
        self._check(path, settings)
        team = find_team(path)
        self._in_flight += 1
        self._by_path[path] += 1
        self._by_team[team] += 1
        started_at = self._clock()
        try:
            yield
        finally:
            self._note_duration(self._clock() - started_at)
            self._in_flight -= 1
            _decrease(self._by_path, path)
            _decrease(self._by_team, team)

    def _note_duration(self, seconds: float) -> None:
        self._duration_seconds += DURATION_WEIGHT * (
            seconds - self._duration_seconds
        )

    def summarize(self) -> dict[str, object]:
        """Return what is in flight, for a dump."""
        return {
            'in_flight': self._in_flight,
            'max_in_flight': self._max_in_flight,
            'by_team': dict(self._by_team),
            'by_path': dict(self._by_path),
            'duration_seconds': round(self._duration_seconds, 4),
        }

    def _check(self, path: str, settings: configuration.PathSettings) -> None:
        request_class = settings.request_class or 'live'
        team = find_team(path)
        in_class = int(self._max_in_flight * CLASS_SHARES[request_class])
        for what, held, limit in (
            (f'the class {request_class}', self._in_flight, in_class),
            (
                f'the team {team}',
                self._by_team[team],
                settings.team_max_in_flight,
            ),
            (path, self._by_path[path], settings.max_in_flight),
        ):
            if limit is not None and held >= limit:
                raise errors.NotRun(
                    f'{held} requests in flight, and {what} may have {limit}',
                    step='admission',
                    retry_after_seconds=self._estimate_retry_after(
                        held, limit
                    ),
                )

    def _estimate_retry_after(self, held: int, limit: int) -> float:
        """Return when those above the limit, and one more, will be done.

        `limit` requests are done in the time that one takes, by Little's law.
        """
        if not limit:
            return MAX_RETRY_AFTER_SECONDS
        seconds = self._duration_seconds * (held - limit + 1) / limit
        return min(
            max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )


def find_priority(settings: configuration.PathSettings) -> int:
    """Return the priority that requests of a path have on an engine."""
    return CLASS_PRIORITIES[settings.request_class or 'live']


def find_team(path: str) -> str:
    """Return the team that a path belongs to."""
    return path.partition('/')[0]


def _decrease(counter: collections.Counter[str], key: str) -> None:
    # A path that is not in use takes no memory.
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
