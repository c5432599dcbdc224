"""The open connections to a port, and which of them are ended."""

import collections
import collections.abc
import logging
import select
import typing

LOG = logging.getLogger(__name__)

# A client that takes no part of what is written for so long does not read.
MAX_WRITING_SECONDS = 30.0
# A client that makes no progress for so long is ended if others need memory.
MIN_STALLED_SECONDS = 1.0


class Connection(typing.Protocol):
    """What the table knows of a connection; times are of the event loop."""

    @property
    def descriptor(self) -> int:
        """Return the descriptor of the socket; -1 if it is closed."""

    @property
    def is_ahead(self) -> bool:
        """Return whether the client has sent requests ahead."""

    @property
    def head_began_at(self) -> float | None:
        """Return when the first byte of an incomplete head came."""

    @property
    def writing_since(self) -> float | None:
        """Return since when the client has not read what is written."""

    @property
    def stalled_since(self) -> float | None:
        """Return since when the client has held a body or response up."""

    def lose(self) -> None:
        """Abort the connection and stop its request."""


class ConnectionTable:
    """The open connections to a port.

    Those that are idle are kept in the order in which they became so: new
    ones, which have not yet sent a request, and kept ones.
    """

    __slots__ = ('_connections', '_ended', '_kept', '_new')

    def __init__(self) -> None:
        self._connections: set[Connection] = set()
        self._new: dict[Connection, None] = {}
        self._kept: dict[Connection, None] = {}
        self._ended: collections.Counter[str] = collections.Counter()

    def add(self, connection: Connection) -> None:
        """Add a connection that has not yet sent a request."""
        self._connections.add(connection)
        self._new[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._set_busy(connection)

    def set_idle(self, connection: Connection, is_idle: bool) -> None:
        """Note whether a connection waits for the next request."""
        self._set_busy(connection)
        if is_idle and connection in self._connections:
            self._kept[connection] = None

    def evict_idle(self, count: int) -> int:
        """End up to `count` idle connections; return how many.

        Those that never sent a request go first, the oldest ones before.
        """
        idle = [*self._new, *self._kept][:count]
        for connection in idle:
            self._end(connection, 'evicted')
        return len(idle)

    def end_stalled(self, now: float) -> bool:
        """End the connection that makes no progress for the longest time.

        Without one, end one whose client has sent requests ahead. Returns
        whether there was any.
        """
        stalled = [
            (connection.stalled_since, connection)
            for connection in self._connections
            if connection.stalled_since is not None
        ]
        since, oldest = min(stalled, key=_get_time, default=(now, None))
        if oldest is not None and now - since >= MIN_STALLED_SECONDS:
            self._end(oldest, 'stalled')
            return True
        for connection in self._connections:
            if connection.is_ahead:
                self._end(connection, 'ahead')
                return True
        return False

    def sweep(self, now: float, head_seconds: float) -> None:
        """End the connections whose clients are gone or do not go on."""
        for connection in list(self._connections):
            if _is_over(connection.writing_since, now, MAX_WRITING_SECONDS):
                self._end(connection, 'unread')
            elif _is_over(connection.head_began_at, now, head_seconds):
                self._end(connection, 'slow_head')
        for connection in _find_gone(
            [item for item in self._connections if item.is_ahead]
        ):
            self._end(connection, 'gone')

    def summarize(self) -> dict[str, object]:
        """Return the numbers of connections, for the state dump."""
        return {
            'open': len(self._connections),
            'idle': len(self._new) + len(self._kept),
            'ended': dict(self._ended),
        }

    def _set_busy(self, connection: Connection) -> None:
        self._new.pop(connection, None)
        self._kept.pop(connection, None)

    def _end(self, connection: Connection, reason: str) -> None:
        # A flood of new connections would be one of log lines.
        level = logging.DEBUG if reason == 'evicted' else logging.INFO
        LOG.log(level, 'client connection ended', extra={'reason': reason})
        self._ended[reason] += 1
        self.remove(connection)
        connection.lose()


def _get_time(item: tuple[float | None, Connection]) -> float:
    since, _ = item
    assert since is not None
    return since


def _is_over(since: float | None, now: float, seconds: float) -> bool:
    return since is not None and now - since > seconds


def _find_gone(
    connections: collections.abc.Collection[Connection],
) -> list[Connection]:
    """Return the connections that their clients have closed.

    While it does not read, the event loop does not notice that.
    """
    by_descriptor = {item.descriptor: item for item in connections}
    by_descriptor.pop(-1, None)
    if not by_descriptor:
        return []
    poll = select.poll()
    for descriptor in by_descriptor:
        poll.register(descriptor, select.POLLRDHUP)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
