"""Publishes weight versions in the object store."""

import time
import uuid

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.weights import _freshness
from swiftjunction.weights import _versions


class Publisher:
    """Adds versions to a model's history with conditional writes.

    Parameters
    ----------
    store : ObjectStore
        Holds one history object for each model.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def publish(self, model: str, source: int = 0) -> int:
        """Publish the next version of `model`.

        If another writer changes the history at the same time, the write is
        repeated on its result, as often as needed.

        Parameters
        ----------
        source : int
            The earlier version whose weight files the new one reuses, for a
            rollback; 0 if the new version has its own files.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        PlatformError
            If the version was not published, or the outcome is unknown.
        SettingsError
            If `source` is not in the history.
        """
        while True:
            try:
                return await self._publish_once(model, source)
            except errors.RevisionConflict:
                continue

    async def _publish_once(self, model: str, source: int) -> int:
        key = f'{_freshness.WEIGHTS_PREFIX}{model}'
        try:
            found = await self._store.read(key)
        except errors.ObjectMissing:
            history, object_version = _versions.VersionHistory(model), 0
        else:
            object_version = found.version
            history = objectstore.decode_value(found, _versions.VersionHistory)
        version = history.add(time.time(), _resolve_source(history, source))
        history.nonce = uuid.uuid4().hex
        value = msgspec.json.encode(history)
        if object_version:
            await objectstore.update_or_confirm(
                self._store, key, value, object_version
            )
        else:
            await objectstore.create_or_confirm(self._store, key, value)
        return version


def _resolve_source(history: _versions.VersionHistory, source: int) -> int:
    """Return the version that owns the weight files of `source`."""
    if not source:
        return 0
    found = history.find(source)
    if found is None:
        raise errors.SettingsError(
            [f'source {source}: not in the version history of {history.model}']
        )
    return found.source or source
