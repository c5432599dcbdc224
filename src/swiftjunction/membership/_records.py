"""The state that daemons share, as one versioned record for each key."""

import array
import collections.abc
import logging
import time

import xxhash

from swiftjunction import errors
from swiftjunction import links

LOG = logging.getLogger(__name__)

Listener = collections.abc.Callable[[links.Record], None]
# The version of a record and a hash that tells equal versions apart.
VersionMark = tuple[int, int]

BUCKET_COUNT = 256
# A bucket is compared only after it has been unchanged for this long. A more
# recent change may still be in transit, and would be sent again although
# nothing was lost.
BUCKET_STABLE_SECONDS = 1.0


def compute_bucket(key: str) -> int:
    """Return the number of the bucket of `key`, equal on all daemons."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKET_COUNT


def _make_mark(record: links.Record) -> VersionMark:
    """Return the mark of `record`."""
    prefix_bytes = f'{record.key}\0{record.version}\0'.encode()
    return record.version, xxhash.xxh32_intdigest(prefix_bytes + record.value)


class RecordTable:
    """Keeps the newest record of each key and tells listeners of changes.

    Versions never decrease: a record with a lower version, whether from a
    outdated read, a delayed relay or a restarted daemon, is not applied. Two
    writers may write the same version, for example on both sides of a network
    partition. All daemons then keep the value that sorts last as bytes.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    """

    __slots__ = (
        '_bucket_hashes',
        '_bucket_keys',
        '_changed_at',
        '_clock',
        '_listeners',
        '_marks',
        '_records',
    )

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self._records: dict[str, links.Record] = {}
        self._marks: dict[str, VersionMark] = {}
        self._listeners: list[tuple[str, Listener]] = []
        self._bucket_keys: list[set[str]] = [
            set() for _ in range(BUCKET_COUNT)
        ]
        self._bucket_hashes = array.array('I', [0]) * BUCKET_COUNT
        self._changed_at = [-BUCKET_STABLE_SECONDS] * BUCKET_COUNT

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call `listener` with each change of a record under `prefix`.

        It is called with the existing records first.
        """
        self._listeners.append((prefix, listener))
        for record in list(self.select(prefix)):
            _call_listener(listener, record)

    def get(self, key: str) -> links.Record | None:
        """Return the record of `key`, or None."""
        return self._records.get(key)

    def select(self, prefix: str) -> collections.abc.Iterator[links.Record]:
        """Yield the records whose keys start with `prefix`."""
        for key, record in self._records.items():
            if key.startswith(prefix):
                yield record

    def apply(
        self, records: collections.abc.Iterable[links.Record]
    ) -> list[links.Record]:
        """Apply the records that are newer and return them."""
        return [record for record in records if self._apply_one(record)]

    def put(self, key: str, value: bytes) -> links.Record:
        """Write `value` as the next version of `key`.

        An equal value leaves the record as it is.
        """
        current = self._records.get(key)
        if current is not None and current.value == value:
            return current
        version = current.version + 1 if current is not None else 1
        record = links.Record(key, version, value)
        self._apply_one(record)
        return record

    def hash_buckets(self) -> bytes:
        """Return a hash of each bucket; zero for one that changed recently."""
        stable_since = self._clock() - BUCKET_STABLE_SECONDS
        return array.array(
            'I',
            (
                # One instead of zero for an empty bucket, so that it is
                # compared as well.
                (bucket_hash or 1) if changed_at <= stable_since else 0
                for bucket_hash, changed_at in zip(
                    self._bucket_hashes, self._changed_at, strict=True
                )
            ),
        ).tobytes()

    def find_differing_buckets(self, hashes: bytes) -> list[int]:
        """Return the buckets whose hashes differ.

        Buckets that changed recently on either side are excluded.
        """
        if len(hashes) != BUCKET_COUNT * array.array('I').itemsize:
            # The sender runs a release with another number of buckets.
            return []
        other_hashes = array.array('I')
        other_hashes.frombytes(hashes)
        own_hashes = array.array('I')
        own_hashes.frombytes(self.hash_buckets())
        return [
            bucket
            for bucket, (own, other) in enumerate(
                zip(own_hashes, other_hashes, strict=False)
            )
            if own and other and own != other
        ]

    def list_marks(self, buckets: list[int]) -> dict[str, VersionMark]:
        """Return the marks of the records in `buckets`."""
        return {
            key: self._marks[key]
            for bucket in buckets
            if 0 <= bucket < BUCKET_COUNT
            for key in self._bucket_keys[bucket]
        }

    def select_newer(
        self,
        marks: collections.abc.Mapping[str, VersionMark],
        buckets: list[int],
    ) -> list[links.Record]:
        """Return the records in `buckets` that are newer than `marks`.

        Records of the same version and another value are included, as only
        the receiver has both values and can tell which one to keep.
        """
        return [
            self._records[key]
            for key, mark in self.list_marks(buckets).items()
            if mark[0] > marks.get(key, (0, 0))[0]
            or (mark[0] == marks[key][0] and mark[1] != marks[key][1])
        ]

    def is_behind(
        self, marks: collections.abc.Mapping[str, VersionMark]
    ) -> bool:
        """Return whether the sender of `marks` may have newer records."""
        return any(
            mark != own and mark[0] >= own[0]
            for key, mark in marks.items()
            if (own := self._marks.get(key, (0, 0))) is not None
        )

    def __len__(self) -> int:
        return len(self._records)

    def _apply_one(self, record: links.Record) -> bool:
        current = self._records.get(record.key)
        if current is not None and (record.version, record.value) <= (
            current.version,
            current.value,
        ):
            return False
        self._records[record.key] = record
        self._update_bucket(record)
        for prefix, listener in self._listeners:
            if record.key.startswith(prefix):
                _call_listener(listener, record)
        return True

    def _update_bucket(self, record: links.Record) -> None:
        bucket = compute_bucket(record.key)
        old_mark = self._marks.get(record.key, (0, 0))
        mark = _make_mark(record)
        self._marks[record.key] = mark
        self._bucket_keys[bucket].add(record.key)
        self._bucket_hashes[bucket] ^= old_mark[1] ^ mark[1]
        self._changed_at[bucket] = self._clock()


def _call_listener(listener: Listener, record: links.Record) -> None:
    # A record that cannot be decoded, from a later release or a faulty sender,
    # must not stop the daemon. It stays in the table and is relayed, as other
    # daemons may be able to decode it.
    try:
        listener(record)
    except (errors.ContentBroken, ValueError) as error:
        LOG.error('cannot apply record %s: %s', record.key, error)
