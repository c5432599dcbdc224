"""The object store by the direct way, or through a peer that reaches it."""

import collections.abc
import logging
import time
import typing

import anyio

from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

# After a failure of the direct way, peers are asked first for so long.
AVOID_DIRECT_SECONDS = 1.5
MAX_RELAYS_TRIED = 2
RELAYED_WATCH_SECONDS = 4.0
# An object that is not there: whether the store says so is what counts.
PROBE_KEY = 'members/-'

Result = typing.TypeVar('Result')
Ask = collections.abc.Callable[
    [objectstore.ObjectStore], collections.abc.Awaitable[Result]
]


class RelayingStore(objectstore.ObjectStore):
    """Calls the object store, through a peer where it is not reached.

    A write whose answer was lost is not sent another way: whoever wrote it
    finds out by reading whether it was carried out.

    Parameters
    ----------
    direct : ObjectStore
        The store as this VM reaches it.
    list_relays : callable
        Returns the store as peers reach it, those first that are to be tried
        first.
    clock : callable
        Returns seconds of a monotonic clock.
    """

    __slots__ = (
        '_avoid_until',
        '_clock',
        '_direct',
        '_list_relays',
        '_watches',
    )

    def __init__(
        self,
        direct: objectstore.ObjectStore,
        list_relays: collections.abc.Callable[
            [], list[objectstore.ObjectStore]
        ],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._direct = direct
        self._list_relays = list_relays
        self._clock = clock
        self._avoid_until = 0.0
        # Watches that wait for an answer by the direct way.
        self._watches: set[anyio.CancelScope] = set()

    def reaches_directly(self) -> bool:
        """Tell whether the last call by the direct way went well."""
        return not self._avoid_until

    async def read(self, key: str) -> objectstore.Object:
        return await self._run(lambda store: store.read(key))

    async def list(self, prefix: str) -> objectstore.ChangeSet:
        return await self._run(lambda store: store.list(prefix))

    async def create(self, key: str, value: bytes) -> int:
        return await self._run(lambda store: store.create(key, value))

    async def update(self, key: str, value: bytes, version: int) -> int:
        return await self._run(lambda store: store.update(key, value, version))

    async def delete(self, key: str, version: int) -> None:
        await self._run(lambda store: store.delete(key, version))

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        # A watch may be cut off while the store is well. Whoever watched
        # lists next, and that shows whether the store is reached.
        if await self._may_watch_directly():
            return await self._watch_directly(prefix, revision, wait_seconds)
        # A short one, so that the direct way is soon tried again.
        relayed_seconds = min(wait_seconds, RELAYED_WATCH_SECONDS)
        return await self._run(
            lambda store: store.watch(prefix, revision, relayed_seconds)
        )

    async def _may_watch_directly(self) -> bool:
        """Tell whether to watch directly; after a failure, find out first.

        A watch that is silent tells nothing, while a read is answered or not.
        """
        if self.reaches_directly():
            return True
        if self._clock() < self._avoid_until:
            return False
        try:
            await self._run_directly(lambda store: store.read(PROBE_KEY))
        except errors.ObjectMissing:
            return True
        except errors.PlatformError as error:
            LOG.debug('the direct way is still lost: %s', error)
        return self.reaches_directly()

    async def _watch_directly(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        """Watch, and give up when any other call shows the way to be lost."""
        with anyio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                return await self._direct.watch(prefix, revision, wait_seconds)
            finally:
                self._watches.discard(scope)
        raise errors.PlatformUnavailable(
            'the object store is not reached', step='watch'
        )

    async def _run(self, ask: Ask[Result]) -> Result:
        failure: errors.PlatformUnavailable | None = None
        if self._clock() >= self._avoid_until:
            try:
                return await self._run_directly(ask)
            except errors.PlatformUnavailable as error:
                failure = error
        for relay in self._list_relays()[:MAX_RELAYS_TRIED]:
            try:
                return await ask(relay)
            except errors.PlatformUnavailable as error:
                failure = error
        if failure is not None:
            raise failure
        return await self._run_directly(ask)

    async def _run_directly(self, ask: Ask[Result]) -> Result:
        try:
            result = await ask(self._direct)
        except (errors.PlatformUnavailable, errors.WriteUncertain) as error:
            self._note_failure(error)
            raise
        except errors.PlatformError:
            self._note_success()
            raise
        self._note_success()
        return result

    def _note_failure(self, error: errors.PlatformError) -> None:
        if self.reaches_directly():
            LOG.warning('object store lost: %s', error)
        self._avoid_until = self._clock() + AVOID_DIRECT_SECONDS
        for scope in self._watches:
            scope.cancel()

    def _note_success(self) -> None:
        if not self.reaches_directly():
            LOG.info('object store reached again')
        self._avoid_until = 0.0
