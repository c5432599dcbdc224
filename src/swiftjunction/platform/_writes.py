"""Conditional writes whose lost answers are resolved by reading back."""

import anyio

from swiftjunction import errors
from swiftjunction.platform import _objects

READ_BACK_ATTEMPTS = 6
READ_BACK_FIRST_DELAY_SECONDS = 0.05


async def create_or_confirm(
    store: _objects.ObjectStore, key: str, value: bytes
) -> int:
    """Create `key`; where the answer is lost, find out by reading back.

    `value` must be unlike any other writer's, by a writer's own token in it.

    Returns
    -------
    int
        The version of the object made.

    Raises
    ------
    RevisionConflict
        If another writer made the object.
    WriteUncertain
        If the platform could not be read either.
    """
    try:
        return await store.create(key, value)
    except errors.WriteUncertain:
        return await _confirm(store, key, value)


async def update_or_confirm(
    store: _objects.ObjectStore, key: str, value: bytes, version: int
) -> int:
    """Update `key` as :func:`create_or_confirm` creates it."""
    try:
        return await store.update(key, value, version)
    except errors.WriteUncertain:
        return await _confirm(store, key, value)


async def _confirm(store: _objects.ObjectStore, key: str, value: bytes) -> int:
    delay_seconds = READ_BACK_FIRST_DELAY_SECONDS
    for _ in range(READ_BACK_ATTEMPTS):
        await anyio.sleep(delay_seconds)
        delay_seconds *= 2
        try:
            found = await store.read(key)
        except errors.ObjectMissing:
            found = None
        except errors.PlatformUnavailable:
            continue
        if found is not None and found.value == value:
            return found.version
        # The write that was lost may still be on its way, and could land
        # after this read: only another write settles that it did not.
        raise errors.WriteUncertain(
            f'{key} does not hold what was written',
            step='read back',
            peer='object API',
        )
    raise errors.WriteUncertain(
        f'{key} could not be read back', step='read back', peer='object API'
    )
