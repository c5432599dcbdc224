"""Publishes weight versions on the platform."""

import time
import uuid

import msgspec

from swiftjunction import errors
from swiftjunction import platform
from swiftjunction.weights import _board
from swiftjunction.weights import _versions


class Publisher:
    """Adds versions to a model's history by conditional updates."""

    __slots__ = ('_store',)

    def __init__(self, store: platform.ObjectStore) -> None:
        self._store = store

    async def publish(self, model: str) -> int:
        """Publish the next version of `model`.

        Returns
        -------
        int
            The version.

        Raises
        ------
        PlatformError
            If it is not published, or not known to be.
        """
        while True:
            try:
                return await self._publish_once(model)
            except errors.RevisionConflict:
                continue

    async def _publish_once(self, model: str) -> int:
        key = f'{_board.WEIGHTS_PREFIX}{model}'
        try:
            found = await self._store.read(key)
        except errors.ObjectMissing:
            history, held = _versions.History(model), 0
        else:
            held = found.version
            history = platform.decode_value(found, _versions.History)
        version = history.add(time.time())
        history.nonce = uuid.uuid4().hex
        value = msgspec.json.encode(history)
        if held:
            await platform.update_or_confirm(self._store, key, value, held)
        else:
            await platform.create_or_confirm(self._store, key, value)
        return version
