"""The servers that a service has, by data centre and kind."""

import collections
import collections.abc
import math

import msgspec

# A time before all others.
NEVER = -math.inf
# For this long, a server that went missing without notice is expected back.
RETURN_SECONDS = 8.0
# The number of servers that was there for this long is taken to be intended.
SETTLE_SECONDS = 10.0
# A number that was seen within this time may still be the platform's own
# number for the subject; an order must not fall below it by mistake.
STANDING_SECONDS = 60.0


class Subject(msgspec.Struct, frozen=True, order=True):
    """What one order is about: a data centre and a kind of server."""

    data_center: str
    is_spot: bool = False


Counts = dict[Subject, int]


class ServerView(msgspec.Struct, frozen=True):
    """What the decision has to know of one server.

    Attributes
    ----------
    is_live : bool
        Whether it accepts requests.
    is_taken : bool
        Whether the platform takes it away and will not replace it.
    """

    name: str
    subject: Subject
    is_live: bool
    is_taken: bool = False


class Supply(msgspec.Struct, frozen=True):
    """The servers of a service.

    Attributes
    ----------
    live : dict of Subject to int
        The servers that accept requests.
    present : dict of Subject to int
        Those, and the ones expected back soon.
    standing : dict of Subject to int
        The most servers seen lately: an order that adds some counts from
        here.
    settled : int
        The servers that were there for some time without a break; 0 until
        that time has been observed.
    leaving : int
        The servers that leave.
    taken_at : dict of Subject to float
        When the platform was last seen to take servers away, in seconds on
        the caller's clock.
    observed_seconds : float
        For how long the servers have been observed.
    """

    live: Counts
    present: Counts
    standing: Counts
    settled: int = 0
    leaving: int = 0
    taken_at: dict[Subject, float] = {}
    observed_seconds: float = 0.0


class SupplyTracker:
    """Counts the servers of one service over time.

    Parameters
    ----------
    standing : dict of Subject to int
        What another process found before.
    now : float
        The time, in seconds on the caller's clock.
    """

    __slots__ = ('_last_live', '_since', '_standing', '_taken_at', '_totals')

    def __init__(self, standing: Counts, now: float) -> None:
        self._since = now
        # When each server was last live, and what it was.
        self._last_live: dict[str, tuple[Subject, float]] = {}
        self._taken_at: dict[Subject, float] = {}
        # Each number seen of a subject, and when it was last seen.
        self._standing: dict[Subject, dict[int, float]] = {
            subject: {servers: now} for subject, servers in standing.items()
        }
        self._totals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def update(
        self, servers: collections.abc.Iterable[ServerView], now: float
    ) -> Supply:
        """Return the supply, given the servers that are listed at `now`."""
        live: collections.Counter[Subject] = collections.Counter()
        leaving = 0
        for server in servers:
            if server.is_live:
                live[server.subject] += 1
                self._last_live[server.name] = (server.subject, now)
                continue
            leaving += 1
            if server.is_taken:
                self._record_taken(server, now)
        self._record_standing(live, now)
        return Supply(
            live=dict(live),
            present=self._count_present(live, now),
            standing={
                subject: max(seen, default=0)
                for subject, seen in self._standing.items()
            },
            settled=self._find_settled(live.total(), now),
            leaving=leaving,
            taken_at=dict(self._taken_at),
            observed_seconds=now - self._since,
        )

    def _record_taken(self, server: ServerView, now: float) -> None:
        self._taken_at[server.subject] = now
        self._last_live.pop(server.name, None)
        self._standing.pop(server.subject, None)

    def _record_standing(
        self, live: collections.Counter[Subject], now: float
    ) -> None:
        for subject, servers in live.items():
            self._standing.setdefault(subject, {})[servers] = now
        for seen in self._standing.values():
            for servers, at in list(seen.items()):
                if now - at > STANDING_SECONDS:
                    del seen[servers]

    def _count_present(
        self, live: collections.Counter[Subject], now: float
    ) -> Counts:
        """Return the live servers and those expected back, by subject."""
        present = collections.Counter(live)
        for name, (subject, seen_at) in list(self._last_live.items()):
            if now - seen_at > RETURN_SECONDS:
                del self._last_live[name]
            elif seen_at < now:
                present[subject] += 1
        return dict(present)

    def _find_settled(self, total: int, now: float) -> int:
        self._totals.append((now, total))
        while self._totals[0][0] < now - SETTLE_SECONDS:
            self._totals.popleft()
        if now - self._since < SETTLE_SECONDS:
            return 0
        return min((servers for _, servers in self._totals), default=0)


def sum_counts(counts: Counts, data_center: str) -> int:
    """Return the servers of both kinds in a data centre."""
    return sum(
        servers
        for subject, servers in counts.items()
        if subject.data_center == data_center
    )
