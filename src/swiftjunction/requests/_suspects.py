"""Tracking of requests that may crash the backend servers that run them.

A request that was running on a backend server when the server crashed is a
suspect. From then on it runs in isolation, that is without other requests on
its server, and never on the last available server. After a second crash, of
the same server or another one, every process refuses the request. A suspect
that completes in isolation is cleared. A request that only shared the server
with the one that crashed it thus runs once more, in isolation.

Deferred requests, which are samples and their scoring requests, are never
suspects: they do not crash servers, and must be completed however many
servers crash while they run.
"""

import collections.abc
import logging
import math
import time

import msgspec
import xxhash

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

LOG = logging.getLogger(__name__)

CRASH_PREFIX = 'crash/'
REFUSED_AFTER_CRASHES = 2
# How long one crash makes a request a suspect.
SUSPICION_SECONDS = 60.0
# How long each crash counts towards a refusal.
REFUSAL_SECONDS = 3600.0
# Instead of a fingerprint, for requests that are never suspects.
NO_FINGERPRINT = ''


class _Crash(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a request that ended in a crash of its server.

    Attributes
    ----------
    server : str
        Name of the server.
    began, ended : float
        Unix time of the start and the end of the attempt, in seconds.
    """

    server: str
    began: float
    ended: float


class _CrashHistory(msgspec.Struct, frozen=True, array_like=True):
    """The crashes that one process saw since it last cleared the request."""

    crashes: list[_Crash]


def make_fingerprint(*parts: str | bytes) -> str:
    """Return an identifier that retries of the same request share."""
    digest = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, 'little'))
        digest.update(data)
    return digest.hexdigest()


def _count_distinct(crashes: list[_Crash]) -> int:
    """Count the distinct crashes.

    Attempts that overlapped on one server ended in the same crash. `crashes`
    are in the order of their ends.
    """
    ended_by_server: dict[str, float] = {}
    count = 0
    for crash in crashes:
        if crash.began >= ended_by_server.get(crash.server, -math.inf):
            count += 1
        ended_by_server[crash.server] = crash.ended
    return count


class SuspectTracker:
    """Tracks the crashes that requests were involved in, on all processes.

    Each process writes its own record for each fingerprint, so that processes
    do not overwrite each other's records.

    Parameters
    ----------
    table : RecordTable
        The shared records.
    name : str
        Name of this process.
    clock : callable
        Returns Unix time in seconds.
    """

    __slots__ = ('_clock', '_name', '_histories', '_listeners', '_table')

    def __init__(
        self,
        table: membership.RecordTable,
        name: str,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._name = name
        self._clock = clock
        self._histories: dict[str, dict[str, _CrashHistory]] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        table.listen(CRASH_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        _, fingerprint, process = record.key.split('/', 2)
        history = msgspec.msgpack.decode(record.value, type=_CrashHistory)
        self._histories.setdefault(fingerprint, {})[process] = history

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._clock()

    def listen(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call `listener` at each crash that this process records."""
        self._listeners.append(listener)

    def record_crash(
        self, fingerprint: str, server: str, started_unix: float
    ) -> None:
        """Record that `server` crashed while it ran the request.

        Parameters
        ----------
        fingerprint : str
            With ``NO_FINGERPRINT``, nothing is recorded.
        started_unix : float
            What :meth:`now` returned before the attempt.
        """
        if fingerprint == NO_FINGERPRINT:
            return
        history = self._histories.get(fingerprint, {}).get(self._name)
        crashes = list(history.crashes) if history is not None else []
        crashes.append(_Crash(server, started_unix, self._clock()))
        self._write(fingerprint, _CrashHistory(crashes))
        LOG.warning(
            'server crashed while it ran the request',
            extra={
                'server': server,
                'fingerprint': fingerprint,
                'crashes': self.count_crashes(fingerprint),
            },
        )
        for listener in self._listeners:
            listener()

    def clear(self, fingerprint: str) -> None:
        """Record that the request completed while it ran in isolation.

        This clears only the crashes that this process recorded. Crashes that
        other processes recorded still count.
        """
        history = self._histories.get(fingerprint, {}).get(self._name)
        if history is not None and history.crashes:
            self._write(fingerprint, _CrashHistory([]))

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of crashes that still count for the request."""
        histories = self._histories.get(fingerprint)
        if not histories:
            return 0
        now = self._clock()
        crashes = sorted(
            (
                crash
                for history in histories.values()
                for crash in history.crashes
                if now - crash.ended < REFUSAL_SECONDS
            ),
            key=lambda crash: crash.ended,
        )
        count = _count_distinct(crashes)
        if count < REFUSED_AFTER_CRASHES and (
            not crashes or now - crashes[-1].ended > SUSPICION_SECONDS
        ):
            return 0
        return count

    def must_isolate(self, fingerprint: str) -> bool:
        """Return whether the request must run in isolation.

        Raises
        ------
        PoisonRefused
            If the request must not run at all.
        """
        count = self.count_crashes(fingerprint)
        if count >= REFUSED_AFTER_CRASHES:
            raise errors.PoisonRefused(
                f'backend servers crashed {count} times while they ran this '
                'request',
                step='admission',
                retry_after_seconds=REFUSAL_SECONDS,
            )
        return count > 0

    def _write(self, fingerprint: str, history: _CrashHistory) -> None:
        key = f'{CRASH_PREFIX}{fingerprint}/{self._name}'
        self._table.put(key, msgspec.msgpack.encode(history))

    def summarize(self) -> dict[str, int]:
        """Return the number of crashes of each suspect, for the state dump."""
        return {
            fingerprint: count
            for fingerprint in self._histories
            if (count := self.count_crashes(fingerprint))
        }
