"""Claims of idempotency keys, so that a key runs at most once anywhere.

A claim is an object of the platform that is made on the condition that it
does not exist. Whoever makes it may run the request. When the request has its
answer, the claim keeps that answer, so that a repeat gets it without a second
run; when the request ended without having run, the claim is deleted.
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
CLAIM_ATTEMPTS = 4
CLAIM_RETRY_SECONDS = 0.1
# The answer is kept on a best effort: without it a repeat is told that the
# outcome is unknown, which is true.
KEEP_ANSWER_SECONDS = 1.0
MAX_KEPT_ANSWER_BYTES = 64 * 1024


class _ClaimState(msgspec.Struct):
    owner: str
    nonce: str
    state: typing.Literal['running', 'answered'] = 'running'
    answer: backends.ServiceResponse | None = None


class Claim:
    """One claimed key.

    Attributes
    ----------
    answer : ServiceResponse
        The answer of an earlier run; None where this claim is to be run.
    """

    __slots__ = ('_name', '_state', '_store', '_version', 'answer')

    def __init__(
        self,
        store: objectstore.ObjectStore,
        name: str,
        state: _ClaimState,
        version: int,
    ) -> None:
        self._store = store
        self._name = name
        self._state = state
        self._version = version
        self.answer = state.answer

    async def keep_answer(self, answer: backends.ServiceResponse) -> None:
        """Keep the answer for repeats, if the platform takes it in time."""
        if len(answer.body) > MAX_KEPT_ANSWER_BYTES:
            return
        kept = msgspec.structs.replace(
            self._state, state='answered', answer=answer
        )
        with anyio.move_on_after(KEEP_ANSWER_SECONDS):
            try:
                await self._store.update(
                    self._name, msgspec.json.encode(kept), self._version
                )
            except errors.PlatformError as error:
                LOG.info('answer not kept with its claim: %s', error)

    async def release(self) -> None:
        """Let the key be claimed again, as the request did not run."""
        try:
            await self._store.delete(self._name, self._version)
        except errors.PlatformError as error:
            LOG.info('claim not released: %s', error)


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

    def __init__(self, store: objectstore.ObjectStore, owner: str) -> None:
        self._store = store
        self._owner = owner

    async def claim(self, path: str, key: str) -> Claim:
        """Claim `key` for one run, or return the answer of its earlier run.

        Raises
        ------
        NotRun
            If it could not be claimed; this request did not run.
        OutcomeUnknown
            If the key was claimed before and has no answer: that run may
            have happened, or may be going on.
        """
        digest = xxhash.xxh3_128_hexdigest(f'{path}\0{key}'.encode())
        name = f'{CLAIM_PREFIX}{digest}'
        state = _ClaimState(self._owner, uuid.uuid4().hex)
        value = msgspec.json.encode(state)
        sent = False
        for _ in range(CLAIM_ATTEMPTS):
            try:
                version = await self._store.create(name, value)
                return Claim(self._store, name, state, version)
            except errors.WriteUncertain:
                # Creating is conditional on absence, so doing it again
                # either makes the claim or finds the one made before.
                sent = True
            except errors.RevisionConflict:
                return await self._read(name, state, key)
            except errors.PlatformUnavailable:
                pass
            await anyio.sleep(CLAIM_RETRY_SECONDS)
        # A claim that was sent may exist, and then keeps the key from being
        # used again; but no run was begun under it.
        hint = ', and a claim may be left behind' if sent else ''
        raise errors.NotRun(
            f'the idempotency key could not be claimed{hint}',
            step='claim',
            peer='object API',
        )

    async def _read(self, name: str, state: _ClaimState, key: str) -> Claim:
        try:
            found = await self._store.read(name)
            held = objectstore.decode_value(found, _ClaimState)
        except errors.PlatformError as error:
            raise errors.OutcomeUnknown(
                f'idempotency key {key!r} was used before, and how that '
                'ended cannot be read now',
                step='claim',
                peer='object API',
            ) from error
        if held.nonce != state.nonce and held.answer is None:
            raise errors.OutcomeUnknown(
                f'idempotency key {key!r} was used before; that request may '
                'have run or be running',
                step='claim',
            )
        return Claim(self._store, name, held, found.version)
