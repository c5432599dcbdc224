"""Claims on idempotency keys.

Of all requests with the same path and key, at most one runs in the whole
deployment. A claim is an object in the object store, created on the condition
that it does not exist yet. The process that creates it may run the request.
Once the request has a response, the claim stores it, and a repeated request
gets that response without a second run. If the request did not run, the claim
is deleted.
"""

import logging
import typing
import uuid

import anyio
import msgspec
import xxhash

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

CLAIM_PREFIX = 'claims/'
MAX_CREATE_ATTEMPTS = 4
CREATE_RETRY_DELAY_SECONDS = 0.1
# Responses are stored on a best-effort basis: without one, a repeated request
# fails with OutcomeUnknown, which is correct.
STORE_RESPONSE_TIMEOUT_SECONDS = 1.0
MAX_STORED_RESPONSE_BYTES = 64 * 1024


class _ClaimRecord(msgspec.Struct):
    owner: str
    nonce: str
    state: typing.Literal['running', 'answered'] = 'running'
    response: backends.ServiceResponse | None = msgspec.field(
        name='answer', default=None
    )


class IdempotencyClaim:
    """A claim on one idempotency key.

    Attributes
    ----------
    response : ServiceResponse or None
        The response of an earlier run; None if this request is to be run.
    """

    __slots__ = ('_name', '_record', '_store', '_version', 'response')

    def __init__(
        self,
        store: objectstore.ObjectStore,
        name: str,
        record: _ClaimRecord,
        version: int,
    ) -> None:
        self._store = store
        self._name = name
        self._record = record
        self._version = version
        self.response = record.response

    async def store_response(self, response: backends.ServiceResponse) -> None:
        """Store the response for repeated requests, on a best-effort basis."""
        if len(response.body) > MAX_STORED_RESPONSE_BYTES:
            return
        completed = msgspec.structs.replace(
            self._record, state='answered', response=response
        )
        with anyio.move_on_after(STORE_RESPONSE_TIMEOUT_SECONDS):
            try:
                await self._store.update(
                    self._name, msgspec.json.encode(completed), self._version
                )
            except errors.PlatformError as error:
                LOG.info(
                    'response not stored with its idempotency claim: %s', error
                )

    async def release(self) -> None:
        """Delete the claim of a request that did not run."""
        try:
            await self._store.delete(self._name, self._version)
        except errors.PlatformError as error:
            LOG.info('idempotency claim not released: %s', error)


class ClaimStore:
    """Claims idempotency keys by conditional creation of objects.

    Parameters
    ----------
    store : ObjectStore
        Where the claims are stored.
    owner : str
        Name of this process.
    """

    __slots__ = ('_owner', '_store')

    def __init__(self, store: objectstore.ObjectStore, owner: str) -> None:
        self._store = store
        self._owner = owner

    async def claim(self, path: str, key: str) -> IdempotencyClaim:
        """Claim `key`, or return the claim with the earlier response.

        Raises
        ------
        NotRun
            If the key could not be claimed; this request did not run.
        OutcomeUnknown
            If the key was claimed before and has no response: that request
            may have run or may still be running.
        """
        digest = xxhash.xxh3_128_hexdigest(f'{path}\0{key}'.encode())
        name = f'{CLAIM_PREFIX}{digest}'
        record = _ClaimRecord(self._owner, uuid.uuid4().hex)
        value = msgspec.json.encode(record)
        may_exist = False
        for _ in range(MAX_CREATE_ATTEMPTS):
            try:
                version = await self._store.create(name, value)
                return IdempotencyClaim(self._store, name, record, version)
            except errors.WriteUncertain:
                # The creation is conditional, so repeating it either creates
                # the claim or finds the one that was created before.
                may_exist = True
            except errors.RevisionConflict:
                return await self._read(name, record, key)
            except errors.PlatformUnavailable:
                pass
            await anyio.sleep(CREATE_RETRY_DELAY_SECONDS)
        # If the store created the claim but its reply was lost, the key stays
        # blocked, although no request has run.
        hint = ', and a claim may be left behind' if may_exist else ''
        raise errors.NotRun(
            f'the idempotency key could not be claimed{hint}',
            step='claim',
            peer='object API',
        )

    async def _read(
        self, name: str, record: _ClaimRecord, key: str
    ) -> IdempotencyClaim:
        try:
            found = await self._store.read(name)
            existing = objectstore.decode_value(found, _ClaimRecord)
        except errors.PlatformError as error:
            raise errors.OutcomeUnknown(
                f'idempotency key {key!r} was used before, and the outcome of '
                'that request cannot be read now',
                step='claim',
                peer='object API',
            ) from error
        if existing.nonce != record.nonce and existing.response is None:
            raise errors.OutcomeUnknown(
                f'idempotency key {key!r} was used before; that request may '
                'have run or may still be running',
                step='claim',
            )
        return IdempotencyClaim(self._store, name, existing, found.version)
