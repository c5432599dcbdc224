"""How far one version of one model has come."""

import collections.abc

from swiftjunction import backends

# When no engine has staged for so long, those that have are activated, and
# the others get no requests that need the new version until they follow.
STAGE_PATIENCE_SECONDS = 10.0
ACTIVATE_REPEAT_SECONDS = 0.5
STUCK_SECONDS = 30.0


class Rollout:
    """What the engines of a model still need to be at its newest version.

    Only what an engine says of itself counts: an order that was accepted and
    not carried out, an engine that lost its weights and an engine that went
    back to an older version are all seen as being behind.

    Attributes
    ----------
    target : int
        The version.
    source : int
        The version whose files it has.
    failures : dict
        What went wrong last on each engine that is behind.
    """

    __slots__ = (
        '_began_at',
        '_behind',
        '_progressed_at',
        '_sent_at',
        '_staged',
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
        self._began_at = now
        self._progressed_at = now
        self._sent_at: dict[str, float] = {}
        self._staged = 0
        self._behind: list[backends.BackendServer] = []
        self._unstaged: list[backends.BackendServer] = []

    def look(
        self,
        servers: collections.abc.Iterable[backends.BackendServer],
        now: float,
    ) -> None:
        """Take in what the engines say."""
        live = [s for s in servers if s.report.state == 'live']
        self._behind = [
            s for s in live if s.report.weight_version < self.target
        ]
        self._unstaged = [
            s for s in self._behind if s.report.staged_version < self.target
        ]
        staged = len(live) - len(self._unstaged)
        if staged > self._staged:
            self._progressed_at = now
        self._staged = staged
        behind = {s.name for s in self._behind}
        for name in set(self.failures) - behind:
            del self.failures[name]
        if not behind:
            self._began_at = now

    def list_unstaged(self) -> list[backends.BackendServer]:
        """Return the engines that lack the files."""
        return self._unstaged

    def list_ready(self, now: float) -> list[backends.BackendServer]:
        """Return the engines to activate now, each again after a while."""
        waited_seconds = now - self._progressed_at
        if self._unstaged and waited_seconds <= STAGE_PATIENCE_SECONDS:
            return []
        return [
            s
            for s in self._behind
            if s.report.staged_version >= self.target
            and now - self._sent_at.get(s.name, -1e9)
            >= ACTIVATE_REPEAT_SECONDS
        ]

    def note_activation(self, name: str, now: float) -> None:
        """Note that an engine was told to activate."""
        self._sent_at[name] = now

    def is_done(self) -> bool:
        """Tell whether every engine says that it serves the version."""
        return not self._behind

    def is_stuck(self, now: float) -> bool:
        """Tell whether engines have been behind for too long."""
        return (
            bool(self._behind)
            and now - max(self._began_at, self._progressed_at) > STUCK_SECONDS
        )

    def summarize(self, now: float) -> dict[str, object]:
        """Return the state, for a dump."""
        return {
            'model': self.model,
            'target': self.target,
            'source': self.source,
            'behind': [s.name for s in self._behind],
            'unstaged': [s.name for s in self._unstaged],
            'stuck': self.is_stuck(now),
            'failures': self.failures,
        }
