"""Object store client that calls through peers if direct calls fail."""

import abc
import collections.abc
import logging
import time
import typing

import anyio

from swiftjunction.coordination import _outages
from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

# For this long after a direct call failed, calls go only through peers, unless
# no peer reaches the store.
DIRECT_RETRY_SECONDS = 1.5
MAX_RELAYS_TRIED = 2
MAX_RELAYED_WATCH_SECONDS = 4.0

Result = typing.TypeVar('Result')
Operation = collections.abc.Callable[
    [objectstore.ObjectStore], collections.abc.Awaitable[Result]
]


class _CallingStore(objectstore.ObjectStore):
    """Object store client whose calls, but for watches, take one path."""

    __slots__ = ()

    @abc.abstractmethod
    async def _call(self, operation: Operation[Result]) -> Result:
        """Carry out an operation on a client of the store."""

    async def read(self, key: str) -> objectstore.Object:
        return await self._call(lambda store: store.read(key))

    async def list(self, prefix: str) -> objectstore.ChangeSet:
        return await self._call(lambda store: store.list(prefix))

    async def create(self, key: str, value: bytes) -> int:
        return await self._call(lambda store: store.create(key, value))

    async def update(self, key: str, value: bytes, version: int) -> int:
        return await self._call(
            lambda store: store.update(key, value, version)
        )

    async def delete(self, key: str, version: int) -> None:
        await self._call(lambda store: store.delete(key, version))


class FailoverStore(_CallingStore):
    """Calls the object store directly, or through a peer if that fails.

    A write whose response was lost is not repeated through a relay: the writer
    reads the object to find out whether the write took effect.

    Parameters
    ----------
    direct : ObjectStore
        Client that calls the object store directly.
    list_relays : callable
        Returns clients that call the object store through a peer, in the
        order in which to try them.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    direct : ObjectStore
        Calls the store directly only, on behalf of peers. What becomes of its
        calls, but for watches, shows too whether the store is reachable.
    """

    __slots__ = (
        '_clock',
        '_direct',
        '_direct_retry_at',
        '_direct_watches',
        '_list_relays',
        '_relayed_watches',
        'direct',
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
        self._direct_retry_at = 0.0
        # Cancelled when another direct call fails.
        self._direct_watches: set[anyio.CancelScope] = set()
        # Cancelled when another call through a peer fails.
        self._relayed_watches: set[anyio.CancelScope] = set()
        self.direct: objectstore.ObjectStore = _DirectStore(
            direct, self._call_directly
        )

    def reaches_directly(self) -> bool:
        """Return whether the store counts as directly reachable.

        It does until a direct call fails, and again once one reaches the
        store. The failure of a watch that began while the store counted as
        reachable is left out.
        """
        return not self._direct_retry_at

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        # A direct watch may be interrupted although the store is reachable, so
        # its failure does not mark the direct path as failed. The watcher
        # lists the objects next, and that call shows whether the direct path
        # has failed.
        if await self._check_direct_path():
            return await _watch_until_cancelled(
                self._direct_watches,
                lambda: self._direct.watch(prefix, revision, wait_seconds),
            )
        # Short, so that the direct path is soon tried again.
        relayed_seconds = min(wait_seconds, MAX_RELAYED_WATCH_SECONDS)
        return await _watch_until_cancelled(
            self._relayed_watches,
            lambda: self._call(
                lambda store: store.watch(prefix, revision, relayed_seconds)
            ),
        )

    async def _check_direct_path(self) -> bool:
        """Return whether to watch directly, probing the store if needed.

        The probe is a read, as a pending watch does not show whether the
        store is reachable.
        """
        if self.reaches_directly():
            return True
        if self._clock() < self._direct_retry_at:
            return False
        try:
            await self._call_directly(
                lambda store: store.read(_outages.PROBE_KEY)
            )
        except errors.ObjectMissing:
            return True
        except errors.PlatformError as error:
            LOG.debug('object store is still unreachable directly: %s', error)
        return self.reaches_directly()

    async def _call(self, operation: Operation[Result]) -> Result:
        failure: errors.PlatformUnavailable | None = None
        if self._clock() >= self._direct_retry_at:
            try:
                return await self._call_directly(operation)
            except errors.PlatformUnavailable as error:
                failure = error
        for relay in self._list_relays()[:MAX_RELAYS_TRIED]:
            try:
                return await operation(relay)
            except errors.PlatformUnavailable as error:
                failure = error
                _cancel_all(self._relayed_watches)
            except errors.WriteUncertain:
                _cancel_all(self._relayed_watches)
                raise
        if failure is not None:
            try:
                raise failure
            finally:
                # Its traceback refers to this frame, which has what is stored.
                del failure
        # The direct path failed recently, but no peer can relay the call.
        return await self._call_directly(operation)

    async def _call_directly(self, operation: Operation[Result]) -> Result:
        try:
            result = await operation(self._direct)
        except (errors.PlatformUnavailable, errors.WriteUncertain) as error:
            self._record_failure(error)
            raise
        except errors.PlatformError:
            self._record_success()
            raise
        self._record_success()
        return result

    def _record_failure(self, error: errors.PlatformError) -> None:
        if self.reaches_directly():
            LOG.warning('object store is unreachable directly: %s', error)
        self._direct_retry_at = self._clock() + DIRECT_RETRY_SECONDS
        _cancel_all(self._direct_watches)

    def _record_success(self) -> None:
        if not self.reaches_directly():
            LOG.info('object store is reachable directly again')
        self._direct_retry_at = 0.0


class _DirectStore(_CallingStore):
    """Calls the object store directly, and has the outcomes recorded.

    Parameters
    ----------
    direct : ObjectStore
        Client that calls the object store directly.
    call : callable
        Carries out an operation on that client, and records its outcome.
    """

    __slots__ = ('_call_and_record', '_direct')

    def __init__(
        self,
        direct: objectstore.ObjectStore,
        call: collections.abc.Callable[
            [Operation[typing.Any]], collections.abc.Awaitable[typing.Any]
        ],
    ) -> None:
        self._direct = direct
        self._call_and_record = call

    async def _call(self, operation: Operation[Result]) -> Result:
        return await self._call_and_record(operation)

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        return await self._direct.watch(prefix, revision, wait_seconds)


async def _watch_until_cancelled(
    scopes: set[anyio.CancelScope],
    watch: collections.abc.Callable[
        [], collections.abc.Awaitable[objectstore.ChangeSet]
    ],
) -> objectstore.ChangeSet:
    """Watch until another call shows that the path to the store has failed.

    While nothing changes, a watch receives nothing, so it cannot itself
    distinguish a dead connection from a quiet one.

    Parameters
    ----------
    scopes : set of CancelScope
        Holds the scope of the watch while it is pending.
    """
    with anyio.CancelScope() as scope:
        scopes.add(scope)
        try:
            return await watch()
        finally:
            scopes.discard(scope)
    raise errors.PlatformUnavailable(
        'the object store is unreachable', step='watch'
    )


def _cancel_all(scopes: set[anyio.CancelScope]) -> None:
    for scope in scopes:
        scope.cancel()
