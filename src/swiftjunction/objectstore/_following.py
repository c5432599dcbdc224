"""Follows all objects under a prefix by one list and successive watches."""

import abc
import collections.abc
import logging
import time

import anyio

from swiftjunction import errors
from swiftjunction.objectstore import _objects

LOG = logging.getLogger(__name__)

# Each watch costs one call, so long watches are cheap. Dead connections are
# detected by keep-alive probes and not by the end of a watch.
WATCH_SECONDS = 29.0
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0


class Listener(abc.ABC):
    """Receives the objects under a prefix and their changes."""

    @abc.abstractmethod
    def replace(self, objects: list[_objects.Object]) -> None:
        """Replace all objects with the result of a list."""

    @abc.abstractmethod
    def change(self, found: _objects.Object) -> None:
        """Add or update an object."""

    @abc.abstractmethod
    def remove(self, key: str) -> None:
        """Remove a deleted object."""

    def mark_current(self, revision: int) -> None:
        """Note that all changes up to `revision` have been delivered.

        Called after each list, and after each watch that returned changes.
        """

    def mark_stale(self) -> None:
        """Note that changes may be missing until the next list."""

    def note_request(self) -> None:
        """Note that the store is about to be asked, by a list or a watch."""

    def confirm(self, asked_at: float) -> None:
        """Note that all changes before `asked_at` have been delivered.

        Called after each list and watch, with the time just before the
        request, on the clock that `follow` was given.
        """


class CallbackListener(Listener):
    """Calls one function for each object and another for each deletion.

    The unexpected error of a call is logged with the key. It concerns that
    object alone: the others are applied, and what follows the list goes on.
    Each confirmation tries the call again first, without a line in the log,
    and is withheld while it fails: a change that is not applied must not count
    as delivered.

    Parameters
    ----------
    on_change : callable
        Called with each object that was listed, added or changed.
    on_remove : callable, optional
        Called with the key of each object that was removed.
    on_confirm : callable, optional
        Called with each time before which all changes have been delivered.
    """

    def __init__(
        self,
        on_change: collections.abc.Callable[[_objects.Object], None],
        on_remove: collections.abc.Callable[[str], None] | None = None,
        on_confirm: collections.abc.Callable[[float], None] | None = None,
    ) -> None:
        self._on_change = on_change
        self._on_remove = on_remove
        self._on_confirm = on_confirm
        self._keys: set[str] = set()
        # What could not be applied, by key; None for a removal.
        self._failed: dict[str, _objects.Object | None] = {}

    def replace(self, objects: list[_objects.Object]) -> None:
        listed = {found.key for found in objects}
        for key in self._keys - listed:
            self.remove(key)
        for found in objects:
            self.change(found)

    def change(self, found: _objects.Object) -> None:
        self._keys.add(found.key)
        self._apply(found.key, found)

    def remove(self, key: str) -> None:
        self._keys.discard(key)
        self._apply(key, None)

    def confirm(self, asked_at: float) -> None:
        if self._on_confirm is None:
            return
        for key, found in list(self._failed.items()):
            self._apply(key, found, is_retry=True)
        if not self._failed:
            self._on_confirm(asked_at)

    def _apply(
        self, key: str, found: _objects.Object | None, is_retry: bool = False
    ) -> None:
        """Call the function for a change, or for a removal if it is None."""
        try:
            if found is not None:
                self._on_change(found)
            elif self._on_remove is not None:
                self._on_remove(key)
            self._failed.pop(key, None)
        except MemoryError:
            raise
        except Exception:
            self._failed[key] = found
            if not is_retry:
                LOG.exception(
                    'cannot apply a change of an object', extra={'object': key}
                )


async def follow(
    store: _objects.ObjectStore,
    prefix: str,
    listener: Listener,
    coalesce_seconds: float = 0.0,
    watch_seconds: float = WATCH_SECONDS,
    clock: collections.abc.Callable[[], float] = time.monotonic,
) -> None:
    """Notify `listener` of the objects under `prefix` until cancelled.

    Parameters
    ----------
    coalesce_seconds : float
        Pause after a change before the next watch, so that one call returns
        several successive changes.
    watch_seconds : float
        Longest wait of a watch. A shorter one confirms more often that no
        change is missing.
    clock : callable
        Returns the time in seconds with which changes are confirmed.
    """
    revision = -1
    retry_seconds = 0.0
    while True:
        try:
            listed = revision < 0
            listener.note_request()
            asked_at = clock()
            if listed:
                found = await store.list(prefix)
                listener.replace(found.changed)
            else:
                found = await store.watch(prefix, revision, watch_seconds)
                _notify(listener, found)
            if retry_seconds:
                LOG.info(
                    'list or watch of the prefix succeeded again',
                    extra={'prefix': prefix},
                )
            retry_seconds = 0.0
            revision = max(revision, found.revision)
            if found.changed or found.deleted or listed:
                listener.mark_current(revision)
            listener.confirm(asked_at)
            if found.changed or found.deleted:
                await anyio.sleep(coalesce_seconds)
        except errors.HistoryLost as error:
            LOG.info(
                'history of changes lost; listing the prefix: %s',
                error,
                extra={'prefix': prefix},
            )
            revision = -1
            listener.mark_stale()
        except errors.PlatformError as error:
            # The store may drop its history while the watch is interrupted,
            # and a watch from an older revision might not report that.
            revision = -1
            listener.mark_stale()
            if not retry_seconds:
                LOG.warning(
                    'list or watch failed; will list the prefix again: %s',
                    error,
                    extra={'prefix': prefix},
                )
            retry_seconds = min(
                max(2 * retry_seconds, INITIAL_RETRY_SECONDS),
                MAX_RETRY_SECONDS,
            )
            await anyio.sleep(retry_seconds)


def _notify(listener: Listener, found: _objects.ChangeSet) -> None:
    for changed in found.changed:
        listener.change(changed)
    for key in found.deleted:
        listener.remove(key)
