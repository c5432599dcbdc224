"""Rolls out the newest version of each model to the engines of one shard.

Staging is slow because the bandwidth of the weight store is limited;
activation is fast. Every engine therefore stages first, and all engines then
activate together. The holder of each shard's lease sees the reports of all
engines, so all shards detect the end of staging at about the same time
without coordination. A shard is a fixed part of the engines, given by the
hashes of their names; see :mod:`swiftjunction.daemons`.
"""

import collections.abc
import logging
import time

import anyio
import anyio.abc

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import telemetry
from swiftjunction.weights import _freshness
from swiftjunction.weights import _rollout
from swiftjunction.weights import _staging

LOG = logging.getLogger(__name__)

# Reports that arrive within this time are processed together.
COALESCE_SECONDS = 0.02
# The pause after a pass over all reports is at least this many times as long
# as the pass, so that with many engines the passes take less than a tenth of
# the time of the event loop.
PAUSE_FACTOR = 10.0
ACTIVE_INTERVAL_SECONDS = 0.25
IDLE_INTERVAL_SECONDS = 2.0
MAX_ORDERS_IN_FLIGHT = 64

WaitForChange = collections.abc.Callable[
    [float], collections.abc.Coroutine[None, None, None]
]


class RolloutController:
    """Rolls out versions to the engines of one shard under its lease.

    Parameters
    ----------
    directory : Directory
        The reports of all engines.
    version_tracker : VersionTracker
        The published versions of all models.
    keeper : LeaseKeeper
        Holds the shard's lease.
    sender : OrderSender
        Sends orders to engines.
    is_in_shard : callable
        Returns whether the engine with a given name is in this shard.
    wait_for_change : callable
        Waits for a changed record, at most the given number of seconds.
    metrics : Metrics
        Counts orders and stuck rollouts.
    """

    __slots__ = (
        '_directory',
        '_in_flight',
        '_is_in_shard',
        '_keeper',
        '_limiter',
        '_metrics',
        '_rollouts',
        '_sender',
        '_staging_limiter',
        '_stuck',
        '_version_tracker',
        '_wait_for_change',
    )

    def __init__(
        self,
        directory: backends.Directory,
        version_tracker: _freshness.VersionTracker,
        keeper: leases.LeaseKeeper,
        sender: backends.OrderSender,
        is_in_shard: collections.abc.Callable[[str], bool],
        wait_for_change: WaitForChange,
        metrics: telemetry.Metrics,
    ) -> None:
        self._directory = directory
        self._version_tracker = version_tracker
        self._keeper = keeper
        self._sender = sender
        self._is_in_shard = is_in_shard
        self._wait_for_change = wait_for_change
        self._metrics = metrics
        self._rollouts: dict[str, _rollout.Rollout] = {}
        self._stuck: set[tuple[str, int]] = set()
        self._staging_limiter = _staging.StagingLimiter()
        self._in_flight: set[tuple[str, str]] = set()
        self._limiter = anyio.CapacityLimiter(MAX_ORDERS_IN_FLIGHT)

    async def run(self) -> None:
        """Roll out the newest version of each model until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                started_at = time.perf_counter()
                if self._keeper.lease is not None:
                    self._advance(tasks, self._keeper.lease)
                spent_seconds = time.perf_counter() - started_at
                is_active = any(
                    not r.is_complete() for r in self._rollouts.values()
                )
                await self._wait_for_change(
                    ACTIVE_INTERVAL_SECONDS
                    if is_active
                    else IDLE_INTERVAL_SECONDS
                )
                await anyio.sleep(
                    max(COALESCE_SECONDS, PAUSE_FACTOR * spent_seconds)
                )

    def _advance(
        self, tasks: anyio.abc.TaskGroup, lease: leases.Lease
    ) -> None:
        now = anyio.current_time()
        for name in self._staging_limiter.expire(now):
            LOG.warning('engine %s timed out staging weights; retrying', name)
        unstaged_names = set()
        for model in self._version_tracker.list_models():
            rollout = self._update_rollout(model, now)
            unstaged = [s for s in rollout.list_unstaged() if self._owns(s)]
            unstaged_names |= {s.name for s in unstaged}
            for server in unstaged:
                if self._staging_limiter.try_start(server.name, now):
                    self._start_order(tasks, lease, rollout, server, 'stage')
            for server in rollout.list_activatable(now):
                if self._owns(server):
                    rollout.record_activation(server.name, now)
                    self._start_order(
                        tasks, lease, rollout, server, 'activate'
                    )
            self._report_stuck(rollout, now)
        self._staging_limiter.retain(unstaged_names)

    def _update_rollout(self, model: str, now: float) -> _rollout.Rollout:
        target = self._version_tracker.find_newest(model)
        rollout = self._rollouts.get(model)
        if rollout is None or rollout.target != target:
            rollout = _rollout.Rollout(
                model,
                target,
                self._version_tracker.resolve_source(model, target),
                now,
            )
            self._rollouts[model] = rollout
        servers = list(self._directory.select(model))
        rollout.update(servers, now)
        for server in servers:
            if server.report.staged_version >= target:
                self._staging_limiter.record_staged(server.name, now)
        return rollout

    def _owns(self, server: backends.BackendServer) -> bool:
        return self._is_in_shard(server.name)

    def _start_order(
        self,
        tasks: anyio.abc.TaskGroup,
        lease: leases.Lease,
        rollout: _rollout.Rollout,
        server: backends.BackendServer,
        kind: str,
    ) -> None:
        key = (server.name, kind)
        if key not in self._in_flight:
            self._in_flight.add(key)
            tasks.start_soon(self._send_order, lease, rollout, server, kind)

    async def _send_order(
        self,
        lease: leases.Lease,
        rollout: _rollout.Rollout,
        server: backends.BackendServer,
        kind: str,
    ) -> None:
        order = backends.Order(
            kind,
            rollout.model,
            rollout.target,
            lease.fencing_token,
            source_version=rollout.source,
        )
        outcome = 'accepted'
        try:
            async with self._limiter:
                await self._sender.send(
                    lease, server.address, rollout.model, order
                )
        except errors.SwiftjunctionError as error:
            outcome = type(error).__name__
            rollout.failures[server.name] = str(error)
            self._staging_limiter.record_failure(server.name)
            LOG.info(
                '%s order for version %s to engine %s failed; will retry: %s',
                kind,
                rollout.target,
                server.name,
                error,
            )
        finally:
            self._in_flight.discard((server.name, kind))
        self._metrics.count('orders', kind=kind, outcome=outcome)

    def _report_stuck(self, rollout: _rollout.Rollout, now: float) -> None:
        key = (rollout.model, rollout.target)
        if not rollout.is_stuck(now):
            self._stuck.discard(key)
            return
        if key in self._stuck:
            return
        self._stuck.add(key)
        self._metrics.count('stuck_rollouts', model=rollout.model)
        LOG.error(
            'rollout of model %s to version %s is stuck: %s',
            *key,
            rollout.summarize(now),
        )

    def summarize(self) -> dict[str, object]:
        """Return the state of the rollouts for the state dump."""
        now = anyio.current_time()
        lease = self._keeper.lease
        return {
            'shard': self._keeper.name,
            'token': lease.fencing_token if lease is not None else 0,
            'staging_limit': self._staging_limiter.limit,
            'rollouts': [r.summarize(now) for r in self._rollouts.values()],
        }
