"""Listening sockets that can abort the connections they have accepted."""

import contextlib
import socket
import typing
import weakref


class AcceptingSocket(socket.socket):
    """A listening socket that knows which of its connections are open.

    hypercorn ends a connection with the task that serves it, but such a task
    waits, even if cancelled, for a peer that does not read.
    """

    __slots__ = ('_connections',)

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._connections: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def accept(self) -> tuple[socket.socket, typing.Any]:
        """Accept a connection."""
        connection, address = super().accept()
        self._connections.add(connection)
        return connection, address

    def abort_connections(self) -> None:
        """Shut down all open connections, so that no task waits for them."""
        for connection in list(self._connections):
            # Its peer may have closed it meanwhile.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
