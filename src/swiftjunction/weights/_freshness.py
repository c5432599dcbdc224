"""Which versions are within a freshness bound."""

import collections.abc
import time

import msgspec

from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import links
from swiftjunction import membership
from swiftjunction.weights import _versions

WEIGHTS_PREFIX = 'weights/'
# How far the clocks of two VMs may be apart.
CLOCK_ERROR_SECONDS = 0.5


class FreshnessBound(msgspec.Struct, frozen=True):
    """How old weights may be; None where there is no bound of that kind."""

    versions: int | None = None
    seconds: float | None = None


class VersionTracker:
    """The newest versions known here.

    Parameters
    ----------
    table : RecordTable
        The records of this daemon.
    clock : callable
        Returns Unix time in seconds.
    steady_clock : callable
        Returns seconds, and only goes forward.
    """

    __slots__ = ('_clock', '_histories', '_learned', '_steady_clock')

    def __init__(
        self,
        table: membership.RecordTable,
        clock: collections.abc.Callable[[], float] = time.time,
        steady_clock: collections.abc.Callable[
            [], float
        ] = leases.read_boot_clock,
    ) -> None:
        self._histories: dict[str, _versions.VersionHistory] = {}
        self._clock = clock
        self._steady_clock = steady_clock
        # When each version became known here, by a clock that a step of the
        # wall clock does not move.
        self._learned: dict[str, dict[int, float]] = {}
        table.listen(WEIGHTS_PREFIX, self._learn)

    def _learn(self, record: links.Record) -> None:
        history = msgspec.json.decode(
            record.value, type=_versions.VersionHistory
        )
        self._histories[history.model] = history
        held = self._learned.get(history.model, {})
        now = self._steady_clock()
        self._learned[history.model] = {
            published.version: held.get(published.version, now)
            for published in history.versions
        }

    def list_models(self) -> list[str]:
        """Return the models that have versions."""
        return list(self._histories)

    def find_newest(self, model: str) -> int:
        """Return the newest version of `model`, 0 where there is none."""
        history = self._histories.get(model)
        return history.newest if history is not None else 0

    def find_source(self, model: str, version: int) -> int:
        """Return the version whose files `version` has."""
        history = self._histories.get(model)
        found = history.find(version) if history is not None else None
        return found.source if found is not None and found.source else version

    def find_oldest_fresh(self, model: str, bound: FreshnessBound) -> int:
        """Return the oldest version of `model` within `bound`.

        Raises
        ------
        StaleWeights
            If even the newest version is too old, or none is known.
        """
        if bound.versions is None and bound.seconds is None:
            return 1
        history = self._histories.get(model)
        if history is None:
            # This process has just started: what it will be told any moment
            # may forbid the version that an engine reports.
            raise errors.StaleWeights(
                f'no version of {model} is known here yet', step='freshness'
            )
        oldest = 1
        if bound.versions is not None:
            oldest = max(oldest, history.newest - bound.versions)
        if bound.seconds is not None:
            oldest = max(oldest, self._find_since(history, bound.seconds))
        return oldest

    def check_freshness(
        self, model: str, version: int, bound: FreshnessBound
    ) -> None:
        """Raise ``StaleWeights`` if `version` is outside of `bound`."""
        if version <= 0:
            raise errors.StaleWeights(
                'the engine did not name its weight version', step='freshness'
            )
        oldest = self.find_oldest_fresh(model, bound)
        if version < oldest:
            in_versions = FreshnessBound(versions=bound.versions)
            broken = (
                f'{bound.versions} versions'
                if version < self.find_oldest_fresh(model, in_versions)
                else f'{bound.seconds:g} s'
            )
            raise errors.StaleWeights(
                f'version {version} of {model} is older than {oldest}, the '
                f'oldest within the bound of {broken}',
                step='freshness',
            )

    def _find_since(
        self, history: _versions.VersionHistory, seconds: float
    ) -> int:
        since = self._clock() - seconds + CLOCK_ERROR_SECONDS
        learned_since = self._steady_clock() - seconds
        learned = self._learned[history.model]
        for published in history.versions:
            if (
                published.published_at >= since
                and learned[published.version] >= learned_since
            ):
                return published.version
        raise errors.StaleWeights(
            f'version {history.newest} of {history.model}, the newest, was '
            f'published more than {seconds:g} s ago',
            step='freshness',
        )
