"""Requests on their way to a server, as far as the path to it matters."""

import collections.abc
import contextlib

import anyio

from swiftjunction import errors


class Exchange:
    """A request that is sent to a server directly.

    Attributes
    ----------
    service : str
        Service of the server.
    is_sent : bool
        Whether its first byte may have been sent.
    is_abandoned : bool
        Whether its connection is given up; it must not be sent on it then.
    """

    __slots__ = (
        '_clock',
        '_contacts',
        '_scope',
        'began',
        'is_abandoned',
        'is_sent',
        'service',
    )

    def __init__(
        self,
        service: str,
        contacts: dict[str, float],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self.service = service
        self.is_sent = False
        self.is_abandoned = False
        self.began = clock()
        self._clock = clock
        self._contacts = contacts
        self._scope: anyio.CancelScope | None = None

    def record_contact(self) -> None:
        """Record that the server has sent something."""
        self._contacts[self.service] = self._clock()

    @contextlib.contextmanager
    def connect(self) -> collections.abc.Iterator[anyio.CancelScope]:
        """Return a scope that is cancelled if the service is cut off.

        It is not once `is_sent` is set.
        """
        with anyio.CancelScope() as scope:
            self._scope = scope
            try:
                yield scope
            finally:
                self._scope = None

    def begin_sending(self, peer: str) -> None:
        """Record that the first byte is sent next.

        Raises
        ------
        PathAbandoned
            If it must not be, as the connection has been given up.
        """
        if self.is_abandoned:
            raise errors.PathAbandoned(
                'this VM was found to be cut off', step='send', peer=peer
            )
        self.is_sent = True

    def resume(self) -> None:
        """Use another path, after the direct one was given up."""
        self.is_abandoned = False

    def abandon(self) -> None:
        """Cancel the scope of :meth:`connect`, unless something was sent."""
        if self._scope is not None and not self.is_sent:
            self.is_abandoned = True
            self._scope.cancel()
