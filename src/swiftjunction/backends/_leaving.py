"""Knowledge of the server instances that announced that they are leaving.

A server announces it in a response, often before the list of servers says so.
That list may lag, lapse or be read anew. The announcement is therefore kept
for the instance, which is one run of the server, whatever is listed of it.
"""

import collections.abc
import logging
import math
import typing

import msgspec

LOG = logging.getLogger(__name__)

# An instance that is no longer listed may be listed again, for example after
# an outage of the list.
UNLISTED_RETENTION_SECONDS = 600.0
# Without a start time, a restart cannot be told from the instance that left.
UNDATED_RETENTION_SECONDS = 60.0
MAX_ANNOUNCEMENTS = 8192


class Report(typing.Protocol):
    """The fields of a server report that are used here."""

    @property
    def name(self) -> str:
        """Return the name of the server."""

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""

    @property
    def born_ms(self) -> int:
        """Return the start time in Unix milliseconds; 0 if not known."""

    @property
    def state(self) -> str:
        """Return the reported state."""

    @property
    def service(self) -> str:
        """Return the model or plain service that it serves."""


Listener = collections.abc.Callable[[Report, str], None]


class _Announcement(msgspec.Struct):
    """An announcement of one instance.

    Attributes
    ----------
    expires_at : float
        When it is forgotten, on the clock of its owner.
    confirmed : bool
        Whether a report has also said that the instance is leaving.
    """

    born_ms: int
    address: str
    expires_at: float
    confirmed: bool

    def concerns(self, report: Report) -> bool:
        """Return whether a report is one of this instance or an earlier one.

        A report of an earlier start is outdated, and a request that follows
        it may reach this instance.
        """
        if self.born_ms and report.born_ms:
            return report.born_ms <= self.born_ms
        return self.address == report.address

    def is_outlived(self, report: Report) -> bool:
        """Return whether a report shows that a later instance started."""
        return bool(self.born_ms) and report.born_ms > self.born_ms


class LeavingServers:
    """The server instances that announced that they are leaving.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_by_name', '_clock', '_count', '_listeners')

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._listeners: list[Listener] = []
        self._by_name: dict[str, list[_Announcement]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def listen(self, listener: Listener) -> None:
        """Call `listener` for the first announcement of each instance.

        It is called with the report on the instance and with the kind of the
        request whose response announced it.
        """
        self._listeners.append(listener)

    def contains(self, report: Report) -> bool:
        """Return whether the instance announced that it is leaving."""
        return self._find(report) is not None

    def _find(self, report: Report) -> _Announcement | None:
        announcements = self._by_name.get(report.name)
        if announcements is None:
            return None
        now = self._clock()
        for announcement in announcements:
            if announcement.concerns(report) and now < announcement.expires_at:
                return announcement
        return None

    def record(
        self, report: Report, request_id: str, source: str, listed: bool
    ) -> None:
        """Record an announcement; only the first of an instance is logged.

        Parameters
        ----------
        report : Report
            The newest report on the instance.
        request_id : str
            The request whose response announced it; empty if it has no id.
        source : str
            The kind of that request.
        listed : bool
            Whether the instance is still listed.
        """
        announcement = self._find(report)
        if announcement is not None:
            if not announcement.born_ms:
                announcement.expires_at = self._compute_expiry(report, listed)
            return
        self._add(report, listed)
        LOG.info(
            'server announced that it is leaving',
            extra={
                'server': report.name,
                'born_ms': report.born_ms,
                'request_id': request_id,
                'source': source,
            },
        )
        for listener in self._listeners:
            listener(report, source)

    def _add(self, report: Report, listed: bool) -> None:
        self._remove_expired()
        self._by_name.setdefault(report.name, []).append(
            _Announcement(
                report.born_ms,
                report.address,
                self._compute_expiry(report, listed),
                report.state == 'leaving',
            )
        )
        self._count += 1

    def _compute_expiry(self, report: Report, listed: bool) -> float:
        if not report.born_ms:
            return self._clock() + UNDATED_RETENTION_SECONDS
        if listed:
            return math.inf
        return self._clock() + UNLISTED_RETENTION_SECONDS

    def update_listed(self, report: Report) -> None:
        """Apply a report on an instance that is listed.

        Announcements of an earlier instance are forgotten. An instance without
        a start time that was reported to leave, and then to be live, is live.
        """
        for announcement in list(self._by_name.get(report.name, ())):
            if announcement.is_outlived(report):
                self._remove(report.name, announcement)
            elif not announcement.concerns(report):
                continue
            elif announcement.born_ms:
                announcement.expires_at = math.inf
            elif report.state == 'leaving':
                announcement.confirmed = True
            elif report.state == 'live' and announcement.confirmed:
                self._remove(report.name, announcement)

    def update_unlisted(self, report: Report) -> None:
        """Forget an instance that is no longer listed, after a delay."""
        expires_at = self._clock() + UNLISTED_RETENTION_SECONDS
        for announcement in self._by_name.get(report.name, ()):
            announcement.expires_at = min(announcement.expires_at, expires_at)

    def _remove(self, name: str, announcement: _Announcement) -> None:
        announcements = self._by_name[name]
        announcements.remove(announcement)
        if not announcements:
            del self._by_name[name]
        self._count -= 1

    def _remove_expired(self) -> None:
        """Remove what has expired, and what expires first if it is full."""
        now = self._clock()
        by_expiry = sorted(
            (
                (announcement.expires_at, name, announcement)
                for name, announcements in self._by_name.items()
                for announcement in announcements
            ),
            key=lambda entry: entry[0],
        )
        surplus = len(by_expiry) - MAX_ANNOUNCEMENTS + 1
        for index, (expires_at, name, announcement) in enumerate(by_expiry):
            if index >= surplus and now < expires_at:
                break
            self._remove(name, announcement)
