"""Conditional writes that resolve lost responses by reading back."""

import collections.abc
import logging
import typing

import anyio

from swiftjunction import errors
from swiftjunction.objectstore import _objects

LOG = logging.getLogger(__name__)

READ_BACK_ATTEMPTS = 6
READ_BACK_INITIAL_DELAY_SECONDS = 0.05

WriteCall = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, int]
]


async def create_or_confirm(
    store: _objects.ObjectStore, key: str, value: bytes
) -> int:
    """Create `key`; if the response is lost, read back to find the outcome.

    `value` must differ from every other write, for example by a nonce.

    Returns
    -------
    int
        The version of the written object.

    Raises
    ------
    RevisionConflict
        If another writer created the object.
    WriteUncertain
        If the object could not be read back, or if another writer has
        written it since, possibly over this write.
    """
    return await _write_or_confirm(
        store, key, value, 0, lambda: store.create(key, value)
    )


async def update_or_confirm(
    store: _objects.ObjectStore, key: str, value: bytes, version: int
) -> int:
    """Update `key` at `version`; see :func:`create_or_confirm`."""
    return await _write_or_confirm(
        store, key, value, version, lambda: store.update(key, value, version)
    )


async def _write_or_confirm(
    store: _objects.ObjectStore,
    key: str,
    value: bytes,
    version: int,
    write: WriteCall,
) -> int:
    try:
        return await write()
    except errors.WriteUncertain as error:
        LOG.info(
            'no response to the write of %s; reading back: %s', key, error
        )
    delay_seconds = READ_BACK_INITIAL_DELAY_SECONDS
    for _ in range(READ_BACK_ATTEMPTS):
        await anyio.sleep(delay_seconds)
        delay_seconds *= 2
        try:
            found = await _read_or_none(store, key)
        except errors.PlatformError as error:
            LOG.info('cannot read back %s: %s', key, error)
            continue
        if found is not None and found.value == value:
            return found.version
        if found is not None and found.version > version:
            raise errors.WriteUncertain(
                f'another writer changed {key}; this write may have taken '
                'effect before',
                step='read back',
                peer='object API',
            )
        try:
            # The first write may still be in flight, or the read was outdated.
            # Repeating the write under the same condition resolves both cases:
            # at most one of the two writes can take effect.
            return await write()
        except errors.PlatformError as error:
            # After a conflict, the next read shows whose write succeeded.
            LOG.info('write of %s not confirmed yet: %s', key, error)
    raise errors.WriteUncertain(
        f'{key} could not be read back', step='read back', peer='object API'
    )


async def _read_or_none(
    store: _objects.ObjectStore, key: str
) -> _objects.Object | None:
    try:
        return await store.read(key)
    except errors.ObjectMissing:
        return None
