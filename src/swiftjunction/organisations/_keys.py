"""The organisations of a configuration, and their keys."""

import collections.abc
import hashlib
import logging
import re

import msgspec

LOG = logging.getLogger(__name__)

KEY_DIGEST_BYTES = 16
# Longer names, and others than these, do not fit into a header.
NAME_PATTERN = re.compile(r'[!-~]([ -~]{0,253}[!-~])?')


class Organisation(msgspec.Struct, frozen=True):
    """An organisation whose callers share keys, priority and batches.

    Attributes
    ----------
    rank : int or None
        The priority of its requests, where 0 is the highest; None if the
        routes decide.
    """

    name: str
    rank: int | None = None


class KeyTable:
    """Finds the organisation of a key.

    Only digests of the keys are kept, so that no dump or log shows a key. A
    key of several organisations belongs to none of them, as it does not tell
    whose request it is. An organisation whose name no header can carry is
    left out, as servers are told the organisation of a request in a header.

    Parameters
    ----------
    organisations : iterable of (Organisation, iterable of str)
        The organisations, each with its keys.

    Attributes
    ----------
    names : set of str
        The names of the organisations.
    """

    __slots__ = ('_by_digest', 'names')

    def __init__(
        self,
        organisations: collections.abc.Iterable[
            tuple[Organisation, collections.abc.Iterable[str]]
        ],
    ) -> None:
        self.names: set[str] = set()
        self._by_digest: dict[bytes, Organisation] = {}
        ambiguous: set[bytes] = set()
        for organisation, keys in organisations:
            if not is_sendable_name(organisation.name):
                LOG.error(
                    'ignoring an organisation whose name no header can carry',
                    extra={'organisation': ascii(organisation.name)},
                )
                continue
            self.names.add(organisation.name)
            ambiguous |= self._add_keys(organisation, keys)
        for digest in ambiguous:
            del self._by_digest[digest]

    def _add_keys(
        self,
        organisation: Organisation,
        keys: collections.abc.Iterable[str],
    ) -> set[bytes]:
        """Add keys; return the digests that another organisation had."""
        ambiguous = set()
        for digest in {_compute_digest(key) for key in keys if key}:
            other = self._by_digest.get(digest)
            if other is not None and other.name != organisation.name:
                ambiguous.add(digest)
                LOG.error(
                    'ignoring a key that several organisations have',
                    extra={'organisations': [other.name, organisation.name]},
                )
            self._by_digest[digest] = organisation
        return ambiguous

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_digest)

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that has `key`, or None."""
        return self._by_digest.get(_compute_digest(key))


def is_sendable_name(name: str) -> bool:
    """Return whether a header can carry the name of an organisation."""
    return NAME_PATTERN.fullmatch(name) is not None


def _compute_digest(key: str) -> bytes:
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogateescape'), digest_size=KEY_DIGEST_BYTES
    ).digest()
