"""Lists all leases, for operators."""

import logging

import msgspec

from swiftjunction import errors
from swiftjunction.leases import _keeper
from swiftjunction.leases import _record
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)


class LeaseState(msgspec.Struct, frozen=True):
    """The stored state of one lease.

    Attributes
    ----------
    name : str
        The name of the lease.
    holder : str
        The name of the holder, or empty if the lease was released.
    fencing_token : int
        The fencing token of the holder, or of the last one after a release.
    version : int
        The version of the lease's object, which increases with each renewal.
    """

    name: str
    holder: str
    fencing_token: int = msgspec.field(name='token')
    version: int


async def list_leases(store: objectstore.ObjectStore) -> list[LeaseState]:
    """Return all leases, sorted by name."""
    found = await store.list(_keeper.LEASE_PREFIX)
    states = []
    for item in found.changed:
        try:
            record = objectstore.decode_value(item, _record.LeaseRecord)
        except errors.ObjectBroken as error:
            LOG.warning('ignoring an invalid lease: %s', error)
            continue
        name = item.key.removeprefix(_keeper.LEASE_PREFIX)
        states.append(
            LeaseState(
                name,
                record.holder,
                record.fencing_token or item.version,
                item.version,
            )
        )
    return sorted(states, key=lambda state: state.name)
