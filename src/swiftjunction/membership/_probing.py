"""Finds dead processes by probes, direct and through others."""

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
SUSPICION_STEP_SECONDS = 0.5
SUSPICION_STEPS = 5
# A step that took longer says that this process was slow, and nothing of
# the one that it probes.
SLOW_STEP_SECONDS = 0.7
INDIRECT_PROBES = 2

Targets = collections.abc.Callable[[], list[_processes.Process]]
Report = collections.abc.Callable[[_processes.Process], None]


class Prober:
    """Probes a few processes and reports those that are dead.

    A process that does not answer is suspected: it is probed several times
    more, also through other processes, and only when all of that stays
    without an answer is it reported. Steps in which this process itself was
    late do not count, so that a paused or overloaded prober accuses nobody.

    Parameters
    ----------
    transport : MessageTransport
        Takes the probes.
    list_targets : callable
        Returns whom to probe, now.
    list_helpers : callable
        Returns who may probe on behalf of this process.
    report_dead : callable
        Called with each process found dead.
    rng : random.Random
        Chooses helpers.
    """

    __slots__ = (
        '_transport',
        '_heard_at',
        '_list_helpers',
        '_list_targets',
        '_report_dead',
        '_rng',
        '_scopes',
        'suspicions',
    )

    def __init__(
        self,
        transport: links.MessageTransport,
        list_targets: Targets,
        list_helpers: Targets,
        report_dead: Report,
        rng: random.Random,
    ) -> None:
        self._transport = transport
        self._list_targets = list_targets
        self._list_helpers = list_helpers
        self._report_dead = report_dead
        self._rng = rng
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._heard_at: dict[str, float] = {}
        self.suspicions = 0

    async def run(self) -> None:
        """Probe until cancelled, one task for each target."""
        async with anyio.create_task_group() as tasks:
            while True:
                wanted = {p.link: p for p in self._list_targets()}
                for link in set(self._scopes) - set(wanted):
                    self._scopes.pop(link).cancel()
                    self._heard_at.pop(link, None)
                for link in set(wanted) - set(self._scopes):
                    self._scopes[link] = anyio.CancelScope()
                    tasks.start_soon(
                        self._probe_often, wanted[link], self._scopes[link]
                    )
                await anyio.sleep(PROBE_INTERVAL_SECONDS / 2)

    def record_ack(self, ack: links.Ack) -> None:
        """Take note that a process answered."""
        self._heard_at[ack.target] = anyio.current_time()

    async def _probe_often(
        self, target: _processes.Process, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await anyio.sleep(self._rng.uniform(0, PROBE_INTERVAL_SECONDS))
            while True:
                sent_at = anyio.current_time()
                self._ping(target)
                await anyio.sleep(PROBE_TIMEOUT_SECONDS)
                if not self._heard_since(target, sent_at):
                    await self._suspect(target, sent_at)
                passed = anyio.current_time() - sent_at
                await anyio.sleep(max(0.0, PROBE_INTERVAL_SECONDS - passed))

    async def _suspect(self, target: _processes.Process, since: float) -> None:
        self.suspicions += 1
        steps = 0
        while steps < SUSPICION_STEPS:
            began = anyio.current_time()
            self._ping(target)
            self._ping_through_others(target)
            self._ping_itself()
            await anyio.sleep(SUSPICION_STEP_SECONDS)
            if self._heard_since(target, since):
                return
            if self._was_quick(began):
                steps += 1
        LOG.warning('%s does not answer and is taken for dead', target.name)
        self._report_dead(target)

    def _ping(self, target: _processes.Process) -> None:
        self._transport.post(links.Ping(self._transport.address), target.link)

    def _ping_through_others(self, target: _processes.Process) -> None:
        helpers = [p for p in self._list_helpers() if p.link != target.link]
        count = min(INDIRECT_PROBES, len(helpers))
        request = links.PingRequest(self._transport.address, target.link)
        for helper in self._rng.sample(helpers, count):
            self._transport.post(request, helper.link)

    def _ping_itself(self) -> None:
        own = self._transport.address
        self._transport.post(links.Ping(own), own)

    def _was_quick(self, began: float) -> bool:
        """Tell whether this process was up to date in a step.

        Its timers may be on time while answers wait unread in its socket. A
        ping to itself waits behind them.
        """
        own_heard_at = self._heard_at.get(self._transport.address, -1.0)
        passed = anyio.current_time() - began
        return own_heard_at >= began and passed < SLOW_STEP_SECONDS

    def _heard_since(self, target: _processes.Process, since: float) -> bool:
        return self._heard_at.get(target.link, -1.0) >= since
