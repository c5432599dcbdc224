"""Differences between revisions of the settings of a team."""

import msgspec

from swiftjunction.configuration import _editor
from swiftjunction.configuration import _settings
from swiftjunction import errors

MAX_HISTORY_ENTRIES = 50


class HistoryEntry(msgspec.Struct, frozen=True):
    """One revision: its author, its time and the paths that it changed."""

    revision: int
    changed_by: str
    changed_at: str
    paths: list[str]


def find_changes(
    old: _settings.Subtree, new: _settings.Subtree
) -> dict[str, _settings.PathSettings | None]:
    """Return the changes from `old` to `new`; None for a removed path."""
    changes: dict[str, _settings.PathSettings | None] = {
        path: settings
        for path, settings in new.paths.items()
        if old.paths.get(path) != settings
    }
    changes.update((path, None) for path in old.paths if path not in new.paths)
    return changes


async def list_history(
    editor: _editor.Editor, team: str, limit: int
) -> list[HistoryEntry]:
    """Return the latest revisions of the settings of a team, newest first.

    These are at most `limit`, and at most ``MAX_HISTORY_ENTRIES``.
    """
    newer, _ = await editor.read(team)
    entries: list[HistoryEntry] = []
    while newer.revision > 0 and len(entries) < min(
        limit, MAX_HISTORY_ENTRIES
    ):
        try:
            older = await editor.read_revision(team, newer.revision - 1)
        except errors.ObjectMissing:
            # The newer revision was written by a release that did not archive
            # the older one. The history ends here, and all paths of the newer
            # revision count as changed.
            older = _settings.Subtree(team)
        entries.append(
            HistoryEntry(
                newer.revision,
                newer.changed_by,
                newer.changed_at,
                sorted(find_changes(older, newer)),
            )
        )
        newer = older
    return entries
