"""The state that daemons share: one versioned record for each key."""

import array
import collections.abc
import logging
import time

import msgspec
import xxhash

from swiftjunction import links

LOG = logging.getLogger(__name__)

Listener = collections.abc.Callable[[links.Record], None]
Mark = tuple[int, int]

BUCKETS = 256
# A bucket that changed a moment ago is not compared: what changed is still
# on its way, and would be repaired although nothing was lost.
QUIET_SECONDS = 1.0


def find_bucket(key: str) -> int:
    """Return the bucket of `key`, the same on every daemon."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _mark(record: links.Record) -> Mark:
    """Return the version and a hash that tells equal versions apart."""
    head = f'{record.key}\0{record.version}\0'.encode()
    return record.version, xxhash.xxh32_intdigest(head + record.value)


class RecordTable:
    """Keeps the newest record of each key and tells listeners of changes.

    A record never goes back: one with a lower version, whether from a stale
    read, a late relay or a restarted daemon, is not applied. Two writers that
    reach the same version, as both halves of a cut may, are told apart by
    the value itself, so that every daemon settles on the same one.

    Parameters
    ----------
    clock : callable
        Returns seconds of a monotonic clock.
    """

    __slots__ = (
        '_changed_at',
        '_clock',
        '_hashes',
        '_keys',
        '_listeners',
        '_marks',
        '_records',
    )

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self._records: dict[str, links.Record] = {}
        self._marks: dict[str, Mark] = {}
        self._listeners: list[tuple[str, Listener]] = []
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._hashes = array.array('I', [0]) * BUCKETS
        self._changed_at = [-QUIET_SECONDS] * BUCKETS

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

    def hash_buckets(self) -> bytes:
        """Return a hash of each bucket, zero for one that is not quiet."""
        limit = self._clock() - QUIET_SECONDS
        return array.array(
            'I',
            (
                # An empty bucket is not zero, so that it is compared too.
                (known or 1) if changed_at <= limit else 0
                for known, changed_at in zip(
                    self._hashes, self._changed_at, strict=True
                )
            ),
        ).tobytes()

    def find_differing_buckets(self, hashes: bytes) -> list[int]:
        """Return the buckets that are quiet and unlike on both sides."""
        if len(hashes) != BUCKETS * array.array('I').itemsize:
            # Another release counts its buckets otherwise.
            return []
        theirs = array.array('I')
        theirs.frombytes(hashes)
        ours = array.array('I')
        ours.frombytes(self.hash_buckets())
        return [
            bucket
            for bucket, (own, other) in enumerate(
                zip(ours, theirs, strict=False)
            )
            if own and other and own != other
        ]

    def list_marks(self, buckets: list[int]) -> dict[str, Mark]:
        """Return version and hash of the records in `buckets`."""
        return {
            key: self._marks[key]
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for key in self._keys[bucket]
        }

    def select_newer(
        self, marks: collections.abc.Mapping[str, Mark], buckets: list[int]
    ) -> list[links.Record]:
        """Return the records in `buckets` that a holder of `marks` lacks.

        A record of the same version and another value counts, as only the
        receiver can tell which of the two stays.
        """
        return [
            self._records[key]
            for key, mark in self.list_marks(buckets).items()
            if mark[0] > marks.get(key, (0, 0))[0]
            or (mark[0] == marks[key][0] and mark[1] != marks[key][1])
        ]

    def is_behind(self, marks: collections.abc.Mapping[str, Mark]) -> bool:
        """Tell whether a holder of `marks` may have something newer."""
        return any(
            mark != own and mark[0] >= own[0]
            for key, mark in marks.items()
            if (own := self._marks.get(key, (0, 0))) is not None
        )

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
        self._mark_change(record)
        for prefix, listener in self._listeners:
            if record.key.startswith(prefix):
                _tell(listener, record)
        return True

    def _mark_change(self, record: links.Record) -> None:
        bucket = find_bucket(record.key)
        old = self._marks.get(record.key, (0, 0))
        mark = _mark(record)
        self._marks[record.key] = mark
        self._keys[bucket].add(record.key)
        self._hashes[bucket] ^= old[1] ^ mark[1]
        self._changed_at[bucket] = self._clock()


def _tell(listener: Listener, record: links.Record) -> None:
    # A record that cannot be understood, from a later release or a broken
    # peer, costs its own fact and never the daemon. It is kept and passed
    # on, as others may understand it.
    try:
        listener(record)
    except (msgspec.MsgspecError, ValueError) as error:
        LOG.error('record %s not understood: %s', record.key, error)
