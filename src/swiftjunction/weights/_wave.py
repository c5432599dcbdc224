"""Brings each model's newest version onto the engines of one shard.

Staging is slow, as the weight store limits its rate; activating is fast. So
every engine stages first, and then all of them activate in one wave. Each
shard's holder sees the reports of all engines, so all shards find at the same
moment, without a word between them, that staging is over.
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

# Reports that come within this time are taken in together; where looking at
# all engines takes long, it is done less often, for a tenth of the time.
GATHER_SECONDS = 0.02
GATHER_FACTOR = 10.0
BUSY_INTERVAL_SECONDS = 0.25
IDLE_INTERVAL_SECONDS = 2.0
MAX_ORDERS_IN_FLIGHT = 64

Wait = collections.abc.Callable[
    [float], collections.abc.Coroutine[None, None, None]
]


class RolloutController:
    """Rolls out versions on the engines of one shard, under its lease.

    Parameters
    ----------
    directory : Directory
        All engines, as reported.
    board : VersionTracker
        The versions of all models.
    keeper : LeaseKeeper
        Of the shard's lease.
    sender : OrderSender
        Sends the orders.
    holds : callable
        Tells whether the engine of a name is in this shard.
    wait : callable
        Returns when something has changed, or after so many seconds.
    metrics : Metrics
        Counts orders and stuck rollouts.
    """

    __slots__ = (
        '_board',
        '_directory',
        '_holds',
        '_in_flight',
        '_keeper',
        '_limiter',
        '_metrics',
        '_rollouts',
        '_sender',
        '_stuck',
        '_wait',
        '_window',
    )

    def __init__(
        self,
        directory: backends.Directory,
        board: _freshness.VersionTracker,
        keeper: leases.LeaseKeeper,
        sender: backends.OrderSender,
        holds: collections.abc.Callable[[str], bool],
        wait: Wait,
        metrics: telemetry.Metrics,
    ) -> None:
        self._directory = directory
        self._board = board
        self._keeper = keeper
        self._sender = sender
        self._holds = holds
        self._wait = wait
        self._metrics = metrics
        self._rollouts: dict[str, _rollout.Rollout] = {}
        self._stuck: set[tuple[str, int]] = set()
        self._window = _staging.StagingWindow()
        self._in_flight: set[tuple[str, str]] = set()
        self._limiter = anyio.CapacityLimiter(MAX_ORDERS_IN_FLIGHT)

    async def run(self) -> None:
        """Roll out each newest version until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                began = time.perf_counter()
                if self._keeper.lease is not None:
                    self._advance(tasks, self._keeper.lease)
                spent_seconds = time.perf_counter() - began
                busy = any(not r.is_done() for r in self._rollouts.values())
                await self._wait(
                    BUSY_INTERVAL_SECONDS if busy else IDLE_INTERVAL_SECONDS
                )
                await anyio.sleep(
                    max(GATHER_SECONDS, GATHER_FACTOR * spent_seconds)
                )

    def _advance(
        self, tasks: anyio.abc.TaskGroup, lease: leases.Lease
    ) -> None:
        now = anyio.current_time()
        for name in self._window.expire(now):
            LOG.warning('%s did not stage in time; ordered again', name)
        waiting = set()
        for model in self._board.list_models():
            rollout = self._look(model, now)
            unstaged = [s for s in rollout.list_unstaged() if self._is_own(s)]
            waiting |= {s.name for s in unstaged}
            for server in unstaged:
                if self._window.admit(server.name, now):
                    self._start(tasks, lease, rollout, server, 'stage')
            for server in rollout.list_ready(now):
                if self._is_own(server):
                    rollout.note_activation(server.name, now)
                    self._start(tasks, lease, rollout, server, 'activate')
            self._say_stuck(rollout, now)
        self._window.keep(waiting)

    def _look(self, model: str, now: float) -> _rollout.Rollout:
        target = self._board.find_newest(model)
        rollout = self._rollouts.get(model)
        if rollout is None or rollout.target != target:
            rollout = _rollout.Rollout(
                model, target, self._board.find_source(model, target), now
            )
            self._rollouts[model] = rollout
        servers = list(self._directory.select(model))
        rollout.look(servers, now)
        for server in servers:
            if server.report.staged_version >= target:
                self._window.note_staged(server.name, now)
        return rollout

    def _is_own(self, server: backends.BackendServer) -> bool:
        return self._holds(server.name)

    def _start(
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
            tasks.start_soon(self._order, lease, rollout, server, kind)

    async def _order(
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
            lease.token,
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
            self._window.note_failed(server.name)
            LOG.info(
                'order %s %s to %s failed, to be repeated: %s',
                kind,
                rollout.target,
                server.name,
                error,
            )
        finally:
            self._in_flight.discard((server.name, kind))
        self._metrics.count('orders', kind=kind, outcome=outcome)

    def _say_stuck(self, rollout: _rollout.Rollout, now: float) -> None:
        key = (rollout.model, rollout.target)
        if not rollout.is_stuck(now):
            self._stuck.discard(key)
            return
        if key in self._stuck:
            return
        self._stuck.add(key)
        self._metrics.count('stuck_rollouts', model=rollout.model)
        LOG.error(
            'the rollout of %s version %s is stuck: %s',
            *key,
            rollout.summarize(now),
        )

    def summarize(self) -> dict[str, object]:
        """Return the state of the rollouts, for a dump."""
        now = anyio.current_time()
        lease = self._keeper.lease
        return {
            'shard': self._keeper.name,
            'token': lease.token if lease is not None else 0,
            'staging_limit': self._window.limit,
            'rollouts': [r.summarize(now) for r in self._rollouts.values()],
        }
