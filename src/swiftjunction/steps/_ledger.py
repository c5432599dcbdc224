"""The ledger of a step: which sample has which sequence number, for good.

The ledger's head is one object of the platform, and every change replaces it
on the condition of the version that its writer last saw. Two processes that
both think that they own a step collide there, and the platform takes the
change of one. No clock takes part in this, so an owner that was paused is
stopped as surely as one that was cut off; and as the version of an object
never goes down, it is also stopped after the step has ended.
"""

import logging
import uuid

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.steps import _head
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

LEDGER_PREFIX = 'steps/'
WRITE_RETRY_SECONDS = 0.25
# Attempts of a write that a trainer waits for; others go on for ever.
MAX_WAITED_ATTEMPTS = 8
# Of a step's specification in one object; the platform takes a megabyte.
MAX_PART_BYTES = 900_000
# Sequence numbers that move from the head into an object of their own, so
# that the head stays small however long the step is.
SEALED_SAMPLES = 1024


class Ledger:
    """The ledger of one step, as its owner extends it.

    Parameters
    ----------
    store : ObjectStore
        Where it lives.
    step_id : str
        The step.
    owner : str
        This process.

    Attributes
    ----------
    calls : int
        Calls of the platform so far.
    """

    __slots__ = (
        '_head',
        '_owner',
        '_store',
        '_version',
        '_writer',
        'calls',
        'step_id',
    )

    def __init__(
        self, store: objectstore.ObjectStore, step_id: str, owner: str
    ) -> None:
        self._store = store
        self._owner = owner
        self._writer = uuid.uuid4().hex
        self._head = _head.Head(owner, self._writer)
        self._version = 0
        self.calls = 0
        self.step_id = step_id

    async def open(
        self, spec: _step.StepSpec, expires_at: float = 0.0
    ) -> None:
        """Begin the ledger with this process as owner.

        Raises
        ------
        RevisionConflict
            If the step was opened before.
        PlatformError
            If the platform does not answer; opening again is safe.
        """
        data = msgspec.json.encode(spec)
        parts: list[str] = []
        for start in range(0, len(data), MAX_PART_BYTES):
            key = f'{self._prefix()}spec-{self._writer}-{len(parts)}'
            await self._create(key, data[start : start + MAX_PART_BYTES])
            parts.append(key)
        head = _head.Head(
            self._owner, self._writer, expires_at=expires_at, parts=parts
        )
        try:
            self._version = await self._create(
                self._key(), msgspec.json.encode(head)
            )
        except errors.RevisionConflict:
            await self._delete(parts)
            raise
        self._head = head

    async def append(self, indices: list[int], acknowledged: int) -> None:
        """Give `indices` the next sequence numbers.

        Returns only when they have them, however long the platform is down.

        Raises
        ------
        LeaseLost
            If another process owns the step by now.
        """
        await self._seal()
        await self._replace(
            msgspec.structs.replace(
                self._head,
                tail=[*self._head.tail, *indices],
                acknowledged=acknowledged,
            )
        )

    async def close(self, acknowledged: int, missing: int = 0) -> None:
        """End the step.

        What is left of it is a mark, so that a submission that is repeated
        late does not open it again.

        Raises
        ------
        LeaseLost
            If another process owns the step by now.
        """
        await self._replace(
            _head.Head(
                self._owner,
                self._writer,
                ended=True,
                acknowledged=acknowledged,
                missing=missing,
            )
        )

    async def take_over(self) -> _step.Step:
        """Become the owner and rebuild the step.

        Raises
        ------
        ObjectMissing
            If there is no such step.
        StepEnded, StepIncomplete
            If it has ended.
        PlatformError
            If the platform does not answer; taking over again is safe.
        """
        for _ in range(MAX_WAITED_ATTEMPTS):
            step = await self.read()
            head = msgspec.structs.replace(
                self._head, owner=self._owner, writer=self._writer, serial=0
            )
            try:
                await self._replace(head, MAX_WAITED_ATTEMPTS)
            except errors.LeaseLost:
                await anyio.sleep(WRITE_RETRY_SECONDS)
                continue
            return step
        raise errors.PlatformUnavailable(
            f'step {self.step_id} changes owners all the time',
            step='take over',
        )

    async def read(self) -> _step.Step:
        """Rebuild the step as the ledger has it.

        A head that the platform answers late or from an old copy does no
        harm: what is written next is on the condition of its version.
        """
        found = await self._read(self._key())
        head = _head.decode_running(found, self.step_id)
        data = b''.join([(await self._read(key)).value for key in head.parts])
        step = _step.Step(msgspec.json.decode(data, type=_step.StepSpec))
        step.expires_at = head.expires_at
        for number in range(head.sealed):
            sealed = await self._read(self._sealed_key(number))
            for index in msgspec.json.decode(sealed.value, type=list[int]):
                step.commit(index)
        for index in head.tail:
            step.commit(index)
        step.acknowledged = head.acknowledged
        self._head = head
        self._version = found.version
        return step

    async def read_owner(self) -> str:
        """Return who owns the step.

        Raises
        ------
        StepEnded, StepIncomplete, ObjectMissing
            As :meth:`take_over`.
        """
        found = await self._read(self._key())
        return _head.decode_running(found, self.step_id).owner

    async def check_ownership(self) -> None:
        """Raise ``LeaseLost`` if another process owns the step by now."""
        found = await self._read(self._key())
        if _head.decode_running(found, self.step_id).writer != self._writer:
            raise self._lost()

    async def erase(self) -> None:
        """Delete what an ended step had beside its head."""
        try:
            self.calls += 1
            found = await self._store.list(self._prefix())
        except errors.PlatformError as error:
            LOG.info('ledger of %s left behind: %s', self.step_id, error)
            return
        keys = {item.key for item in found.changed}
        await self._delete(sorted(keys - {self._key()}))

    def _prefix(self) -> str:
        return f'{LEDGER_PREFIX}{self.step_id}/'

    def _key(self) -> str:
        return f'{self._prefix()}head'

    def _sealed_key(self, number: int) -> str:
        return f'{self._prefix()}order-{number:06d}'

    async def _seal(self) -> None:
        """Move full runs of the tail into objects of their own.

        Only what the head holds already is moved. Whoever seals a run makes
        the same object then, and one that is there already is right.
        """
        head = self._head
        while len(head.tail) >= SEALED_SAMPLES:
            try:
                await self._create(
                    self._sealed_key(head.sealed),
                    msgspec.json.encode(head.tail[:SEALED_SAMPLES]),
                    max_attempts=0,
                )
            except errors.RevisionConflict:
                LOG.debug('run %s was sealed before', head.sealed)
            head = msgspec.structs.replace(
                head,
                sealed=head.sealed + 1,
                tail=head.tail[SEALED_SAMPLES:],
            )
        self._head = head

    async def _replace(self, head: _head.Head, max_attempts: int = 0) -> None:
        """Make `head` the head if this process still owns the step."""
        serial = self._head.serial + 1
        head = msgspec.structs.replace(head, serial=serial)
        value = msgspec.json.encode(head)
        attempts = 0
        while True:
            attempts += 1
            try:
                self.calls += 1
                self._version = await self._store.update(
                    self._key(), value, self._version
                )
                break
            except errors.ObjectMissing as error:
                raise self._lost() from error
            except errors.RevisionConflict:
                if await self._adopt(value, head.ended):
                    break
            except (errors.PlatformUnavailable, errors.WriteUncertain):
                # Sending it again is safe: of all that are on the condition
                # of one version, one takes effect.
                if attempts == max_attempts:
                    raise
            await anyio.sleep(WRITE_RETRY_SECONDS)
        self._head = head

    async def _adopt(self, value: bytes, closing: bool) -> bool:
        """Find out who replaced the head; tell whether it is `value`.

        Raises
        ------
        LeaseLost
            If it was another process.
        """
        try:
            found = await self._read(self._key())
        except errors.PlatformUnavailable:
            return False
        if found.value == value:
            self._version = found.version
            return True
        if found.version <= self._version:
            # Read from an old copy.
            return False
        head = objectstore.decode_value(found, _head.Head)
        if head.writer != self._writer or head.ended or not closing:
            raise self._lost()
        # A change of this run whose call was cancelled and took effect: the
        # step may still be closed, while going on would lose that change.
        self._version = found.version
        return False

    def _lost(self) -> errors.LeaseLost:
        return errors.LeaseLost(
            f'step {self.step_id} has another owner', step='ledger'
        )

    async def _create(
        self, key: str, value: bytes, max_attempts: int = MAX_WAITED_ATTEMPTS
    ) -> int:
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._create_once(key, value)
            except (errors.PlatformUnavailable, errors.WriteUncertain):
                if attempts == max_attempts:
                    raise
            await anyio.sleep(WRITE_RETRY_SECONDS)

    async def _create_once(self, key: str, value: bytes) -> int:
        try:
            self.calls += 1
            return await self._store.create(key, value)
        except errors.RevisionConflict as error:
            try:
                found = await self._read(key)
            except errors.ObjectMissing:
                raise error from None
            if found.value != value:
                raise
            return found.version

    async def _read(self, key: str) -> objectstore.Object:
        self.calls += 1
        return await self._store.read(key)

    async def _delete(self, keys: list[str]) -> None:
        for key in keys:
            try:
                found = await self._read(key)
                self.calls += 1
                await self._store.delete(key, found.version)
            except errors.PlatformError as error:
                LOG.info('%s left behind: %s', key, error)
