"""Updates the placement plan under a lease."""

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
# The lease must last at least this long when a write starts. A slower write
# may complete after another process has acquired the lease; it fails if that
# process has changed the plan.
MAX_WRITE_SECONDS = 3.0


class Planner:
    """Derives the plan from the model limits and the engine reports.

    Each write is conditional on the version that the plan is based on, so a
    planner that has lost its lease without noticing cannot overwrite a newer
    plan.

    Parameters
    ----------
    store : ObjectStore
        Stores the plan.
    keeper : LeaseKeeper
        Holds the planning lease.
    list_model_limits : callable
        Returns the limits of the models subject to placement.
    directory : Directory
        The reports of all engines.
    plan_tracker : PlanTracker
        Provides the current plan.
    policy : PlacementPolicy
        Decides which engines move.
    """

    __slots__ = (
        '_directory',
        '_keeper',
        '_list_model_limits',
        '_plan_tracker',
        '_policy',
        '_store',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        keeper: leases.LeaseKeeper,
        list_model_limits: collections.abc.Callable[
            [], list[_policy.ModelLimits]
        ],
        directory: backends.Directory,
        plan_tracker: _plan.PlanTracker,
        policy: _policy.PlacementPolicy,
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._list_model_limits = list_model_limits
        self._directory = directory
        self._plan_tracker = plan_tracker
        self._policy = policy

    async def run(self) -> None:
        """Update the plan periodically until cancelled."""
        while True:
            try:
                await self.plan_once()
            except errors.SwiftjunctionError as error:
                LOG.info('placement plan not updated: %s', error)
            await anyio.sleep(PLAN_INTERVAL_SECONDS)

    async def plan_once(self) -> list[_policy.Move]:
        """Decide on moves, write them to the plan and return them.

        Raises
        ------
        LeaseLost
            If this process no longer holds the planning lease.
        PlatformError
            If the plan was not written, or the outcome is unknown; the next
            call starts from the plan that is current then.
        """
        model_limits = self._list_model_limits()
        lease = self._keeper.lease
        if not model_limits or lease is None:
            return []
        engines = list(self._list_engines(model_limits))
        moves = self._policy.decide(
            model_limits, engines, anyio.current_time()
        )
        if not moves:
            return []
        models = dict(self._plan_tracker.plan.models)
        for move in moves:
            LOG.info(
                'planning engine %s to load model %s', move.engine, move.model
            )
            models[move.engine] = move.model
        value = msgspec.json.encode(_plan.Plan(models, uuid.uuid4().hex))
        lease.check(MAX_WRITE_SECONDS)
        if self._plan_tracker.version:
            await objectstore.update_or_confirm(
                self._store, _plan.PLAN_KEY, value, self._plan_tracker.version
            )
        else:
            await objectstore.create_or_confirm(
                self._store, _plan.PLAN_KEY, value
            )
        return moves

    def _list_engines(
        self, model_limits: list[_policy.ModelLimits]
    ) -> collections.abc.Iterator[_policy.PlannedEngine]:
        models = {limits.model for limits in model_limits}
        for server in self._directory.iter_servers():
            report = server.report
            planned = self._plan_tracker.find_model(
                report.name, report.listed_service
            )
            if report.state == 'live' and planned in models:
                yield _policy.PlannedEngine(
                    report.name,
                    report.service,
                    planned,
                    report.weight_version > 0,
                    report.load,
                )
