"""Lists the holders of all leases, for operators."""

import msgspec

from swiftjunction.leases import _keeper
from swiftjunction import objectstore


class LeaseHolder(msgspec.Struct, frozen=True):
    """The stored state of one lease.

    Attributes
    ----------
    name : str
        The name of the lease.
    holder : str
        The holder, or empty if the lease was released.
    token : int
        The holder's fencing token.
    version : int
        The version of the lease's object, which grows with each renewal.
    """

    name: str
    holder: str
    token: int
    version: int


async def list_holders(store: objectstore.ObjectStore) -> list[LeaseHolder]:
    """Return all leases, sorted by name."""
    found = await store.list(_keeper.LEASE_PREFIX)
    holders = []
    for item in found.changed:
        record = objectstore.decode_value(item, _keeper.LeaseRecord)
        name = item.key.removeprefix(_keeper.LEASE_PREFIX)
        holders.append(
            LeaseHolder(
                name, record.holder, record.token or item.version, item.version
            )
        )
    return sorted(holders, key=lambda holder: holder.name)
