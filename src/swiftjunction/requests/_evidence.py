"""Evidence that a server crashed while it ran an attempt of a request."""

import collections
import collections.abc
import contextlib
import math

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _suspects

# The check must leave time for a retry. A server that accepts no connection
# within this time may have crashed, or be cut off.
CHECK_TIMEOUT_SECONDS = 0.25
# A server that fell silent is no longer listed, or has started anew, within
# this time.
UNRESOLVED_SECONDS = 6.0
MAX_UNRESOLVED = 1024
MAX_ENDS = 1024


class _Unresolved(msgspec.Struct, frozen=True):
    """An attempt whose server may have crashed; Unix times in seconds."""

    fingerprint: str
    server: str
    born_ms: int
    began: float
    ended: float

    @property
    def run(self) -> tuple[str, int]:
        """Return what identifies the run of the server."""
        return self.server, self.born_ms


class CrashObserver:
    """Finds out whether servers crashed while they ran attempts.

    A refused connection right after a broken response shows it at once. If
    the check is inconclusive, or the attempt ended without one, it shows when
    the server is no longer listed though it had not been leaving, or is listed
    with a later start.

    Parameters
    ----------
    services : ServiceTransport
        Checks whether a server refuses connections.
    suspects : SuspectTracker
        Records the crashes.
    directory : Directory, optional
        Tells which servers have ended.
    """

    __slots__ = ('_ends', '_services', '_suspects', '_unresolved')

    def __init__(
        self,
        services: backends.ServiceTransport,
        suspects: _suspects.SuspectTracker,
        directory: backends.Directory | None = None,
    ) -> None:
        self._services = services
        self._suspects = suspects
        self._unresolved: collections.deque[_Unresolved] = collections.deque(
            maxlen=MAX_UNRESOLVED
        )
        # Unix times at which runs of servers were found to have ended. An
        # attempt may end only after that.
        self._ends: dict[tuple[str, int], float] = {}
        if directory is not None:
            directory.listen_ends(self._record_end)

    @contextlib.asynccontextmanager
    async def observe(
        self, fingerprint: str, server: backends.BackendServer
    ) -> collections.abc.AsyncGenerator[None, None]:
        """Observe an attempt, which is made within the context.

        Parameters
        ----------
        fingerprint : str
            With ``NO_FINGERPRINT``, nothing is recorded.
        """
        report = server.report
        began = self._suspects.now()
        try:
            yield
        except errors.AnswerBroken:
            with self._resolve_later(fingerprint, report, began):
                is_crashed = await self._check(server)
            if is_crashed:
                self._suspects.record_crash(
                    fingerprint, report.name, began, report.born_ms
                )
            else:
                self._add_unresolved(fingerprint, report, began)
            raise
        except (
            errors.RequestTimeout,
            anyio.get_cancelled_exc_class(),
            GeneratorExit,
        ):
            self._add_unresolved(fingerprint, report, began)
            raise

    @contextlib.contextmanager
    def _resolve_later(
        self, fingerprint: str, report: backends.ServerReport, began: float
    ) -> collections.abc.Iterator[None]:
        """Keep the attempt unresolved if its check is cancelled."""
        try:
            yield
        except anyio.get_cancelled_exc_class():
            self._add_unresolved(fingerprint, report, began)
            raise

    async def _check(self, server: backends.BackendServer) -> bool:
        with anyio.move_on_after(CHECK_TIMEOUT_SECONDS):
            return await self._services.is_crashed(server)
        return False

    def _add_unresolved(
        self, fingerprint: str, report: backends.ServerReport, began: float
    ) -> None:
        if fingerprint == _suspects.NO_FINGERPRINT:
            return
        attempt = _Unresolved(
            fingerprint,
            report.name,
            report.born_ms,
            began,
            self._suspects.now(),
        )
        if self._ends.get(attempt.run, -math.inf) >= began:
            self._record_crash(attempt)
        else:
            self._unresolved.append(attempt)

    def _record_end(self, report: backends.ServerReport) -> None:
        now = self._suspects.now()
        run = (report.name, report.born_ms)
        self._ends.pop(run, None)
        self._ends[run] = now
        if len(self._ends) > MAX_ENDS:
            del self._ends[next(iter(self._ends))]
        for attempt in [a for a in self._unresolved if a.run == run]:
            self._unresolved.remove(attempt)
            if attempt.ended >= now - UNRESOLVED_SECONDS:
                self._record_crash(attempt)

    def _record_crash(self, attempt: _Unresolved) -> None:
        self._suspects.record_crash(
            attempt.fingerprint,
            attempt.server,
            attempt.began,
            attempt.born_ms,
            attempt.ended,
        )
