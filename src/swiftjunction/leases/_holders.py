"""Who holds which lease, for operators."""

import msgspec

from swiftjunction.leases import _keeper
from swiftjunction import objectstore


class LeaseHolder(msgspec.Struct, frozen=True):
    """What the object of a lease says.

    Attributes
    ----------
    holder : str
        Empty where the lease was given back.
    token : int
        The holder's fencing token.
    version : int
        Of the object: it grows with each renewal.
    """

    name: str
    holder: str
    token: int
    version: int


async def list_holders(store: objectstore.ObjectStore) -> list[LeaseHolder]:
    """Return all leases, by name."""
    found = await store.list(_keeper.LEASE_PREFIX)
    holders = []
    for item in found.changed:
        claim = objectstore.decode_value(item, _keeper.LeaseRecord)
        name = item.key.removeprefix(_keeper.LEASE_PREFIX)
        holders.append(
            LeaseHolder(
                name, claim.holder, claim.token or item.version, item.version
            )
        )
    return sorted(holders, key=lambda holder: holder.name)
