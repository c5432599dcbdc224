"""Where streams began, so that any process can go on with them.

A caller that resumes a stream names the attempt that brought its first event.
The stream goes on only at the software version that wrote that event.
"""

import abc
import collections
import collections.abc
import time

import msgspec

# Bounds the memory for streams that may be resumed; the oldest go first.
MAX_ORIGINS = 16_384
# Streams with longer ids cannot be resumed.
MAX_REQUEST_ID_CHARS = 256
# Callers resume a stream within their own deadline, which may be later than
# that of its route.
EXTRA_LIFETIME_SECONDS = 60.0


class StreamOrigin(msgspec.Struct, frozen=True):
    """The servers that wrote the first event of a stream.

    Attributes
    ----------
    service : str
        The service of the server.
    software : str
        The version of its software.
    """

    service: str
    software: str


class ResumePoint(msgspec.Struct, frozen=True):
    """From where a caller asks to resume a stream.

    Attributes
    ----------
    after_number : int
        Number of the last event that the caller has.
    first_request_id : str
        Id of the attempt that brought the first event; empty if the caller
        did not name exactly one.
    services : frozenset of str
        The services that the route allows.
    """

    after_number: int
    first_request_id: str
    services: frozenset[str]


class OriginRegistry(abc.ABC):
    """Interface of what knows the origins of streams."""

    __slots__ = ()

    @abc.abstractmethod
    async def record(
        self, request_id: str, origin: StreamOrigin, lifetime_seconds: float
    ) -> None:
        """Record the origin of a stream, before its first event is relayed.

        Parameters
        ----------
        request_id : str
            Id of the attempt that brought the first event.
        lifetime_seconds : float
            For how long the stream may be resumed.
        """

    @abc.abstractmethod
    async def find(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""


class _Entry(msgspec.Struct, frozen=True):
    origin: StreamOrigin
    expires_at: float


class OriginTable:
    """The origins that this process has, bounded in number and age.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    max_origins : int
        Maximum number of origins.
    """

    __slots__ = ('_clock', '_entries', '_max_origins')

    def __init__(
        self,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        max_origins: int = MAX_ORIGINS,
    ) -> None:
        self._clock = clock
        self._max_origins = max_origins
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self, request_id: str, origin: StreamOrigin, lifetime_seconds: float
    ) -> None:
        """Add an origin, or let a known one live longer."""
        if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARS:
            return
        expires_at = self._clock() + lifetime_seconds
        self._entries[request_id] = _Entry(origin, expires_at)
        self._entries.move_to_end(request_id)
        self._remove_expired()

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return an origin; None if there is none, or no longer."""
        entry = self._entries.get(request_id)
        if entry is None or entry.expires_at < self._clock():
            return None
        return entry.origin

    def _remove_expired(self) -> None:
        # The oldest ones need not be the first to expire; what expires later
        # is removed when it has become one of the oldest.
        now = self._clock()
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if (
                len(self._entries) <= self._max_origins
                and oldest.expires_at >= now
            ):
                return
            self._entries.popitem(last=False)


class LocalOrigins(OriginRegistry):
    """Origins that only this process knows."""

    __slots__ = ('_table',)

    def __init__(self) -> None:
        self._table = OriginTable()

    async def record(
        self, request_id: str, origin: StreamOrigin, lifetime_seconds: float
    ) -> None:
        self._table.add(request_id, origin, lifetime_seconds)

    async def find(self, request_id: str) -> StreamOrigin | None:
        return self._table.get(request_id)
