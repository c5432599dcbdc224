"""The platform's API for duties, which one VM at a time carries out."""

import abc

import msgspec

from swiftjunction import leases


class UsageReport(msgspec.Struct, frozen=True):
    """The usage of one window.

    Attributes
    ----------
    window : int
        The number of the window: its start in seconds since 1970, divided by
        the length of a window.
    counts : dict of str to int
        The number of requests that began to run in the window, by
        organisation.
    """

    window: int
    counts: dict[str, int]


class ServerOrder(msgspec.Struct, frozen=True):
    """An order of servers of one kind, for one service and data centre.

    It replaces the earlier ones for the same kind, service and data centre.

    Attributes
    ----------
    servers : int
        The number of servers of this kind that the service is to have in the
        data centre.
    is_spot : bool
        Whether it orders spot servers, which are a kind of their own.
    """

    service: str
    data_center: str
    servers: int
    is_spot: bool = False


class DutyApi(abc.ABC):
    """Carries out duties under the fencing token of the coordinator.

    Each method checks the lease just before it sends, and raises

    - ``LeaseLost`` if the lease does not last as long as the call may take,
      or if the platform has seen a higher fencing token;
    - ``PlatformUnavailable`` if the platform has not carried out the call;
    - ``WriteUncertain`` if it may have, or may still do so.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def report_usage(
        self, lease: leases.Lease, report: UsageReport
    ) -> None:
        """Send the report of one window."""

    @abc.abstractmethod
    async def order_servers(
        self, lease: leases.Lease, order: ServerOrder
    ) -> bool:
        """Send an order; return whether the servers can be had."""
