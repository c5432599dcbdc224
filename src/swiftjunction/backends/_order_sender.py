"""Sending of orders to engines under a lease."""

import collections.abc

import anyio

from swiftjunction.backends import _engine
from swiftjunction.backends import _orders
from swiftjunction import errors
from swiftjunction import leases


class OrderSender:
    """Sends orders that those of a previous lease holder cannot undo.

    An order must end before the lease expires. If one arrives later all the
    same, engines that check fencing tokens refuse it. For other engines, a new
    holder sends nothing until the maximum duration of an order has passed, so
    that those of its predecessor have ended.

    Parameters
    ----------
    engines : EngineClient
        The client that sends the orders.
    checks_fencing : callable
        Returns whether the engines of a model refuse old fencing tokens.
    """

    __slots__ = ('_checks_fencing', '_engines')

    def __init__(
        self,
        engines: _engine.EngineClient,
        checks_fencing: collections.abc.Callable[[str], bool],
    ) -> None:
        self._engines = engines
        self._checks_fencing = checks_fencing

    async def send(
        self,
        lease: leases.Lease,
        address: str,
        service: str,
        order: _orders.Order,
    ) -> None:
        """Send `order` to the engine of `service` at `address`.

        Raises
        ------
        LeaseLost
            If the lease expires before an order would end, or if orders of
            its previous holder may still be running; nothing was sent.
        BackendUnreachable
            If nothing was sent.
        BackendRefused
            If the engine refused the order.
        AnswerBroken
            If it is unknown whether the engine accepted the order.
        """

        def check_lease() -> None:
            lease.check(_engine.ORDER_TIMEOUT_SECONDS)
            if not self._checks_fencing(service):
                lease.check_predecessor_done(_engine.ORDER_TIMEOUT_SECONDS)

        check_lease()
        try:
            # The timeout of the client applies to each read and write, this
            # one to the entire call.
            with anyio.fail_after(_engine.ORDER_TIMEOUT_SECONDS):
                await self._engines.send_order(address, order, check_lease)
        except TimeoutError as error:
            raise errors.AnswerBroken(
                'timed out waiting for the response to the order',
                step='order',
                peer=address,
            ) from error
