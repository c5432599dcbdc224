"""One VM's copy of the stored objects under a prefix."""

import collections.abc
import math

import anyio

from swiftjunction.coordination import _messages
from swiftjunction import leases
from swiftjunction import objectstore

# Largest number of deletions that each feed remembers.
MAX_DELETIONS = 1024


class SharedFeed(objectstore.Listener):
    """This VM's copy of the objects under one prefix, called a feed.

    Parameters
    ----------
    prefix : str
        The common prefix of the objects' keys.
    listener : Listener
        Notified of each change.
    boot_clock : callable
        Returns seconds; also counts the time for which the VM is suspended.

    Attributes
    ----------
    revision : int
        The revision of the store up to which the copy has all changes; -1
        before any objects have been received.
    is_watched : bool
        Whether this VM watches the prefix now, so that no change is missed.
    watched_at : float
        When this VM, or a peer that it copies from, last had a watch that had
        not failed; monotonic time in seconds.
    complete_at : float
        Up to when a response of the store shows that the copy has all changes;
        monotonic time in seconds.
    is_waiting : bool
        Whether a request of this VM for the objects is under way.
    requested_at : float
        Just before the last request for the objects; in seconds on
        `boot_clock`.
    answered_at : float
        Just before the last request that the store has answered; in seconds
        on `boot_clock`. The copy has all changes up to then.
    """

    __slots__ = (
        '_boot_clock',
        '_deletions',
        '_listener',
        '_min_since',
        '_newer_known',
        '_objects',
        'answered_at',
        'complete_at',
        'is_waiting',
        'is_watched',
        'prefix',
        'requested_at',
        'revision',
        'watched_at',
    )

    def __init__(
        self,
        prefix: str,
        listener: objectstore.Listener,
        boot_clock: collections.abc.Callable[
            [], float
        ] = leases.read_boot_clock,
    ) -> None:
        self._boot_clock = boot_clock
        self.is_waiting = False
        self.requested_at = -math.inf
        self.answered_at = -math.inf
        self.prefix = prefix
        self.revision = -1
        self.is_watched = False
        self.watched_at = -math.inf
        self.complete_at = -math.inf
        self._listener = listener
        self._newer_known = anyio.Event()
        self._objects: dict[str, objectstore.Object] = {}
        # The objects deleted since the last list, each with a revision by
        # which it was deleted; None until the next revision is known.
        self._deletions: dict[str, int | None] = {}
        # The oldest revision of a peer to which changes alone can be sent;
        # None until the revision of the last list is known.
        self._min_since: int | None = None

    def replace(self, objects: list[objectstore.Object]) -> None:
        self._objects = {
            found.key: self._choose_newer(found) for found in objects
        }
        self._deletions.clear()
        self._min_since = None
        self._listener.replace(list(self._objects.values()))

    def _choose_newer(self, found: objectstore.Object) -> objectstore.Object:
        """Return the newer one of a received object and the known one.

        A late response may show the objects as they were before a newer copy.
        """
        known = self._objects.get(found.key)
        if known is None or known.version <= found.version:
            return found
        return known

    def change(self, found: objectstore.Object) -> None:
        if self._choose_newer(found) is not found:
            return
        self._objects[found.key] = found
        self._deletions.pop(found.key, None)
        self._listener.change(found)

    def remove(self, key: str) -> None:
        known = self._objects.pop(key, None) is not None
        self._deletions[key] = None
        if known:
            self._listener.remove(key)

    def mark_current(self, revision: int) -> None:
        self._advance(revision)
        self.is_watched = True

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        if self._min_since is None:
            self._min_since = self.revision
        for key, deleted_by in self._deletions.items():
            if deleted_by is None:
                self._deletions[key] = self.revision
        if len(self._deletions) > MAX_DELETIONS:
            # Peers that have not received them get all objects instead.
            self._min_since = self.revision
            self._deletions.clear()

    def mark_stale(self) -> None:
        self.is_watched = False
        self.is_waiting = False

    def note_request(self) -> None:
        self.requested_at = self._boot_clock()
        self.is_waiting = True

    def confirm(self, asked_at: float) -> None:
        self.complete_at = max(self.complete_at, asked_at)
        self.answered_at = max(self.answered_at, self.requested_at)
        self.is_waiting = False

    def copy_since(self, since: int) -> _messages.FeedCopy:
        """Return what a peer needs that has all changes up to `since`.

        All objects are sent to a peer whose copy is older than the last list.
        A list may show changes that no watch has reported, also of objects
        with an older revision.
        """
        if self._min_since is None or since < self._min_since:
            return _messages.FeedCopy(
                self.revision, list(self._objects.values()), []
            )
        return _messages.FeedCopy(
            self.revision,
            [o for o in self._objects.values() if o.version > since],
            [
                key
                for key, deleted_by in self._deletions.items()
                if deleted_by is None or deleted_by > since
            ],
            since,
        )

    def find_difference(
        self, listed: objectstore.ChangeSet
    ) -> _messages.FeedCopy | None:
        """Return what a list shows that this copy lacks; None if nothing."""
        changed = [
            found
            for found in listed.changed
            if self._choose_newer(found) is found
            and self._objects.get(found.key) != found
        ]
        deleted = [*self._objects.keys() - {o.key for o in listed.changed}]
        if self.revision >= 0 and not changed and not deleted:
            return None
        return _messages.FeedCopy(
            listed.revision, changed, deleted, self.revision
        )

    def record_copy(
        self, revision: int, watched_at: float, complete_at: float
    ) -> None:
        """Record which copy of the objects a peer has.

        Parameters
        ----------
        revision : int
            The revision of that copy.
        watched_at, complete_at : float
            The same of that copy as the attributes of this one.
        """
        self.watched_at = max(self.watched_at, watched_at)
        if revision > self.revision:
            self._newer_known.set()
        else:
            self.complete_at = max(self.complete_at, complete_at)

    async def wait_for_newer(self) -> None:
        """Wait until a peer with a newer copy is recorded."""
        self._newer_known = anyio.Event()
        await self._newer_known.wait()

    def apply_if_newer(self, copy: _messages.FeedCopy) -> None:
        """Replace or change the objects by a peer's copy if it is newer."""
        if copy.revision <= self.revision:
            return
        if copy.since < 0:
            self.replace(copy.changed)
        else:
            for found in copy.changed:
                self.change(found)
            for key in copy.deleted:
                self.remove(key)
        self._advance(copy.revision)
