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
import time

import xxhash

from swiftjunction import errors
from swiftjunction.requests import _crashes

LOG = logging.getLogger(__name__)

REFUSED_AFTER_CRASHES = 2
# How long one crash makes a request a suspect.
SUSPICION_SECONDS = 60.0
# How long each crash counts towards a refusal.
REFUSAL_SECONDS = 3600.0
# Requests whose crashes this process remembers; the oldest ones go first.
MAX_REQUESTS = 1024
# Instead of a fingerprint, for requests that are never suspects.
NO_FINGERPRINT = ''


def make_fingerprint(*parts: str | bytes) -> str:
    """Return an identifier that retries of the same request share."""
    digest = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, 'little'))
        digest.update(data)
    return digest.hexdigest()


class SuspectTracker:
    """Tracks the crashes that requests were involved in, on all processes.

    Parameters
    ----------
    registry : CrashRegistry
        Carries the crashes to other processes.
    name : str
        Name of this process.
    clock : callable
        Returns Unix time in seconds.
    """

    __slots__ = ('_registry', '_clock', '_histories', '_listeners', '_name')

    def __init__(
        self,
        registry: _crashes.CrashRegistry,
        name: str,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._registry = registry
        self._name = name
        self._clock = clock
        # By fingerprint and process.
        self._histories: dict[str, dict[str, _crashes.CrashHistory]] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        registry.listen(self._apply)

    def _apply(
        self, process: str, fingerprint: str, history: _crashes.CrashHistory
    ) -> None:
        if process != self._name:
            self._store(process, fingerprint, history)
            return
        own = self._get_own(fingerprint)
        merged = history.merge(own)
        self._store(process, fingerprint, merged)
        if merged != history:
            self._registry.publish(process, fingerprint, merged)

    def _store(
        self, process: str, fingerprint: str, history: _crashes.CrashHistory
    ) -> None:
        if history != _crashes.EMPTY_HISTORY:
            self._histories.setdefault(fingerprint, {})[process] = history
            return
        histories = self._histories.get(fingerprint, {})
        histories.pop(process, None)
        if not histories:
            self._histories.pop(fingerprint, None)

    def _get_own(self, fingerprint: str) -> _crashes.CrashHistory:
        return self._histories.get(fingerprint, {}).get(
            self._name, _crashes.EMPTY_HISTORY
        )

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._clock()

    def listen(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call `listener` at each crash that this process records."""
        self._listeners.append(listener)

    def record_crash(
        self,
        fingerprint: str,
        server: str,
        started_unix: float,
        born_ms: int = 0,
        ended_unix: float | None = None,
    ) -> None:
        """Record that `server` crashed while it ran the request.

        Parameters
        ----------
        fingerprint : str
            With ``NO_FINGERPRINT``, nothing is recorded.
        started_unix : float
            What :meth:`now` returned before the attempt.
        born_ms : int
            The start of the server in Unix milliseconds; 0 if not known.
        ended_unix : float, optional
            What :meth:`now` returned at the end of the attempt; by default,
            what it returns now.
        """
        if fingerprint == NO_FINGERPRINT:
            return
        ended = self._clock() if ended_unix is None else ended_unix
        crash = _crashes.Crash(server, started_unix, ended, born_ms)
        self._publish(fingerprint, _crashes.CrashHistory((crash,)))
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

        The crashes that are known here no longer count for any process.
        """
        crashes = self._list_crashes(fingerprint)
        if crashes:
            self._publish(
                fingerprint, _crashes.CrashHistory((), tuple(crashes))
            )

    def _publish(self, fingerprint: str, added: _crashes.CrashHistory) -> None:
        self.forget_expired()
        history = self._get_own(fingerprint).merge(added)
        self._store(self._name, fingerprint, history)
        self._registry.publish(self._name, fingerprint, history)

    def forget_expired(self) -> None:
        """Forget crashes of this process that no longer count."""
        since = self._clock() - REFUSAL_SECONDS
        own = [
            (fingerprint, histories[self._name])
            for fingerprint, histories in self._histories.items()
            if self._name in histories
        ]
        kept = {f: history.select_since(since) for f, history in own}
        by_age = sorted(kept, key=lambda f: _find_end(kept[f]), reverse=True)
        for fingerprint in by_age[MAX_REQUESTS - 1 :]:
            kept[fingerprint] = _crashes.EMPTY_HISTORY
        for fingerprint, history in own:
            if kept[fingerprint] != history:
                self._store(self._name, fingerprint, kept[fingerprint])
                self._registry.publish(
                    self._name, fingerprint, kept[fingerprint]
                )

    def _list_crashes(self, fingerprint: str) -> list[_crashes.Crash]:
        """Return the crashes of all processes that still count."""
        histories = self._histories.get(fingerprint)
        if not histories:
            return []
        since = self._clock() - REFUSAL_SECONDS
        cleared = {c for h in histories.values() for c in h.cleared}
        return [
            crash
            for history in histories.values()
            for crash in history.crashes
            if crash.ended > since and crash not in cleared
        ]

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of crashes that still count for the request."""
        crashes = self._list_crashes(fingerprint)
        if not crashes:
            return 0
        count = _crashes.count_distinct(crashes)
        newest = max(crash.ended for crash in crashes)
        if (
            count < REFUSED_AFTER_CRASHES
            and self._clock() - newest > SUSPICION_SECONDS
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

    def summarize(self) -> dict[str, int]:
        """Return the number of crashes of each suspect, for the state dump."""
        return {
            fingerprint: count
            for fingerprint in self._histories
            if (count := self.count_crashes(fingerprint))
        }


def _find_end(history: _crashes.CrashHistory) -> float:
    """Return the Unix time of the newest crash in a history, in seconds."""
    crashes = (*history.crashes, *history.cleared)
    return max((crash.ended for crash in crashes), default=0.0)
