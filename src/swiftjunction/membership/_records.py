"""The state that daemons share: one versioned record for each key."""

import collections.abc
import logging

import msgspec

from swiftjunction import links

LOG = logging.getLogger(__name__)

Listener = collections.abc.Callable[[links.Record], None]


class RecordTable:
    """Keeps the newest record of each key and tells listeners of changes.

    A record never goes back: one with a lower version, whether from a stale
    read, a late relay or a restarted daemon, is not applied. Two writers that
    reach the same version, as both halves of a cut may, are told apart by
    the value itself, so that every daemon settles on the same one.
    """

    __slots__ = ('_listeners', '_records')

    def __init__(self) -> None:
        self._records: dict[str, links.Record] = {}
        self._listeners: list[tuple[str, Listener]] = []

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call `listener` for each record under `prefix`, old ones first."""
        self._listeners.append((prefix, listener))
        for record in list(self.select(prefix)):
            _tell(listener, record)

    def get(self, key: str) -> links.Record | None:
        """Return the record of `key`, if there is one."""
        return self._records.get(key)

    def select(self, prefix: str) -> collections.abc.Iterator[links.Record]:
        """Yield the records whose keys start with `prefix`."""
        for key, record in self._records.items():
            if key.startswith(prefix):
                yield record

    def apply(
        self, records: collections.abc.Iterable[links.Record]
    ) -> list[links.Record]:
        """Apply those that are newer and return them."""
        return [record for record in records if self._apply_one(record)]

    def put(self, key: str, value: bytes) -> links.Record:
        """Write `value` as the next version of `key`."""
        held = self._records.get(key)
        if held is not None and held.value == value:
            return held
        version = held.version + 1 if held is not None else 1
        record = links.Record(key, version, value)
        self._apply_one(record)
        return record

    def versions(self) -> dict[str, int]:
        """Return the version held of each key."""
        return {key: r.version for key, r in self._records.items()}

    def newer_than(
        self, versions: collections.abc.Mapping[str, int]
    ) -> list[links.Record]:
        """Return the records that a holder of `versions` lacks."""
        return [
            record
            for key, record in self._records.items()
            if record.version > versions.get(key, 0)
        ]

    def __len__(self) -> int:
        return len(self._records)

    def _apply_one(self, record: links.Record) -> bool:
        held = self._records.get(record.key)
        if held is not None and (record.version, record.value) <= (
            held.version,
            held.value,
        ):
            return False
        self._records[record.key] = record
        for prefix, listener in self._listeners:
            if record.key.startswith(prefix):
                _tell(listener, record)
        return True


def _tell(listener: Listener, record: links.Record) -> None:
    # A record that cannot be understood, from a later release or a broken
    # peer, costs its own fact and never the daemon. It is kept and passed
    # on, as others may understand it.
    try:
        listener(record)
    except (msgspec.MsgspecError, ValueError) as error:
        LOG.error('record %s not understood: %s', record.key, error)
