"""How recently this VM's copy of a feed was known to be the newest.

See docs/design/confirmation.md.
"""

import collections.abc
import math

from swiftjunction.coordination import _sharing
from swiftjunction.coordination import _statuses
from swiftjunction import leases
from swiftjunction import organisations

CONFIG_PREFIX = 'config/'
SERVERS_PREFIX = 'servers/'
MS_PER_SECOND = 1000

AgeReader = collections.abc.Callable[[_statuses.MemberStatus], float | None]


def _read_configuration_age(status: _statuses.MemberStatus) -> float | None:
    return status.configuration_age_seconds


def _read_servers_age(status: _statuses.MemberStatus) -> float | None:
    return status.servers_age_seconds


class FeedConfirmation(organisations.TableConfirmation):
    """The time up to which this VM has all changes of a feed.

    Parameters
    ----------
    feed_sync : FeedSync
        Holds the feed.
    prefix : str
        The prefix of the feed.
    clock : callable
        Returns seconds; also counts the time for which the VM is suspended.
    read_age : callable
        Returns the age that the status of a peer states for the feed.

    Attributes
    ----------
    clock : callable
        The clock that was given.
    prefix : str
        The prefix of the feed.
    """

    __slots__ = (
        '_confirmed_at',
        '_feed_sync',
        '_pending',
        '_read_age',
        'clock',
        'prefix',
    )

    def __init__(
        self,
        feed_sync: _sharing.FeedSync,
        prefix: str = CONFIG_PREFIX,
        clock: collections.abc.Callable[[], float] = leases.read_boot_clock,
        read_age: AgeReader = _read_configuration_age,
    ) -> None:
        self._feed_sync = feed_sync
        self._read_age = read_age
        self.prefix = prefix
        self.clock = clock
        self._confirmed_at = -math.inf
        # A peer's revision of the feed, newer than that of this VM, and the
        # time that counts once this VM has it too.
        self._pending: tuple[int, float] | None = None

    def record(self, asked_at: float) -> None:
        """Record that the feed has all changes before a time.

        Parameters
        ----------
        asked_at : float
            Just before the store was asked; in seconds on `clock`.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def record_status(
        self, status: _statuses.MemberStatus, asked_at: float | None
    ) -> None:
        """Record what a peer confirms.

        Parameters
        ----------
        status : MemberStatus
            The answer of the peer.
        asked_at : float or None
            Just before the peer was asked, in seconds on `clock`; None if
            that is not known, and the answer confirms nothing.
        """
        age_seconds = self._read_age(status)
        # Also leaves out an age that is not a number.
        if asked_at is None or age_seconds is None or not age_seconds >= 0:
            return
        revision = status.revisions.get(self.prefix, -1)
        if revision < 0:
            return
        confirmed_at = asked_at - age_seconds
        if revision <= self._find_revision():
            self.record(confirmed_at)
        elif self._pending is None or confirmed_at > self._pending[1]:
            self._pending = (revision, confirmed_at)

    def compute_age_seconds(self) -> float:
        self._settle_pending()
        feed = self._feed_sync.find(self.prefix)
        if feed is not None:
            self.record(feed.answered_at)
        return self.clock() - self._confirmed_at

    def state_age(self) -> float | None:
        """Return the age for peers, in seconds; None if it is infinite.

        It is rounded up, as a peer must not take it for younger.
        """
        age_seconds = self.compute_age_seconds()
        if math.isinf(age_seconds):
            return None
        return math.ceil(age_seconds * MS_PER_SECOND) / MS_PER_SECOND

    def _settle_pending(self) -> None:
        if self._pending is None:
            return
        revision, confirmed_at = self._pending
        if revision <= self._find_revision():
            self._pending = None
            self.record(confirmed_at)

    def _find_revision(self) -> int:
        feed = self._feed_sync.find(self.prefix)
        return -1 if feed is None else feed.revision


def confirm_servers(
    feed_sync: _sharing.FeedSync,
    clock: collections.abc.Callable[[], float] = leases.read_boot_clock,
) -> FeedConfirmation:
    """Return the confirmation of the list of backend servers."""
    return FeedConfirmation(
        feed_sync, SERVERS_PREFIX, clock, _read_servers_age
    )
