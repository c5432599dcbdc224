"""The crashes of servers that ended attempts of a request.

Each process keeps a history for each request, and publishes it in a registry,
so that processes do not overwrite each other's histories.
"""

import abc
import collections.abc
import math

import msgspec

from swiftjunction import decoding
from swiftjunction import links
from swiftjunction import membership

CRASH_PREFIX = 'crash/'
# Crashes of one request that a history keeps, the newest ones.
MAX_CRASHES = 16


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a request that ended in a crash of its server.

    Attributes
    ----------
    server : str
        Name of the server.
    began, ended : float
        Unix time of the start and the end of the attempt, in seconds.
    born_ms : int
        The start of the server in Unix milliseconds; 0 if not known.
    """

    server: str
    began: float
    ended: float
    born_ms: int = 0


class CrashHistory(msgspec.Struct, frozen=True, array_like=True):
    """What one process knows of one request.

    Attributes
    ----------
    crashes : tuple of Crash
        The crashes that the process recorded.
    cleared : tuple of Crash
        Crashes, of any process, that the request did not cause, as it has
        completed since.
    """

    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Crash, ...] = ()

    def merge(self, other: 'CrashHistory') -> 'CrashHistory':
        """Return the union of two histories of one process."""
        cleared = _unite(self.cleared, other.cleared)
        crashes = _unite(self.crashes, other.crashes)
        return CrashHistory(
            tuple(c for c in crashes if c not in cleared), cleared
        )

    def select_since(self, unix_seconds: float) -> 'CrashHistory':
        """Return the history without crashes before a time."""
        return CrashHistory(
            tuple(c for c in self.crashes if c.ended >= unix_seconds),
            tuple(c for c in self.cleared if c.ended >= unix_seconds),
        )


EMPTY_HISTORY = CrashHistory()


def _unite(
    first: collections.abc.Iterable[Crash],
    second: collections.abc.Iterable[Crash],
) -> tuple[Crash, ...]:
    united = sorted({*first, *second}, key=lambda crash: crash.ended)
    return tuple(united[-MAX_CRASHES:])


def count_distinct(crashes: collections.abc.Iterable[Crash]) -> int:
    """Count the crashes that are independent evidence.

    An attempt that began before a counted one had ended does not count. It
    may have shared its server, or have been sent as nothing was known. Nor
    does a second crash of one run of a server.
    """
    count = 0
    counted_until = -math.inf
    runs: set[tuple[str, int]] = set()
    for crash in sorted(crashes, key=lambda crash: crash.ended):
        run = (crash.server, crash.born_ms)
        if crash.began >= counted_until and run not in runs:
            count += 1
            counted_until = crash.ended
        if crash.born_ms:
            runs.add(run)
    return count


HistoryListener = collections.abc.Callable[[str, str, CrashHistory], None]


class CrashRegistry(abc.ABC):
    """Carries the histories of each process to all others."""

    __slots__ = ()

    @abc.abstractmethod
    def publish(
        self, process: str, fingerprint: str, history: CrashHistory
    ) -> None:
        """Publish the history that this process has of a request.

        Parameters
        ----------
        process : str
            The name of this process.
        fingerprint : str
            Identifies the request.
        """

    @abc.abstractmethod
    def listen(self, listener: HistoryListener) -> None:
        """Call `listener` with each process, fingerprint and new history.

        Histories of this process are those that it published before it
        started anew. An empty history replaces one that is forgotten.
        """


class RecordCrashRegistry(CrashRegistry):
    """Registry of own deployments: a record of each process and request.

    Parameters
    ----------
    table : RecordTable
        The records that all processes share.
    """

    __slots__ = ('_table',)

    def __init__(self, table: membership.RecordTable) -> None:
        self._table = table

    def publish(
        self, process: str, fingerprint: str, history: CrashHistory
    ) -> None:
        key = f'{CRASH_PREFIX}{fingerprint}/{process}'
        self._table.put(key, msgspec.msgpack.encode(history))

    def listen(self, listener: HistoryListener) -> None:
        def apply(record: links.Record) -> None:
            _, fingerprint, process = record.key.split('/', 2)
            history = decoding.decode_msgpack(record.value, CrashHistory)
            listener(process, fingerprint, history)

        self._table.listen(CRASH_PREFIX, apply)
