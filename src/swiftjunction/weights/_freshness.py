"""Tracks published weight versions and checks freshness bounds."""

import collections.abc
import time

import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import links
from swiftjunction import membership
from swiftjunction.weights import _versions

WEIGHTS_PREFIX = 'weights/'
# Largest difference assumed between the wall clocks of two VMs.
MAX_CLOCK_SKEW_SECONDS = 0.5


class FreshnessBound(msgspec.Struct, frozen=True):
    """The largest staleness that a request accepts.

    Attributes
    ----------
    versions : int or None
        Versions behind the newest one; None for no bound.
    seconds : float or None
        Age since publication, in seconds; None for no bound.
    """

    versions: int | None = None
    seconds: float | None = None


class VersionTracker:
    """The published versions known to this process, by model.

    Parameters
    ----------
    table : RecordTable
        The shared records.
    clock : callable
        Returns Unix time in seconds.
    boot_clock : callable
        Returns monotonic seconds, including time suspended.
    """

    __slots__ = ('_boot_clock', '_clock', '_first_seen', '_histories')

    def __init__(
        self,
        table: membership.RecordTable,
        clock: collections.abc.Callable[[], float] = time.time,
        boot_clock: collections.abc.Callable[
            [], float
        ] = leases.read_boot_clock,
    ) -> None:
        self._histories: dict[str, _versions.VersionHistory] = {}
        self._clock = clock
        self._boot_clock = boot_clock
        # When this process first saw each version, on the boot clock, which
        # steps of the wall clock do not affect.
        self._first_seen: dict[str, dict[int, float]] = {}
        table.listen(WEIGHTS_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        history = decoding.decode_json(record.value, _versions.VersionHistory)
        self._histories[history.model] = history
        known = self._first_seen.get(history.model, {})
        now = self._boot_clock()
        self._first_seen[history.model] = {
            published.version: known.get(published.version, now)
            for published in history.versions
        }

    def list_models(self) -> list[str]:
        """Return the models that have a published version."""
        return list(self._histories)

    def find_newest(self, model: str) -> int:
        """Return the newest version of `model`, or 0 if none is known."""
        history = self._histories.get(model)
        return history.newest if history is not None else 0

    def resolve_source(self, model: str, version: int) -> int:
        """Return the version whose weight files `version` uses."""
        history = self._histories.get(model)
        found = history.find(version) if history is not None else None
        return found.source if found is not None and found.source else version

    def find_oldest_fresh(self, model: str, bound: FreshnessBound) -> int:
        """Return the oldest version of `model` within `bound`.

        Without a bound, this is 1, whether or not a version is known.

        Raises
        ------
        StaleWeights
            If there is a bound and even the newest version is too old, or
            none is known.
        """
        if bound.versions is None and bound.seconds is None:
            return 1
        history = self._histories.get(model)
        if history is None:
            # A process that has just started has not received the records
            # yet; the version that an engine reports may be out of bounds.
            raise errors.StaleWeights(
                f'no version of {model} is known yet', step='freshness'
            )
        oldest = 1
        if bound.versions is not None:
            oldest = max(oldest, history.newest - bound.versions)
        if bound.seconds is not None:
            oldest = max(
                oldest, self._find_oldest_by_age(history, bound.seconds)
            )
        return oldest

    def check_freshness(
        self, model: str, version: int, bound: FreshnessBound
    ) -> None:
        """Raise ``StaleWeights`` if `version` is outside of `bound`."""
        if version <= 0:
            raise errors.StaleWeights(
                'the engine did not report its weight version',
                step='freshness',
            )
        oldest = self.find_oldest_fresh(model, bound)
        if version < oldest:
            in_versions = FreshnessBound(versions=bound.versions)
            violated_bound = (
                f'{bound.versions} versions'
                if version < self.find_oldest_fresh(model, in_versions)
                else f'{bound.seconds:g} s'
            )
            raise errors.StaleWeights(
                f'version {version} of {model} is older than {oldest}, the '
                f'oldest within the bound of {violated_bound}',
                step='freshness',
            )

    def _find_oldest_by_age(
        self, history: _versions.VersionHistory, seconds: float
    ) -> int:
        # The clock of the publisher may be ahead, so a version may be older
        # than its time of publication says.
        min_published_at = self._clock() - seconds + MAX_CLOCK_SKEW_SECONDS
        min_first_seen = self._boot_clock() - seconds
        first_seen = self._first_seen[history.model]
        for published in history.versions:
            if (
                published.published_at >= min_published_at
                and first_seen[published.version] >= min_first_seen
            ):
                return published.version
        raise errors.StaleWeights(
            f'version {history.newest} of {history.model}, the newest, was '
            f'published more than {seconds:g} s ago',
            step='freshness',
        )
