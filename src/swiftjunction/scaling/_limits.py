"""The limits within which the servers of a service are ordered."""

import msgspec


class ServiceScaling(msgspec.Struct, frozen=True):
    """The limits and prices of the servers of one service.

    Attributes
    ----------
    min_servers, max_servers : int
        The limits of the number of servers in each data centre, spot servers
        included.
    boot_seconds : float
        The time from an order until its servers serve, in seconds.
    spot_price : float
        The price of a spot server, as a fraction of that of another one.
    prices : dict of str to float
        The relative price of a server in each data centre; the service may
        run in these.
    """

    service: str
    min_servers: int
    max_servers: int
    boot_seconds: float = 0.0
    spot_price: float = 1.0
    prices: dict[str, float] = {}
