"""Has the engines of one shard load what the plan says."""

import collections.abc
import logging

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction.placement import _plan

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 1.0
# An engine that does not say so by then is told again.
REPEAT_SECONDS = 10.0


class ModelLoader:
    """Orders engines to load models, until they say that they have.

    Parameters
    ----------
    list_models : callable
        Returns the models that take part in placement.
    directory : Directory
        The engines, as reported.
    board : PlanTracker
        The plan in force.
    keeper : LeaseKeeper
        Of the shard's lease.
    sender : OrderSender
        Sends the orders.
    holds : callable
        Tells whether the engine of a name is in this shard.
    """

    __slots__ = (
        '_board',
        '_directory',
        '_holds',
        '_keeper',
        '_list_models',
        '_sender',
        '_sent_at',
    )

    def __init__(
        self,
        list_models: collections.abc.Callable[[], list[str]],
        directory: backends.Directory,
        board: _plan.PlanTracker,
        keeper: leases.LeaseKeeper,
        sender: backends.OrderSender,
        holds: collections.abc.Callable[[str], bool],
    ) -> None:
        self._list_models = list_models
        self._directory = directory
        self._board = board
        self._keeper = keeper
        self._sender = sender
        self._holds = holds
        self._sent_at: dict[str, float] = {}

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            if self._keeper.lease is not None:
                await self.order_once(self._keeper.lease)
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def order_once(self, lease: leases.Lease) -> None:
        """Tell each engine that serves something else than planned."""
        now = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for server, wanted in self._list_wrong():
                if now - self._sent_at.get(server.name, -1e9) > REPEAT_SECONDS:
                    self._sent_at[server.name] = now
                    tasks.start_soon(self._order, lease, server, wanted)

    def _list_wrong(
        self,
    ) -> collections.abc.Iterator[tuple[backends.BackendServer, str]]:
        models = set(self._list_models())
        for server in self._directory.list_servers():
            report = server.report
            wanted = self._board.find_model(report.name, report.listed_service)
            if (
                wanted in models
                and report.service != wanted
                and report.state == 'live'
                and self._holds(report.name)
            ):
                yield server, wanted

    async def _order(
        self, lease: leases.Lease, server: backends.BackendServer, model: str
    ) -> None:
        order = backends.Order('load', model, fencing_token=lease.token)
        try:
            await self._sender.send(
                lease, server.address, server.report.service, order
            )
        except errors.SwiftjunctionError as error:
            # Told again soon; it may have been sent.
            self._sent_at.pop(server.name, None)
            LOG.info('%s not told to load %s: %s', server.name, model, error)
