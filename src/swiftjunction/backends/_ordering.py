"""Sends orders under a lease, checked as their first byte leaves."""

import collections.abc

import anyio

from swiftjunction.backends import _engine
from swiftjunction.backends import _orders
from swiftjunction import errors
from swiftjunction import leases


class OrderSender:
    """Gives orders to engines so that an earlier holder's cannot undo them.

    An order must be over before the lease is. Engines that check fencing
    tokens refuse what arrives later all the same; for the others a new holder
    first waits out the longest order of the one before it.

    Parameters
    ----------
    engines : EngineClient
        Sends them.
    checks_fencing : callable
        Tells of a model whether its engines refuse old fencing tokens.
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
            If the lease did not last, or is too new; nothing was sent.
        BackendRefused
            If the engine refused it.
        BackendError
            If it is not known whether the engine took it.
        """

        def check() -> None:
            lease.check(_engine.ORDER_TIMEOUT_SECONDS)
            if not self._checks_fencing(service):
                lease.check_predecessor_done(_engine.ORDER_TIMEOUT_SECONDS)

        check()
        try:
            # The client's own timeout is one for each read and write; this
            # one bounds the whole.
            with anyio.fail_after(_engine.ORDER_TIMEOUT_SECONDS):
                await self._engines.give_order(address, order, check)
        except TimeoutError as error:
            raise errors.AnswerBroken(
                'no answer to the order in time', step='order', peer=address
            ) from error
