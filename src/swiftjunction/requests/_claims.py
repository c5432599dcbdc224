"""Claims of idempotency keys, so that a key runs at most once anywhere."""

import uuid

import anyio
import msgspec
import xxhash

from swiftjunction import errors
from swiftjunction import platform

CLAIM_ATTEMPTS = 4
CLAIM_RETRY_SECONDS = 0.1


class _Claim(msgspec.Struct):
    owner: str
    nonce: str


class Claims:
    """Claims keys by conditional creation on the platform.

    Parameters
    ----------
    store : ObjectStore
        Where claims are kept.
    owner : str
        This process.
    """

    __slots__ = ('_owner', '_store')

    def __init__(self, store: platform.ObjectStore, owner: str) -> None:
        self._store = store
        self._owner = owner

    async def claim(self, path: str, key: str) -> None:
        """Claim `key` for one run.

        Raises
        ------
        NotRun
            If it could not be claimed; this request did not run.
        OutcomeUnknown
            If the key was claimed before: that run may have happened.
        """
        digest = xxhash.xxh3_128_hexdigest(f'{path}\0{key}'.encode())
        name = f'claims/{digest}'
        claim = _Claim(self._owner, uuid.uuid4().hex)
        value = msgspec.json.encode(claim)
        for _ in range(CLAIM_ATTEMPTS):
            try:
                await self._store.create(name, value)
                return
            except errors.WriteUncertain:
                # Creating is conditional on absence, so doing it again
                # either makes the claim or finds the one made before.
                await anyio.sleep(CLAIM_RETRY_SECONDS)
            except errors.RevisionConflict:
                await self._check_owner(name, value, key)
                return
            except errors.PlatformUnavailable:
                await anyio.sleep(CLAIM_RETRY_SECONDS)
        raise errors.NotRun(
            'the idempotency key could not be claimed',
            step='claim',
            peer='object API',
        )

    async def _check_owner(self, name: str, value: bytes, key: str) -> None:
        try:
            found = await self._store.read(name)
        except errors.PlatformError as error:
            raise errors.NotRun(
                'the claim of the idempotency key could not be read',
                step='claim',
                peer='object API',
            ) from error
        if found.value != value:
            raise errors.OutcomeUnknown(
                f'idempotency key {key!r} was used before; that request may '
                'have run',
                step='claim',
            )
