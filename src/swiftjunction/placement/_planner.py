"""Writes the plan, under a lease."""

import collections.abc
import logging
import uuid

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import objectstore
from swiftjunction.placement import _plan
from swiftjunction.placement import _policy

LOG = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 2.0
# A plan is written by then, or its lease may be another's.
WRITE_SECONDS = 3.0


class Planner:
    """Turns settings and reports into a plan.

    The plan is written on the condition of the version that it was made from,
    so that a planner which lost its lease unawares overwrites nothing.

    Parameters
    ----------
    store : ObjectStore
        Where the plan is kept.
    keeper : LeaseKeeper
        Of the lease of planning.
    list_needs : callable
        Returns the models that take part.
    directory : Directory
        The engines, as reported.
    board : PlanTracker
        The plan in force.
    policy : PlacementPolicy
        Decides.
    """

    __slots__ = (
        '_board',
        '_directory',
        '_keeper',
        '_list_needs',
        '_policy',
        '_store',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        keeper: leases.LeaseKeeper,
        list_needs: collections.abc.Callable[[], list[_policy.ModelLimits]],
        directory: backends.Directory,
        board: _plan.PlanTracker,
        policy: _policy.PlacementPolicy,
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._list_needs = list_needs
        self._directory = directory
        self._board = board
        self._policy = policy

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            try:
                await self.plan_once()
            except errors.SwiftjunctionError as error:
                LOG.info('no new placement: %s', error)
            await anyio.sleep(PLAN_INTERVAL_SECONDS)

    async def plan_once(self) -> list[_policy.Move]:
        """Decide on moves and write them into the plan.

        Raises
        ------
        LeaseLost
            If planning is another's.
        PlatformError
            If the plan was not written, or is not known to be; the next
            round starts from what is in force then.
        """
        needs = self._list_needs()
        lease = self._keeper.lease
        if not needs or lease is None:
            return []
        engines = list(self._list_engines(needs))
        moves = self._policy.decide(needs, engines, anyio.current_time())
        if not moves:
            return []
        models = dict(self._board.plan.models)
        for move in moves:
            LOG.info('engine %s is to load %s', move.engine, move.model)
            models[move.engine] = move.model
        value = msgspec.json.encode(_plan.Plan(models, uuid.uuid4().hex))
        lease.check(WRITE_SECONDS)
        if self._board.version:
            await objectstore.update_or_confirm(
                self._store, _plan.PLAN_KEY, value, self._board.version
            )
        else:
            await objectstore.create_or_confirm(
                self._store, _plan.PLAN_KEY, value
            )
        return moves

    def _list_engines(
        self, needs: list[_policy.ModelLimits]
    ) -> collections.abc.Iterator[_policy.EngineState]:
        models = {need.model for need in needs}
        for server in self._directory.list_servers():
            report = server.report
            planned = self._board.find_model(
                report.name, report.listed_service
            )
            if report.state == 'live' and planned in models:
                yield _policy.EngineState(
                    report.name,
                    report.service,
                    planned,
                    report.weight_version > 0,
                    report.load,
                )
