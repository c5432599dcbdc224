"""One backend server as one process of ours sees it."""

import collections.abc
import contextlib
import time

import msgspec

EJECTION_SECONDS = 3.0


class ServerReport(msgspec.Struct, frozen=True):
    """What the conductor that watches a backend server says of it.

    Attributes
    ----------
    service : str
        The model or the plain service that it serves.
    state : str
        ``live``, ``leaving`` or ``gone``.
    weight_version : int
        The version that an engine last said was active; 0 if not known.
    staged_version : int
        The newest version that an engine said it could activate at once.
    """

    name: str
    address: str
    service: str
    data_center: str
    region: str = ''
    state: str = 'live'
    weight_version: int = 0
    staged_version: int = 0


class BackendServer:
    """A backend server: the shared report and what was seen here.

    Attributes
    ----------
    report : ServerReport
        The newest report.
    in_flight : int
        Requests that this process has on it now.
    reserved : bool
        Whether a request that must run alone has it.
    load : float
        The load it last reported in an answer, from 0 to 1 and above.
    """

    __slots__ = (
        '_clock',
        '_ejected_until',
        'failures',
        'in_flight',
        'left',
        'reserved',
        'load',
        'report',
        'weight_version',
    )

    def __init__(
        self,
        report: ServerReport,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.report = report
        self.in_flight = 0
        self.load = 0.0
        self.failures = 0
        self.weight_version = report.weight_version
        self.left = False
        self.reserved = False
        self._clock = clock
        self._ejected_until = 0.0

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.report.name

    @property
    def address(self) -> str:
        """Return its ``ip:port``."""
        return self.report.address

    def is_available(self) -> bool:
        """Tell whether it may get new work now."""
        return (
            self.report.state == 'live'
            and not self.left
            and not self.reserved
            and self._clock() >= self._ejected_until
        )

    def note_version(self, version: int) -> None:
        """Learn the version from an answer, which is newer than a report."""
        self.weight_version = max(self.weight_version, version)

    def note_success(self) -> None:
        """Learn that an answer was whole."""
        self.failures = 0

    def note_failure(self) -> None:
        """Learn of a failure: no new work for a while, longer each time."""
        self.failures += 1
        factor = min(2 ** (self.failures - 1), 8)
        self._ejected_until = self._clock() + EJECTION_SECONDS * factor

    def note_leaving(self) -> None:
        """Learn from the server itself that it takes no new work."""
        self.left = True

    @contextlib.contextmanager
    def reserve(self) -> collections.abc.Iterator[None]:
        """Give the server no other request of this process in the body."""
        self.reserved = True
        try:
            yield
        finally:
            self.reserved = False

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Count a request as in flight during the body."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
