"""Which requests may start now."""

import collections
import collections.abc
import contextlib

from swiftjunction import configuration
from swiftjunction import errors

RETRY_AFTER_SECONDS = 1.0


class Admission:
    """Limits the requests in flight, in all and for each path.

    Parameters
    ----------
    max_in_flight : int
        Of the whole process.
    """

    __slots__ = ('_by_path', '_in_flight', '_max_in_flight')

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._in_flight = 0
        self._by_path: collections.Counter[str] = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Return how many requests are in flight."""
        return self._in_flight

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
        limit = settings.max_in_flight
        if self._in_flight >= self._max_in_flight or (
            limit is not None and self._by_path[path] >= limit
        ):
            raise errors.NotRun(
                f'too many requests of {path} in flight',
                step='admission',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        self._in_flight += 1
        self._by_path[path] += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._by_path[path] -= 1
