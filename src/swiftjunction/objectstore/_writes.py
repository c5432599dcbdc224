"""Conditional writes whose lost answers are resolved by reading back."""

import collections.abc
import logging
import typing

import anyio

from swiftjunction import errors
from swiftjunction.objectstore import _objects

LOG = logging.getLogger(__name__)

READ_BACK_ATTEMPTS = 6
READ_BACK_FIRST_DELAY_SECONDS = 0.05

Write = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, int]
]


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
        If the platform could not be read either, or if the object has been
        written by another meanwhile, perhaps over this write.
    """
    return await _write_or_confirm(
        store, key, value, 0, lambda: store.create(key, value)
    )


async def update_or_confirm(
    store: _objects.ObjectStore, key: str, value: bytes, version: int
) -> int:
    """Update `key` as :func:`create_or_confirm` creates it."""
    return await _write_or_confirm(
        store, key, value, version, lambda: store.update(key, value, version)
    )


async def _write_or_confirm(
    store: _objects.ObjectStore,
    key: str,
    value: bytes,
    version: int,
    write: Write,
) -> int:
    try:
        return await write()
    except errors.WriteUncertain:
        pass
    delay_seconds = READ_BACK_FIRST_DELAY_SECONDS
    for _ in range(READ_BACK_ATTEMPTS):
        await anyio.sleep(delay_seconds)
        delay_seconds *= 2
        try:
            found = await _read_if_any(store, key)
        except errors.PlatformUnavailable:
            continue
        if found is not None and found.value == value:
            return found.version
        if found is not None and found.version > version:
            raise errors.WriteUncertain(
                f'{key} was written by another, before or after this write',
                step='read back',
                peer='object API',
            )
        try:
            # What was sent may still be on its way, or the read is stale.
            # The same write under the same condition settles both: at most
            # one of the two can take effect.
            return await write()
        except errors.PlatformError as error:
            # After a conflict the next read tells whose write it was.
            LOG.info('%s not confirmed yet: %s', key, error)
    raise errors.WriteUncertain(
        f'{key} could not be read back', step='read back', peer='object API'
    )


async def _read_if_any(
    store: _objects.ObjectStore, key: str
) -> _objects.Object | None:
    try:
        return await store.read(key)
    except errors.ObjectMissing:
        return None
