"""Detects dead processes by direct and indirect probes."""

import collections.abc
import logging
import random

import anyio
import anyio.abc

from swiftjunction import links
from swiftjunction.membership import _processes

LOG = logging.getLogger(__name__)

PROBE_INTERVAL_SECONDS = 0.75
PROBE_TIMEOUT_SECONDS = 0.7
CONFIRMATION_ROUND_SECONDS = 0.5
CONFIRMATION_ROUNDS = 5
# A longer round is not counted: this process was slow, so the one that it
# probes may be fine.
MAX_ROUND_SECONDS = 0.7
INDIRECT_PROBES = 2

ListProcesses = collections.abc.Callable[[], list[_processes.Process]]
ReportDead = collections.abc.Callable[[_processes.Process], None]


class Prober:
    """Probes a few processes and reports those that are dead.

    A process that does not acknowledge a probe is probed in several more
    rounds, also indirectly through other processes, and reported only if it
    acknowledges none of them. Rounds in which this process itself was
    slow do not count, so that a paused or overloaded prober reports nobody.

    Parameters
    ----------
    transport : MessageTransport
        Sends the probes.
    list_targets : callable
        Returns the processes to probe at present.
    list_helpers : callable
        Returns the processes that can send indirect probes.
    report_dead : callable
        Called with each process that is found dead.
    rng : random.Random
        Selects helpers and the start of each probe task.

    Attributes
    ----------
    suspicions : int
        How often a first probe was not acknowledged in time.
    """

    __slots__ = (
        '_acked_at',
        '_list_helpers',
        '_list_targets',
        '_probe_scopes',
        '_report_dead',
        '_rng',
        '_transport',
        'suspicions',
    )

    def __init__(
        self,
        transport: links.MessageTransport,
        list_targets: ListProcesses,
        list_helpers: ListProcesses,
        report_dead: ReportDead,
        rng: random.Random,
    ) -> None:
        self._transport = transport
        self._list_targets = list_targets
        self._list_helpers = list_helpers
        self._report_dead = report_dead
        self._rng = rng
        self._probe_scopes: dict[str, anyio.CancelScope] = {}
        self._acked_at: dict[str, float] = {}
        self.suspicions = 0

    async def run(self) -> None:
        """Probe each target in its own task until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                targets = {p.link: p for p in self._list_targets()}
                for link in set(self._probe_scopes) - set(targets):
                    self._probe_scopes.pop(link).cancel()
                    self._acked_at.pop(link, None)
                for link in set(targets) - set(self._probe_scopes):
                    self._probe_scopes[link] = anyio.CancelScope()
                    tasks.start_soon(
                        self._probe_periodically,
                        targets[link],
                        self._probe_scopes[link],
                    )
                await anyio.sleep(PROBE_INTERVAL_SECONDS / 2)

    def record_ack(self, ack: links.Ack) -> None:
        """Record the acknowledgement of a probe."""
        self._acked_at[ack.target] = anyio.current_time()

    async def _probe_periodically(
        self, target: _processes.Process, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await anyio.sleep(self._rng.uniform(0, PROBE_INTERVAL_SECONDS))
            while True:
                sent_at = anyio.current_time()
                self._ping(target)
                await anyio.sleep(PROBE_TIMEOUT_SECONDS)
                if not self._has_acked_since(target, sent_at):
                    await self._confirm_failure(target, sent_at)
                elapsed_seconds = anyio.current_time() - sent_at
                await anyio.sleep(
                    max(0.0, PROBE_INTERVAL_SECONDS - elapsed_seconds)
                )

    async def _confirm_failure(
        self, target: _processes.Process, since: float
    ) -> None:
        self.suspicions += 1
        rounds = 0
        while rounds < CONFIRMATION_ROUNDS:
            started_at = anyio.current_time()
            self._ping(target)
            self._ping_indirectly(target)
            self._ping_itself()
            await anyio.sleep(CONFIRMATION_ROUND_SECONDS)
            if self._has_acked_since(target, since):
                return
            if self._was_responsive(started_at):
                rounds += 1
        LOG.warning(
            '%s does not acknowledge probes; declaring it dead', target.name
        )
        self._report_dead(target)

    def _ping(self, target: _processes.Process) -> None:
        self._transport.post(links.Ping(self._transport.address), target.link)

    def _ping_indirectly(self, target: _processes.Process) -> None:
        helpers = [p for p in self._list_helpers() if p.link != target.link]
        count = min(INDIRECT_PROBES, len(helpers))
        request = links.PingRequest(self._transport.address, target.link)
        for helper in self._rng.sample(helpers, count):
            self._transport.post(request, helper.link)

    def _ping_itself(self) -> None:
        own = self._transport.address
        self._transport.post(links.Ping(own), own)

    def _was_responsive(self, started_at: float) -> bool:
        """Return whether this process was not too slow during a round.

        Its timers may be on time while acknowledgements wait unread in its
        socket. A ping to itself is queued behind them.
        """
        own_acked_at = self._acked_at.get(self._transport.address, -1.0)
        elapsed_seconds = anyio.current_time() - started_at
        return (
            own_acked_at >= started_at and elapsed_seconds < MAX_ROUND_SECONDS
        )

    def _has_acked_since(
        self, target: _processes.Process, since: float
    ) -> bool:
        return self._acked_at.get(target.link, -1.0) >= since
