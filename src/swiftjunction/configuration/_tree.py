"""The active settings of this process."""

import logging

import msgspec

from swiftjunction.configuration import _settings
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

LOG = logging.getLogger(__name__)

CONFIGURATION_PREFIX = 'config/'


class ActiveRevision(msgspec.Struct, frozen=True):
    """The active subtree of a team: its object version and its revision."""

    version: int
    revision: int


class Tree:
    """The active settings of all paths, updated from the shared records.

    Parameters
    ----------
    table : RecordTable
        The shared records. There is one record for the subtree of each team,
        with the version of its object, and versions never decrease.
    """

    __slots__ = ('_cache', '_subtrees', '_versions')

    def __init__(self, table: membership.RecordTable) -> None:
        self._subtrees: dict[str, _settings.Subtree] = {}
        self._versions: dict[str, int] = {}
        self._cache: dict[str, _settings.PathSettings] = {}
        table.listen(CONFIGURATION_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        try:
            subtree = decoding.decode_json(record.value, _settings.Subtree)
        except errors.ContentBroken as error:
            # Probably written by a later release; the last valid settings of
            # the team stay active.
            LOG.error(
                'ignoring invalid configuration %s: %s', record.key, error
            )
            return
        if record.key != f'{CONFIGURATION_PREFIX}{subtree.team}':
            LOG.error(
                'ignoring configuration %s: it has the settings of team %s',
                record.key,
                subtree.team,
            )
            return
        # The versions are equal if a conflict between two values of one
        # version was settled.
        assert record.version >= self._versions.get(subtree.team, 0)
        self._subtrees[subtree.team] = subtree
        self._versions[subtree.team] = record.version
        self._cache.clear()

    def resolve(self, path: str) -> _settings.PathSettings:
        """Return the settings of `path`, including inherited ones."""
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
            # Unknown paths are not cached, as callers may send any number.
            if path in subtree.paths:
                self._cache[path] = merged
        return merged

    def split_path(self, url_path: str) -> tuple[str, str]:
        """Split a URL path or a model path after the longest configured path.

        Returns
        -------
        tuple of str
            The longest path that has settings, and the rest. Without any, an
            empty path and `url_path`.
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
        """Return the settings of all paths, including inherited ones."""
        return {
            path: self.resolve(path)
            for subtree in self._subtrees.values()
            for path in subtree.paths
        }

    def has_model(self, model: str) -> bool:
        """Return whether `model` serves any path."""
        return any(
            found.model == model for found in self.list_paths().values()
        )

    def has_service(self, service: str) -> bool:
        """Return whether the plain `service` serves any path."""
        return any(
            found.service == service for found in self.list_paths().values()
        )

    def checks_fencing(self, model: str) -> bool:
        """Return whether the engines of `model` refuse old fencing tokens.

        All paths of the model must have the setting. If it is wrongly false,
        a new lease holder waits some seconds for nothing; if it is wrongly
        true, an order may be lost.
        """
        flags = [
            found.checks_fencing
            for found in self.list_paths().values()
            if found.model == model
        ]
        return bool(flags) and all(flags)

    def list_active_revisions(self) -> dict[str, ActiveRevision]:
        """Return the active revision for each team."""
        return {
            team: ActiveRevision(version, self._subtrees[team].revision)
            for team, version in self._versions.items()
        }

    def list_versions(self) -> dict[str, int]:
        """Return the active object version for each team."""
        return dict(self._versions)
