"""Follows all objects under a prefix: a list, then watch after watch."""

import abc
import collections.abc
import logging

import anyio

from swiftjunction import errors
from swiftjunction.objectstore import _objects

LOG = logging.getLogger(__name__)

# A watch costs a call when it ends, so that long ones are cheap; a silent
# connection is found by its keep-alive probes, not by the end of a watch.
WATCH_SECONDS = 29.0
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0


class Listener(abc.ABC):
    """Learns of the objects under a prefix."""

    @abc.abstractmethod
    def replace(self, objects: list[_objects.Object]) -> None:
        """Learn all that there are."""

    @abc.abstractmethod
    def change(self, found: _objects.Object) -> None:
        """Learn of one that is new or has changed."""

    @abc.abstractmethod
    def remove(self, key: str) -> None:
        """Learn that one was deleted."""

    def mark_current(self, revision: int) -> None:
        """Learn that all changes up to `revision` have been told."""

    def mark_stale(self) -> None:
        """Learn that changes may be missed until the next list."""


class CallbackListener(Listener):
    """Hands each object to one function, and deletions to another.

    Parameters
    ----------
    on_change : callable
        Given an object that is new, has changed, or was listed.
    on_remove : callable, optional
        Given the key of an object that is gone.
    """

    def __init__(
        self,
        on_change: collections.abc.Callable[[_objects.Object], None],
        on_remove: collections.abc.Callable[[str], None] | None = None,
    ) -> None:
        self._on_change = on_change
        self._on_remove = on_remove
        self._keys: set[str] = set()

    def replace(self, objects: list[_objects.Object]) -> None:
        listed = {found.key for found in objects}
        for key in self._keys - listed:
            self.remove(key)
        for found in objects:
            self.change(found)

    def change(self, found: _objects.Object) -> None:
        self._keys.add(found.key)
        self._on_change(found)

    def remove(self, key: str) -> None:
        self._keys.discard(key)
        if self._on_remove is not None:
            self._on_remove(key)


async def follow(
    store: _objects.ObjectStore,
    prefix: str,
    listener: Listener,
    coalesce_seconds: float = 0.0,
) -> None:
    """Tell `listener` of all objects under `prefix` until cancelled.

    Parameters
    ----------
    coalesce_seconds : float
        How long to wait after a change before the next watch begins, so that
        changes that come in a row are fetched by one call.
    """
    revision = -1
    retry_seconds = 0.0
    while True:
        try:
            listed = revision < 0
            if listed:
                found = await store.list(prefix)
                listener.replace(found.changed)
            else:
                found = await store.watch(prefix, revision, WATCH_SECONDS)
                _tell(listener, found)
            if retry_seconds:
                LOG.info('follows again', extra={'prefix': prefix})
            retry_seconds = 0.0
            revision = max(revision, found.revision)
            if found.changed or found.deleted or listed:
                listener.mark_current(revision)
            if found.changed or found.deleted:
                await anyio.sleep(coalesce_seconds)
        except errors.HistoryLost as error:
            LOG.info('lists anew: %s', error, extra={'prefix': prefix})
            revision = -1
        except errors.PlatformError as error:
            # While the watch was cut off, the history may have been dropped,
            # and a watch from before it need not be told.
            revision = -1
            listener.mark_stale()
            if not retry_seconds:
                LOG.warning('lost: %s', error, extra={'prefix': prefix})
            retry_seconds = min(
                max(2 * retry_seconds, FIRST_RETRY_SECONDS), MAX_RETRY_SECONDS
            )
            await anyio.sleep(retry_seconds)


def _tell(listener: Listener, found: _objects.ChangeSet) -> None:
    for changed in found.changed:
        listener.change(changed)
    for key in found.deleted:
        listener.remove(key)
