"""Brings a model's newest version onto all of its engines.

Staging is slow, as the weight store limits its rate; activating is fast. So
every engine stages first, and then all of them activate in one wave.
"""

import collections.abc
import logging

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction.weights import _board

LOG = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.1
# An engine that has not staged by then is left behind by the wave; it gets
# no requests that need the new version until its own turn comes.
STAGE_PATIENCE_SECONDS = 10.0
STAGE_REPEAT_SECONDS = 2.0
ACTIVATE_REPEAT_SECONDS = 0.5


class Wave:
    """Rolls out the versions of one model, under a lease.

    Parameters
    ----------
    model : str
        The model.
    directory : Directory
        Its engines, as reported.
    board : Board
        Its versions.
    keeper : LeaseKeeper
        Of the lease that only one conductor holds.
    engines : EngineClient
        Sends the orders.
    """

    __slots__ = (
        '_board',
        '_directory',
        '_engines',
        '_keeper',
        '_model',
        '_sent_at',
        '_started_at',
        '_target',
    )

    def __init__(
        self,
        model: str,
        directory: backends.Directory,
        board: _board.Board,
        keeper: leases.LeaseKeeper,
        engines: backends.EngineClient,
    ) -> None:
        self._model = model
        self._directory = directory
        self._board = board
        self._keeper = keeper
        self._engines = engines
        self._target = 0
        self._started_at = 0.0
        self._sent_at: dict[tuple[str, str, int], float] = {}

    async def run(self) -> None:
        """Roll out each newest version until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keeper.run)
            while True:
                if self._keeper.lease is not None:
                    await self._advance(self._keeper.lease)
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _advance(self, lease: leases.Lease) -> None:
        target = self._board.newest(self._model)
        if target != self._target:
            self._target = target
            self._started_at = anyio.current_time()
            self._sent_at.clear()
        servers = [
            server
            for server in self._directory.select(self._model)
            if server.report.weight_version < target
            and server.report.state != 'down'
        ]
        unstaged = [s for s in servers if s.report.staged_version < target]
        staged = [s for s in servers if s.report.staged_version >= target]
        waited_seconds = anyio.current_time() - self._started_at
        await self._order_each(lease, unstaged, 'stage', STAGE_REPEAT_SECONDS)
        if not unstaged or waited_seconds > STAGE_PATIENCE_SECONDS:
            await self._order_each(
                lease, staged, 'activate', ACTIVATE_REPEAT_SECONDS
            )

    async def _order_each(
        self,
        lease: leases.Lease,
        servers: collections.abc.Iterable[backends.BackendServer],
        kind: str,
        repeat_seconds: float,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for server in servers:
                key = (server.name, kind, self._target)
                now = anyio.current_time()
                if now - self._sent_at.get(key, -1e9) < repeat_seconds:
                    continue
                self._sent_at[key] = now
                tasks.start_soon(self._order, lease, server, kind)

    async def _order(
        self, lease: leases.Lease, server: backends.BackendServer, kind: str
    ) -> None:
        order = backends.Order(kind, self._model, self._target, lease.token)
        try:
            # The order must be over before the lease is, so that the next
            # holder's orders cannot be overtaken by this one.
            lease.check(backends.ORDER_TIMEOUT_SECONDS)
            await self._engines.give_order(server.address, order)
        except errors.SwiftjunctionError as error:
            LOG.warning(
                'order %s %s to %s failed, to be repeated: %s',
                kind,
                self._target,
                server.name,
                error,
            )

    def summarize(self) -> dict[str, object]:
        """Return the state of the roll-out, for a dump."""
        lease = self._keeper.lease
        return {
            'model': self._model,
            'target': self._target,
            'leader': lease is not None,
            'behind': [
                s.name
                for s in self._directory.select(self._model)
                if s.report.weight_version < self._target
            ],
        }
