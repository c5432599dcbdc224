"""The stored value of a lease's object."""

import logging
import typing

import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

# A record with a longer TTL is invalid, as it would block the lease.
MAX_TTL_SECONDS = 3600.0
# No process has this name.
UNKNOWN_HOLDER = '?'

_Ttl = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_TTL_SECONDS)]


class LeaseRecord(msgspec.Struct):
    """The stored value of a lease's object.

    Attributes
    ----------
    holder : str
        The name of the holder, or empty after a release.
    fencing_token : int
        The fencing token: the version of the object after the write that
        began the holder's term; 0 in that write itself. Versions are
        revisions of the whole store, so each new token is higher than all
        earlier ones, of any lease.
    nonce : str
        Unique to each write, so that after a lost response a read shows
        whether the write took effect.
    ttl_seconds : float
        How long the lease is valid after this write.
    settle_seconds : float
        For how long after a release the next holder takes no action that
        must not follow closely on one of the former holder.
    """

    holder: str
    fencing_token: decoding.Count = msgspec.field(name='token')
    nonce: str
    ttl_seconds: _Ttl
    settle_seconds: _Ttl = 0.0


def decode_record(
    item: objectstore.Object,
    ttl_seconds: float,
    broken: objectstore.BrokenObjects,
) -> LeaseRecord:
    """Return the record of a lease's object.

    One that is invalid counts as that of an unknown holder: the lease can be
    acquired when its TTL has passed.

    Parameters
    ----------
    ttl_seconds : float
        The TTL of an invalid record, in seconds.
    broken : BrokenObjects
        The invalid records that have been logged.
    """
    try:
        return objectstore.decode_value(item, LeaseRecord)
    except errors.ObjectBroken as error:
        if broken.add(item):
            LOG.warning('invalid record of a lease: %s', error)
        return LeaseRecord(UNKNOWN_HOLDER, 0, '', ttl_seconds)
