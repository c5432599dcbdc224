"""Tells a listener which requests began to run at a backend server."""

import abc
import collections.abc
import contextlib

import msgspec

from swiftjunction import backends
from swiftjunction import errors


class RunListener(abc.ABC):
    """Counts the requests of organisations that began to run.

    A request that was sent counts at once, before its outcome is known, so
    that it is counted also if this VM stops.
    """

    __slots__ = ()

    @abc.abstractmethod
    def count(self, organisation: str) -> int:
        """Count a request that begins now; return the window of the count."""

    @abc.abstractmethod
    def take_back(self, organisation: str, window: int) -> None:
        """Take a count back, as the request did not begin."""

    @abc.abstractmethod
    def settle(self, window: int) -> None:
        """Learn that a count is final."""


class NoRunListener(RunListener):
    """Counts nothing."""

    __slots__ = ()

    def count(self, organisation: str) -> int:
        return 0

    def take_back(self, organisation: str, window: int) -> None:
        pass

    def settle(self, window: int) -> None:
        pass


class RequestRun:
    """Counts one request at most once, whatever its attempts are.

    Parameters
    ----------
    listener : RunListener
        Gets the counts.
    organisation : str
        The organisation of the request; it is not counted without one.
    """

    __slots__ = ('_is_final', '_listener', '_organisation', '_window')

    def __init__(self, listener: RunListener, organisation: str) -> None:
        self._listener = listener
        self._organisation = organisation
        # The window in which the request is counted, or None.
        self._window: int | None = None
        self._is_final = not organisation

    def watch(self, call: backends.ServiceCall) -> backends.ServiceCall:
        """Return the call of an attempt, which counts when it is sent."""
        if self._is_final:
            return call
        check = call.check

        def record_sending() -> None:
            if check is not None:
                try:
                    check()
                except errors.SwiftjunctionError:
                    # The server does not get the whole request.
                    self._take_back()
                    raise
            self.record_start()

        return msgspec.structs.replace(call, check=record_sending)

    def record_start(self) -> None:
        """Count the request, as a server begins with it about now.

        Of several calls for the same attempt, the last one counts.
        """
        if not self._is_final:
            self._take_back()
            self._window = self._listener.count(self._organisation)

    def record_failure(self, error: errors.BackendError) -> None:
        """Take the count back if the error says that nothing has run."""
        if isinstance(error, errors.AnswerBroken):
            self.settle()
        else:
            self._take_back()

    def settle(self) -> None:
        """Make the count final, if there is one."""
        if not self._is_final and self._window is not None:
            self._listener.settle(self._window)
            self._is_final = True

    def _take_back(self) -> None:
        if self._window is not None and not self._is_final:
            self._listener.take_back(self._organisation, self._window)
            self._window = None


@contextlib.contextmanager
def track_run(
    listener: RunListener, organisation: str
) -> collections.abc.Iterator[RequestRun]:
    """Track the run of a request; a count left at the end is final."""
    run = RequestRun(listener, organisation)
    try:
        yield run
    finally:
        run.settle()
