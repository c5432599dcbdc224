"""The configuration in force on this daemon."""

import logging

import msgspec

from swiftjunction.configuration import _settings
from swiftjunction import links
from swiftjunction import membership

LOG = logging.getLogger(__name__)

CONFIGURATION_PREFIX = 'config/'


class ActiveRevision(msgspec.Struct, frozen=True):
    """The object version and the revision of a subtree that is in force."""

    version: int
    revision: int


class Tree:
    """Answers which settings hold for a path.

    Parameters
    ----------
    table : RecordTable
        Holds one record for each team's subtree, at the version of its
        platform object, and never lets one go back.
    """

    __slots__ = ('_cache', '_subtrees', '_versions')

    def __init__(self, table: membership.RecordTable) -> None:
        self._subtrees: dict[str, _settings.Subtree] = {}
        self._versions: dict[str, int] = {}
        self._cache: dict[str, _settings.PathSettings] = {}
        table.listen(CONFIGURATION_PREFIX, self._learn)

    def _learn(self, record: links.Record) -> None:
        try:
            subtree = msgspec.json.decode(record.value, type=_settings.Subtree)
        except msgspec.MsgspecError as error:
            # What this release does not understand, a later one wrote; the
            # team's last good settings stay in force.
            LOG.error('configuration %s not applied: %s', record.key, error)
            return
        if record.key != f'{CONFIGURATION_PREFIX}{subtree.team}':
            LOG.error('%s holds settings of %s', record.key, subtree.team)
            return
        # Equal where two values of one version were settled by their order.
        assert record.version >= self._versions.get(subtree.team, 0)
        self._subtrees[subtree.team] = subtree
        self._versions[subtree.team] = record.version
        self._cache.clear()

    def resolve(self, path: str) -> _settings.PathSettings:
        """Return the settings of `path`, with what it inherits."""
        cached = self._cache.get(path)
        if cached is not None:
            return cached
        merged = _settings.DEFAULTS
        subtree = self._subtrees.get(path.split('/')[0])
        if subtree is not None:
            parts = path.split('/')
            for length in range(1, len(parts) + 1):
                found = subtree.paths.get('/'.join(parts[:length]))
                if found is not None:
                    merged = _settings.merge_settings(found, merged)
            # Paths that callers make up are not kept.
            if path in subtree.paths:
                self._cache[path] = merged
        return merged

    def find_service(self, url_path: str) -> tuple[str, str]:
        """Split ``team/part/rest`` where the longest known path ends.

        Returns
        -------
        tuple of str
            The path of the settings and the rest, both perhaps empty.
        """
        parts = url_path.strip('/').split('/')
        subtree = self._subtrees.get(parts[0])
        if subtree is None:
            return '', url_path
        for length in range(len(parts), 0, -1):
            path = '/'.join(parts[:length])
            if path in subtree.paths:
                return path, '/'.join(parts[length:])
        return '', url_path

    def list_paths(self) -> dict[str, _settings.PathSettings]:
        """Return every path that is set, with what it inherits."""
        return {
            path: self.resolve(path)
            for subtree in self._subtrees.values()
            for path in subtree.paths
        }

    def has_model(self, model: str) -> bool:
        """Tell whether some path is served by `model`."""
        return any(
            found.model == model for found in self.list_paths().values()
        )

    def has_service(self, service: str) -> bool:
        """Tell whether some path is served by the plain `service`."""
        return any(
            found.service == service for found in self.list_paths().values()
        )

    def checks_fencing(self, model: str) -> bool:
        """Tell whether the engines of `model` refuse old fencing tokens.

        Every path that names the model must say so: to wait out an earlier
        holder for nothing costs seconds, and not to wait may cost an order.
        """
        said = [
            found.checks_fencing
            for found in self.list_paths().values()
            if found.model == model
        ]
        return bool(said) and all(said)

    def list_active_revisions(self) -> dict[str, ActiveRevision]:
        """Return what is in force for each team."""
        return {
            team: ActiveRevision(version, self._subtrees[team].revision)
            for team, version in self._versions.items()
        }

    def list_versions(self) -> dict[str, int]:
        """Return the object version in force for each team."""
        return dict(self._versions)
