"""Publishes weight versions on the platform."""

import time
import uuid

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.weights import _freshness
from swiftjunction.weights import _versions


class Publisher:
    """Adds versions to a model's history by conditional updates."""

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def publish(self, model: str, source: int = 0) -> int:
        """Publish the next version of `model`.

        Parameters
        ----------
        source : int
            The earlier version whose weights it has, to go back to them; 0
            for weights of its own.

        Returns
        -------
        int
            The version.

        Raises
        ------
        PlatformError
            If it is not published, or not known to be.
        SettingsError
            If `source` is not among the versions that are kept.
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
            history, held = _versions.VersionHistory(model), 0
        else:
            held = found.version
            history = objectstore.decode_value(found, _versions.VersionHistory)
        version = history.add(time.time(), _find_files(history, source))
        history.nonce = uuid.uuid4().hex
        value = msgspec.json.encode(history)
        if held:
            await objectstore.update_or_confirm(self._store, key, value, held)
        else:
            await objectstore.create_or_confirm(self._store, key, value)
        return version


def _find_files(history: _versions.VersionHistory, source: int) -> int:
    """Return the version that has the files of `source` itself."""
    if not source:
        return 0
    found = history.find(source)
    if found is None:
        raise errors.SettingsError(
            [f'source {source}: not among the versions of {history.model}']
        )
    return found.source or source
