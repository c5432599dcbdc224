"""State of the rollout of one version of one model.

It covers the engines that conductors control. :mod:`swiftjunction.batches` has
a rollout of its own for the engines that run the samples of batches.
"""

import collections.abc

from swiftjunction import backends

# If no further engine stages for this time, those that have staged are
# activated without the others, which get no requests that need the new version
# until they activate it too.
STAGING_STALL_SECONDS = 10.0
ACTIVATION_RETRY_SECONDS = 0.5
STUCK_TIMEOUT_SECONDS = 30.0


class Rollout:
    """Tracks which engines do not serve the newest version of a model yet.

    The state derives only from the engines' own reports. An engine that
    accepted an order without executing it, lost its weights or returned to an
    older version therefore counts as behind.

    Attributes
    ----------
    target : int
        The version to roll out.
    source : int
        The version whose weight files `target` uses.
    failures : dict
        The last error of each engine that is behind, by engine name.
    """

    __slots__ = (
        '_activation_sent_at',
        '_behind',
        '_behind_since',
        '_last_progress_at',
        '_staged_count',
        '_unstaged',
        'failures',
        'model',
        'source',
        'target',
    )

    def __init__(
        self, model: str, target: int, source: int, now: float
    ) -> None:
        self.model = model
        self.target = target
        self.source = source
        self.failures: dict[str, str] = {}
        self._behind_since = now
        self._last_progress_at = now
        self._activation_sent_at: dict[str, float] = {}
        self._staged_count = 0
        self._behind: list[backends.BackendServer] = []
        self._unstaged: list[backends.BackendServer] = []

    def update(
        self,
        servers: collections.abc.Iterable[backends.BackendServer],
        now: float,
    ) -> None:
        """Recompute the state from the reports of the engines."""
        live = [s for s in servers if s.report.state == 'live']
        self._behind = [
            s for s in live if s.report.weight_version < self.target
        ]
        self._unstaged = [
            s for s in self._behind if s.report.staged_version < self.target
        ]
        staged_count = len(live) - len(self._unstaged)
        if staged_count > self._staged_count:
            self._last_progress_at = now
        self._staged_count = staged_count
        behind_names = {s.name for s in self._behind}
        for name in set(self.failures) - behind_names:
            del self.failures[name]
        if not behind_names:
            self._behind_since = now

    def list_unstaged(self) -> list[backends.BackendServer]:
        """Return the engines that have not staged the target version."""
        return self._unstaged

    def list_activatable(self, now: float) -> list[backends.BackendServer]:
        """Return the engines to activate now.

        An engine that does not report the activation is returned again after
        ``ACTIVATION_RETRY_SECONDS``.
        """
        stalled_seconds = now - self._last_progress_at
        if self._unstaged and stalled_seconds <= STAGING_STALL_SECONDS:
            return []
        return [
            s
            for s in self._behind
            if s.report.staged_version >= self.target
            and now - self._activation_sent_at.get(s.name, -1e9)
            >= ACTIVATION_RETRY_SECONDS
        ]

    def record_activation(self, name: str, now: float) -> None:
        """Record that an activation order is being sent to an engine."""
        self._activation_sent_at[name] = now

    def is_complete(self) -> bool:
        """Return whether every live engine reports the target version."""
        return not self._behind

    def is_stuck(self, now: float) -> bool:
        """Return whether engines have been behind for too long.

        That is, for more than ``STUCK_TIMEOUT_SECONDS`` some engine has been
        behind and no further engine has staged the target version. All may
        have staged it, and only the activation fail.
        """
        return (
            bool(self._behind)
            and now - max(self._behind_since, self._last_progress_at)
            > STUCK_TIMEOUT_SECONDS
        )

    def summarize(self, now: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'model': self.model,
            'target': self.target,
            'source': self.source,
            'behind': [s.name for s in self._behind],
            'unstaged': [s.name for s in self._unstaged],
            'stuck': self.is_stuck(now),
            'failures': self.failures,
        }
