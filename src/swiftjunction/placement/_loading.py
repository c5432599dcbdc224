"""Makes the engines of one shard load their planned models."""

import collections.abc
import logging

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction.placement import _plan

LOG = logging.getLogger(__name__)

PLACEMENT_CHECK_INTERVAL_SECONDS = 1.0
# An engine that does not report the planned model within this time of an order
# is ordered again.
ORDER_RETRY_SECONDS = 10.0


class ModelLoader:
    """Orders engines to load their planned models until they report them.

    Parameters
    ----------
    list_models : callable
        Returns the models subject to placement.
    directory : Directory
        The reports of all engines.
    plan_tracker : PlanTracker
        Provides the current plan.
    keeper : LeaseKeeper
        Holds the shard's lease.
    sender : OrderSender
        Sends orders to engines.
    is_in_shard : callable
        Returns whether the engine with a given name is in this shard.
    """

    __slots__ = (
        '_directory',
        '_is_in_shard',
        '_keeper',
        '_list_models',
        '_plan_tracker',
        '_sender',
        '_sent_at',
    )

    def __init__(
        self,
        list_models: collections.abc.Callable[[], list[str]],
        directory: backends.Directory,
        plan_tracker: _plan.PlanTracker,
        keeper: leases.LeaseKeeper,
        sender: backends.OrderSender,
        is_in_shard: collections.abc.Callable[[str], bool],
    ) -> None:
        self._list_models = list_models
        self._directory = directory
        self._plan_tracker = plan_tracker
        self._keeper = keeper
        self._sender = sender
        self._is_in_shard = is_in_shard
        self._sent_at: dict[str, float] = {}

    async def run(self) -> None:
        """Send load orders under the lease until cancelled."""
        while True:
            if self._keeper.lease is not None:
                await self.send_orders(self._keeper.lease)
            await anyio.sleep(PLACEMENT_CHECK_INTERVAL_SECONDS)

    async def send_orders(self, lease: leases.Lease) -> None:
        """Order each engine that does not serve its planned model."""
        now = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for server, planned in self._list_misplaced():
                if (
                    now - self._sent_at.get(server.name, -1e9)
                    > ORDER_RETRY_SECONDS
                ):
                    self._sent_at[server.name] = now
                    tasks.start_soon(self._send_order, lease, server, planned)

    def _list_misplaced(
        self,
    ) -> collections.abc.Iterator[tuple[backends.BackendServer, str]]:
        models = set(self._list_models())
        for server in self._directory.iter_servers():
            report = server.report
            planned = self._plan_tracker.find_model(
                report.name, report.listed_service
            )
            if (
                planned in models
                and report.service != planned
                and report.state == 'live'
                and self._is_in_shard(report.name)
            ):
                yield server, planned

    async def _send_order(
        self, lease: leases.Lease, server: backends.BackendServer, model: str
    ) -> None:
        order = backends.Order(
            'load', model, fencing_token=lease.fencing_token
        )
        try:
            await self._sender.send(
                lease, server.address, server.report.service, order
            )
        except errors.SwiftjunctionError as error:
            # The order may have arrived. It is repeated at the next check
            # unless the engine reports the planned model by then.
            self._sent_at.pop(server.name, None)
            LOG.info(
                'load order to engine %s for model %s failed: %s',
                server.name,
                model,
                error,
            )
