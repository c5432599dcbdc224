"""Changes a team's subtree on the platform."""

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
    """The store refused a write, as the object had changed."""


class Change(msgspec.Struct, frozen=True):
    """One change of a team's settings, as its author asks for it.

    Attributes
    ----------
    version : int
        The object version that the author has seen; 0 for none.
    revision : int
        The revision that the author has seen; 0 for none, -1 if unknown.
    nonce : str
        Names the change. A change that is sent again under its nonce, after
        its answer was lost, is applied at most once.
    paths : mapping
        The new settings of each path; None removes a path.
    """

    version: int
    revision: int
    author: str
    paths: Changes
    nonce: str


def make_history_key(team: str, revision: int) -> str:
    """Return the key of the object that keeps an old revision."""
    return f'{HISTORY_PREFIX}{team}/{revision:010d}'


class Editor:
    """Reads and changes subtrees under the condition of their version.

    A revision is copied to an object of its own before the next one replaces
    it, so that the history has no gap whenever a writer dies.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
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
            objectstore.decode_value(found, _settings.Subtree),
            found.version,
        )

    async def read_revision(
        self, team: str, revision: int
    ) -> _settings.Subtree:
        """Return a team's subtree as of a revision.

        Raises
        ------
        ObjectMissing
            If there was no such revision.
        """
        newest, _ = await self.read(team)
        if newest.revision == revision:
            return newest
        if revision == 0:
            return _settings.Subtree(team)
        found = await self._store.read(make_history_key(team, revision))
        return msgspec.json.decode(found.value, type=_settings.Subtree)

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
        revision : int
            The revision that the author has seen, where `nonce` is given.
        nonce : str
            Names the change, so that it can be sent again.

        Returns
        -------
        int
            The new object version, or a later one: the change is accepted.

        Raises
        ------
        SettingsError
            If a path is malformed or outside of the team's subtree.
        RevisionConflict
            If another change came first; this one was not applied.
        WriteUncertain
            If it is unknown whether the change was accepted.
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
        """Apply a change, or find out whether it was applied before.

        Only a write whose answer was lost leaves a doubt. A write that is
        sent again after it takes effect once, as both are conditional on the
        same version.
        """
        doubt: errors.WriteUncertain | None = None
        delay_seconds = FIRST_RETRY_DELAY_SECONDS
        for attempt in range(MAX_APPLY_ATTEMPTS):
            if attempt:
                await anyio.sleep(delay_seconds)
                delay_seconds *= 2
            try:
                subtree, version = await self.read(team)
                if version > change.version:
                    return await self._find_outcome(
                        team, change, subtree, version
                    )
                if version == change.version:
                    return await self._write(subtree, change)
                # The object was there already: this read is a stale one.
            except errors.WriteUncertain as error:
                doubt = error
            except _WriteConflict:
                # Perhaps to this very change, sent before: read again.
                continue
            except errors.PlatformUnavailable:
                if doubt is None:
                    raise
        raise doubt or errors.PlatformUnavailable(
            f'{team} could only be read as of an earlier time',
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

    async def _find_outcome(
        self,
        team: str,
        change: Change,
        newest: _settings.Subtree,
        version: int,
    ) -> int:
        made = newest
        known = change.revision != UNKNOWN_REVISION
        if known and newest.revision > change.revision + 1:
            made = await self.read_revision(team, change.revision + 1)
        if made.nonce == change.nonce:
            return version
        raise errors.RevisionConflict(
            f'{team} is at version {version}, not {change.version}; last '
            f'changed by {newest.changed_by} at {newest.changed_at}',
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
            # Kept already, by a writer that died or lost the race since.
            pass


def _check_paths(team: str, changes: Changes) -> None:
    for path in changes:
        _settings.check_path(path)
        if path.split('/')[0] != team:
            raise errors.SettingsError(
                [f'path {path!r}: outside of the subtree of team {team}']
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
