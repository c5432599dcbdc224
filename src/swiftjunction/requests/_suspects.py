"""Tracking of requests that may crash the backend servers that run them.

A request that was on a backend server when it crashed is a suspect. From then
on it runs without other requests on its server, and never on the last healthy
server. A suspect that was on a second server when that one crashed is refused
by every process; one that completes in isolation is cleared. A harmless
request that shared a server with the faulty one is thus delayed by one run.
"""

import collections.abc
import math
import time

import msgspec
import xxhash

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

CRASH_PREFIX = 'crash/'
REFUSED_AFTER_CRASHES = 2
SUSPICION_SECONDS = 60.0
REFUSAL_SECONDS = 3600.0


class _Crash(msgspec.Struct, frozen=True, array_like=True):
    """A run of a request that ended in a crash of its server.

    Attributes
    ----------
    server : str
        Name of the server.
    began, ended : float
        Unix time in seconds.
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
    """Count the crashes; overlapping runs on a server ended in the same one.

    `crashes` are in the order of their ends.
    """
    ended: dict[str, float] = {}
    count = 0
    for crash in crashes:
        if crash.began >= ended.get(crash.server, -math.inf):
            count += 1
        ended[crash.server] = crash.ended
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

    __slots__ = ('_clock', '_name', '_histories', '_table')

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
        table.listen(CRASH_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        _, fingerprint, process = record.key.split('/', 2)
        history = msgspec.msgpack.decode(record.value, type=_CrashHistory)
        self._histories.setdefault(fingerprint, {})[process] = history

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._clock()

    def record_crash(
        self, fingerprint: str, server: str, started_unix: float
    ) -> None:
        """Record that `server` crashed while it ran the request.

        Parameters
        ----------
        started_unix : float
            What :meth:`now` returned before the run.
        """
        history = self._histories.get(fingerprint, {}).get(self._name)
        crashes = list(history.crashes) if history is not None else []
        crashes.append(_Crash(server, started_unix, self._clock()))
        self._write(fingerprint, _CrashHistory(crashes))

    def clear(self, fingerprint: str) -> None:
        """Record that the request completed while it ran in isolation.

        This withdraws only the history of this process. Crashes that other
        processes reported still count.
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
                f'this request was running on {count} backend servers when '
                'they crashed',
                step='admission',
                retry_after_seconds=REFUSAL_SECONDS,
            )
        return count > 0

    def _write(self, fingerprint: str, history: _CrashHistory) -> None:
        key = f'{CRASH_PREFIX}{fingerprint}/{self._name}'
        self._table.put(key, msgspec.msgpack.encode(history))

    def summarize(self) -> dict[str, int]:
        """Return the number of crashes of each suspect, for a dump."""
        return {
            fingerprint: count
            for fingerprint in self._histories
            if (count := self.count_crashes(fingerprint))
        }
