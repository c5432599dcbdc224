"""Changes a team's subtree on the platform."""

import collections.abc
import datetime
import uuid

import msgspec

from swiftjunction.configuration import _settings
from swiftjunction.configuration import _tree
from swiftjunction import errors
from swiftjunction import platform

Changes = collections.abc.Mapping[str, _settings.PathSettings | None]


class Editor:
    """Reads and changes subtrees under the condition of their version."""

    __slots__ = ('_store',)

    def __init__(self, store: platform.ObjectStore) -> None:
        self._store = store

    async def read(self, team: str) -> tuple[_settings.Subtree, int]:
        """Return a team's subtree and the version of its object, or 0."""
        try:
            found = await self._store.read(
                f'{_tree.CONFIGURATION_PREFIX}{team}'
            )
        except errors.ObjectMissing:
            return _settings.Subtree(team), 0
        return (
            platform.decode_value(found, _settings.Subtree),
            found.version,
        )

    async def apply(
        self, team: str, changes: Changes, *, author: str, version: int
    ) -> int:
        """Apply `changes` at once if the subtree is still at `version`.

        Parameters
        ----------
        team : str
            The team whose subtree it is.
        changes : mapping
            The new settings of each path; None removes a path.
        author : str
            Who changes it.
        version : int
            The object version that the author has seen; 0 for none.

        Returns
        -------
        int
            The new object version: the change is accepted.

        Raises
        ------
        SettingsError
            If a path is malformed or outside of the team's subtree.
        RevisionConflict
            If another change came first.
        WriteUncertain
            If it is unknown whether the change was accepted.
        """
        for path in changes:
            _settings.check_path(path)
            if path.split('/')[0] != team:
                raise errors.SettingsError(
                    [f'path {path!r}: outside of the subtree of team {team}']
                )
        subtree, found_version = await self.read(team)
        if found_version != version:
            raise errors.RevisionConflict(
                f'{team} is at version {found_version}, not {version}; last '
                f'changed by {subtree.changed_by} at {subtree.changed_at}',
                step='apply',
                peer='object API',
            )
        for path, settings in changes.items():
            subtree.paths.pop(path, None)
            if settings is not None:
                subtree.paths[path] = settings
        subtree.revision += 1
        subtree.nonce = uuid.uuid4().hex
        subtree.changed_by = author
        now = datetime.datetime.now(datetime.UTC)
        subtree.changed_at = now.isoformat(timespec='milliseconds')
        value = msgspec.json.encode(subtree)
        key = f'{_tree.CONFIGURATION_PREFIX}{team}'
        if version == 0:
            return await platform.create_or_confirm(self._store, key, value)
        return await platform.update_or_confirm(
            self._store, key, value, version
        )
