"""Listening sockets that bound and can abort the connections they accept."""

import contextlib
import errno
import socket
import typing
import weakref

from swiftjunction.web import _connection_table

# How many idle connections make room for new ones at once.
EVICTED_CONNECTIONS = 32
# How many connections are refused before the event loop goes on.
MAX_REFUSED_CONNECTIONS = 64
NO_DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})


class AcceptingSocket(socket.socket):
    """A listening socket that knows which of its connections are open.

    hypercorn ends a connection with the task that serves it, but such a task
    waits, even if cancelled, for a peer that does not read.

    Parameters
    ----------
    listening_socket : socket
        The socket, which this one replaces.
    table : ConnectionTable
        The connections that are served.
    max_connections : int
        How many may be open.
    """

    __slots__ = ('_connections', '_max_connections', '_spare', '_table')

    def __init__(
        self,
        listening_socket: socket.socket,
        table: _connection_table.ConnectionTable,
        max_connections: int,
    ) -> None:
        super().__init__(fileno=listening_socket.detach())
        self._table = table
        self._max_connections = max_connections
        self._connections: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        # Without a free descriptor, a connection can be refused with this one.
        self._spare: socket.socket | None = _open_spare()

    def accept(self) -> tuple[socket.socket, typing.Any]:
        """Accept a connection, or refuse those that are too many.

        Raises
        ------
        BlockingIOError
            If none is waiting, or the event loop has to go on first.
        """
        if len(self._connections) >= self._max_connections:
            if self._table.evict_idle(EVICTED_CONNECTIONS):
                raise BlockingIOError
            self._refuse_waiting()
        return self._accept_next()

    def forget(self, connection: socket.socket) -> None:
        """Count a connection no longer, as it is closed."""
        self._connections.discard(connection)

    def abort_connections(self) -> None:
        """Shut down all open connections, so that no task waits for them."""
        for connection in list(self._connections):
            # Its peer may have closed it meanwhile.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket, but not its connections."""
        super().close()
        if self._spare is not None:
            self._spare.close()

    def _accept_next(self) -> tuple[socket.socket, typing.Any]:
        try:
            connection, address = super().accept()
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR_ERRORS or not self._spare:
                raise
            self._table.evict_idle(EVICTED_CONNECTIONS)
            self._refuse_without_descriptor()
            raise BlockingIOError from error
        accepted = _AcceptedSocket(self, connection)
        self._connections.add(accepted)
        return accepted, address

    def _refuse_waiting(self) -> typing.NoReturn:
        """Close connections that are waiting, of which nothing was read."""
        for _ in range(MAX_REFUSED_CONNECTIONS):
            connection, _address = self._accept_next()
            connection.close()
        raise BlockingIOError

    def _refuse_without_descriptor(self) -> None:
        """Refuse a connection that would keep the event loop awake."""
        assert self._spare is not None
        self._spare.close()
        with contextlib.suppress(OSError):
            connection, _ = super().accept()
            connection.close()
        self._spare = _open_spare()


class _AcceptedSocket(socket.socket):
    """A connection that is counted until it is closed."""

    __slots__ = ('_listener',)

    def __init__(
        self, listener: AcceptingSocket, connection: socket.socket
    ) -> None:
        super().__init__(
            connection.family,
            connection.type,
            connection.proto,
            connection.detach(),
        )
        self._listener = listener

    def close(self) -> None:
        super().close()
        self._listener.forget(self)


def _open_spare() -> socket.socket | None:
    try:
        return socket.socket()
    except OSError:
        return None
