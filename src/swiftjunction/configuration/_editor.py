"""Reads and changes the subtree of a team in the object store.

The revision of a subtree counts the changes of its settings. Its version is
that of the object that stores it.
"""

import collections.abc
import datetime
import uuid

import anyio
import msgspec

from swiftjunction.configuration import _settings
from swiftjunction.configuration import _tree
from swiftjunction import errors
from swiftjunction import objectstore

Changes = collections.abc.Mapping[str, _settings.PathSettings | None]

HISTORY_PREFIX = 'history/'
MAX_APPLY_ATTEMPTS = 6
FIRST_RETRY_DELAY_SECONDS = 0.05
UNKNOWN_REVISION = -1


class _WriteConflict(errors.RevisionConflict):
    """A conditional write failed because the object has changed."""


class Change(msgspec.Struct, frozen=True):
    """A requested change of the settings of a team.

    Attributes
    ----------
    version : int
        The object version that the change is based on; 0 for none.
    revision : int
        The revision that the change is based on; 0 for none, -1 if unknown.
    nonce : str
        Identifies the change. If the response is lost and the change is sent
        again with its nonce, it is applied at most once.
    paths : mapping
        The new settings of each path; None removes a path.
    """

    version: int
    revision: int
    author: str
    paths: Changes
    nonce: str


def make_history_key(team: str, revision: int) -> str:
    """Return the key of the object that stores an old revision."""
    return f'{HISTORY_PREFIX}{team}/{revision:010d}'


class Editor:
    """Reads subtrees, and changes them by compare-and-swap of their version.

    Each revision is copied to a separate object before the next one replaces
    it. Therefore the history has no gaps, even if a writer stops in between.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def read(self, team: str) -> tuple[_settings.Subtree, int]:
        """Return the subtree of a team and its object version; 0 for none."""
        try:
            stored = await self._store.read(
                f'{_tree.CONFIGURATION_PREFIX}{team}'
            )
        except errors.ObjectMissing:
            return _settings.Subtree(team), 0
        return (
            objectstore.decode_value(stored, _settings.Subtree),
            stored.version,
        )

    async def read_revision(
        self, team: str, revision: int
    ) -> _settings.Subtree:
        """Return the subtree of a team at a revision.

        Raises
        ------
        ObjectMissing
            If the revision does not exist.
        """
        newest, _ = await self.read(team)
        if newest.revision == revision:
            return newest
        if revision == 0:
            return _settings.Subtree(team)
        stored = await self._store.read(make_history_key(team, revision))
        return objectstore.decode_value(stored, _settings.Subtree)

    async def apply(
        self,
        team: str,
        changes: Changes,
        *,
        author: str,
        version: int,
        revision: int | None = None,
        nonce: str = '',
    ) -> int:
        """Apply `changes` atomically if the subtree is still at `version`.

        Parameters
        ----------
        team : str
            The team that owns the subtree.
        changes : mapping
            The new settings of each path; None removes a path.
        author : str
            The name of the author, for the history.
        version : int
            The object version that the change is based on; 0 for none.
        revision : int
            The revision that the change is based on. Needed with `nonce`.
        nonce : str
            Identifies the change, so that it can safely be sent again.

        Returns
        -------
        int
            The object version with the change, or a later one.

        Raises
        ------
        SettingsError
            If a path is malformed or outside of the team's subtree.
        RevisionConflict
            If another change was applied first; this one was not.
        WriteUncertain
            If it is unknown whether the change was applied; send it again
            with the same nonce to find out.
        """
        _check_paths(team, changes)
        change = Change(
            version,
            UNKNOWN_REVISION if revision is None else revision,
            author,
            changes,
            nonce or uuid.uuid4().hex,
        )
        return await self._apply_with_retries(team, change)

    async def _apply_with_retries(self, team: str, change: Change) -> int:
        """Apply a change, or find out whether it was applied already.

        The outcome is uncertain only if the response to a write is lost. The
        write may then be repeated: as all attempts are conditional on the
        same version, at most one of them succeeds.
        """
        uncertain_error: errors.WriteUncertain | None = None
        delay_seconds = FIRST_RETRY_DELAY_SECONDS
        for attempt in range(MAX_APPLY_ATTEMPTS):
            if attempt:
                await anyio.sleep(delay_seconds)
                delay_seconds *= 2
            try:
                subtree, version = await self.read(team)
                if version > change.version:
                    return await self._check_outcome(
                        team, change, subtree, version
                    )
                if version == change.version:
                    return await self._write(subtree, change)
                # The change is based on a later version: the read is outdated.
            except errors.WriteUncertain as error:
                uncertain_error = error
            except _WriteConflict:
                # An earlier attempt may have applied the change: read again.
                continue
            except errors.RevisionConflict:
                # The objects show that the change was not applied.
                raise
            except errors.PlatformError:
                # A read that fails says nothing about an earlier write.
                if uncertain_error is None:
                    raise
        raise uncertain_error or errors.PlatformUnavailable(
            f'all reads of the settings of {team} were outdated',
            step='apply',
            peer='object API',
        )

    async def _write(self, subtree: _settings.Subtree, change: Change) -> int:
        if change.version > 0:
            await self._archive(subtree)
        value = msgspec.json.encode(_apply_changes(subtree, change))
        key = f'{_tree.CONFIGURATION_PREFIX}{subtree.team}'
        try:
            if change.version == 0:
                return await self._store.create(key, value)
            return await self._store.update(key, value, change.version)
        except errors.RevisionConflict as error:
            raise _WriteConflict(error.message) from error

    async def _check_outcome(
        self,
        team: str,
        change: Change,
        newest: _settings.Subtree,
        version: int,
    ) -> int:
        candidate = newest
        is_revision_known = change.revision != UNKNOWN_REVISION
        if is_revision_known and newest.revision > change.revision + 1:
            candidate = await self.read_revision(team, change.revision + 1)
        if candidate.nonce == change.nonce:
            return version
        raise errors.RevisionConflict(
            f'the settings of {team} are at version {version}, not '
            f'{change.version}; last changed by {newest.changed_by} at '
            f'{newest.changed_at}',
            step='apply',
            peer='object API',
        )

    async def _archive(self, subtree: _settings.Subtree) -> None:
        try:
            await self._store.create(
                make_history_key(subtree.team, subtree.revision),
                msgspec.json.encode(subtree),
            )
        except errors.RevisionConflict:
            # Another writer archived the revision, and has then stopped or got
            # a conflict.
            pass


def _check_paths(team: str, changes: Changes) -> None:
    for path in changes:
        _settings.check_path(path)
        if path.split('/')[0] != team:
            raise errors.SettingsError(
                [f'path {path!r} is outside of the subtree of team {team}']
            )


def _apply_changes(
    subtree: _settings.Subtree, change: Change
) -> _settings.Subtree:
    paths = {
        path: settings
        for path, settings in subtree.paths.items()
        if path not in change.paths
    }
    paths.update(
        (path, settings)
        for path, settings in change.paths.items()
        if settings is not None
    )
    now = datetime.datetime.now(datetime.UTC)
    return _settings.Subtree(
        subtree.team,
        subtree.revision + 1,
        change.nonce,
        change.author,
        now.isoformat(timespec='milliseconds'),
        paths,
    )
