"""Requests that may crash each backend server that runs them.

A request that was on a server when it crashed is a suspect. It runs alone
from then on, and never on the last healthy server. When a suspect crashes a
second server, it is refused everywhere; when it gets its answer, it is
cleared. So a request that was merely beside the one at fault is held up for
one run.
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
    """A run that ended with a crash, by Unix time in seconds."""

    server: str
    began: float
    ended: float


class _Report(msgspec.Struct, frozen=True, array_like=True):
    """The crashes that one process saw, since the request was cleared."""

    crashes: list[_Crash]


def make_fingerprint(*parts: str | bytes) -> str:
    """Return a name for a request that is the same when it is sent again."""
    digest = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, 'little'))
        digest.update(data)
    return digest.hexdigest()


def _count_distinct(crashes: list[_Crash]) -> int:
    """Count crashes; runs of one server at one time ended in the same one."""
    ended: dict[str, float] = {}
    count = 0
    for crash in crashes:
        if crash.began >= ended.get(crash.server, -math.inf):
            count += 1
        ended[crash.server] = crash.ended
    return count


class SuspectTracker:
    """The crashes that requests were part of, as all processes saw them.

    Each process writes a record of its own for each fingerprint, so that no
    two processes overwrite each other.

    Parameters
    ----------
    table : RecordTable
        The shared records.
    name : str
        This process.
    clock : callable
        Returns Unix time in seconds.
    """

    __slots__ = ('_clock', '_name', '_reports', '_table')

    def __init__(
        self,
        table: membership.RecordTable,
        name: str,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._name = name
        self._clock = clock
        self._reports: dict[str, dict[str, _Report]] = {}
        table.listen(CRASH_PREFIX, self._learn)

    def _learn(self, record: links.Record) -> None:
        _, fingerprint, reporter = record.key.split('/', 2)
        report = msgspec.msgpack.decode(record.value, type=_Report)
        self._reports.setdefault(fingerprint, {})[reporter] = report

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._clock()

    def record_crash(
        self, fingerprint: str, server: str, began: float
    ) -> None:
        """Take note that `server` crashed while it ran the request.

        `began` is what :meth:`now` returned before the run.
        """
        held = self._reports.get(fingerprint, {}).get(self._name)
        crashes = list(held.crashes) if held is not None else []
        crashes.append(_Crash(server, began, self._clock()))
        self._write(fingerprint, _Report(crashes))

    def clear(self, fingerprint: str) -> None:
        """Take note that the request got its answer while it ran alone.

        Only this process's own report is withdrawn. A crash that another
        process reported goes on counting there.
        """
        held = self._reports.get(fingerprint, {}).get(self._name)
        if held is not None and held.crashes:
            self._write(fingerprint, _Report([]))

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many crashes the request was part of."""
        reports = self._reports.get(fingerprint)
        if not reports:
            return 0
        now = self._clock()
        crashes = sorted(
            (
                crash
                for report in reports.values()
                for crash in report.crashes
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

    def check(self, fingerprint: str) -> bool:
        """Return whether the request must run alone.

        Raises
        ------
        PoisonRefused
            If it must not run at all.
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

    def _write(self, fingerprint: str, report: _Report) -> None:
        key = f'{CRASH_PREFIX}{fingerprint}/{self._name}'
        self._table.put(key, msgspec.msgpack.encode(report))

    def summarize(self) -> dict[str, int]:
        """Return the crashes of each suspect, for a dump."""
        return {
            fingerprint: count
            for fingerprint in self._reports
            if (count := self.count_crashes(fingerprint))
        }
