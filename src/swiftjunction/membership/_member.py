"""One conductor's part in the membership."""

import bisect
import collections.abc
import random
import typing

import anyio

from swiftjunction import links
from swiftjunction.membership import _exchange
from swiftjunction.membership import _probing
from swiftjunction.membership import _processes
from swiftjunction.membership import _records
from swiftjunction.membership import _rendezvous
from swiftjunction.membership import _topology

PEER_INTERVAL_SECONDS = 0.5

T = typing.TypeVar('T')

LOCAL_KINDS = ('entry', 'rollout')

Addresses = collections.abc.Callable[[], set[str]]


class MembershipAgent:
    """Follows the other members, probes some and relays to some.

    Parameters
    ----------
    announcement : Announcement
        This conductor's own.
    transport : MessageTransport
        Takes messages to others.
    table : RecordTable
        The records of this daemon.
    processes : ProcessList
        What the records say of processes.
    replicator : Replicator
        Is told whom to relay to.
    local_links : set of str
        Link addresses of the other processes of this VM.
    list_seeds : callable
        Returns link addresses to begin with, from settings and VM list.
    rng : random.Random
        Chooses helpers of probes.
    """

    __slots__ = (
        '_announcement',
        '_replicator',
        '_known',
        '_known_changes',
        '_list_seeds',
        '_local_links',
        '_processes',
        'prober',
    )

    def __init__(
        self,
        announcement: _processes.Announcement,
        transport: links.MessageTransport,
        table: _records.RecordTable,
        processes: _processes.ProcessList,
        replicator: _exchange.Replicator,
        local_links: set[str],
        list_seeds: Addresses,
        rng: random.Random,
    ) -> None:
        self._announcement = announcement
        self._processes = processes
        self._replicator = replicator
        self._local_links = local_links
        self._list_seeds = list_seeds
        self._known: dict[str, typing.Any] = {}
        self._known_changes = -1
        self.prober = _probing.Prober(
            transport,
            self._list_targets,
            self._list_live,
            lambda dead: _processes.declare_dead(table, processes, dead),
            rng,
        )
        replicator.set_ack_listener(self.prober.record_ack)
        self._set_peers()

    async def run(self) -> None:
        """Follow the membership until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.prober.run)
            seen = (-1, set[str]())
            while True:
                found = (self._processes.change_count, self._list_seeds())
                if found != seen:
                    seen = found
                    self._set_peers()
                await anyio.sleep(PEER_INTERVAL_SECONDS)

    def is_watcher(self) -> bool:
        """Tell whether this is one of the few that watch the platform."""
        own = self._announcement.process
        return own.vm in self._recall(
            'watchers',
            lambda: _topology.find_watchers(own.region, self._list_live()),
        )

    def find_rank(self, purpose: str, count: int) -> int | None:
        """Return this VM's rank among `count` chosen for `purpose`."""
        own = self._announcement.process
        ranked = self._recall(
            purpose,
            lambda: _rendezvous.rank_owners(
                purpose, [p.vm for p in self._list_live()]
            )[:count],
        )
        return ranked.index(own.vm) if own.vm in ranked else None

    def _list_live(self) -> list[_processes.Process]:
        return self._recall(
            'live', lambda: list(self._processes.select('conductor'))
        )

    def _recall(
        self, name: str, work_out: collections.abc.Callable[[], T]
    ) -> T:
        """Return what was worked out since the processes last changed.

        Working it out takes a millisecond at 400 members, and is asked for
        several times a second.
        """
        if self._processes.change_count != self._known_changes:
            self._known.clear()
            self._known_changes = self._processes.change_count
        if name not in self._known:
            self._known[name] = work_out()
        return self._known[name]

    def _set_peers(self) -> None:
        """Follow the relay tree, and compare records with anyone known.

        Those taken for dead are among them: that is how the two sides of a
        cut find each other again.
        """
        own = self._announcement.process
        relays = {
            p.link
            for p in _topology.find_relay_neighbours(own, self._list_live())
        }
        known = {
            p.link for p in self._processes.list_all() if p.kind == own.kind
        }
        seeds = self._list_seeds()
        if known <= {own.link}:
            relays |= seeds
        self._replicator.set_relay_peers(
            self._local_links | relays | self._find_backed_up()
        )
        self._replicator.set_sync_peers(known | seeds)

    def _find_backed_up(self) -> set[str]:
        """Return the links of another VM's processes that learn here too.

        A process whose own conductor is paused would go on with old versions
        and settings, and know nothing of it. So the next conductor, in order
        of the VMs' names, sends it every change as well.
        """
        own = self._announcement.process
        vms = sorted({p.vm for p in self._list_live()} | {own.vm})
        return {
            process.link
            for kind in LOCAL_KINDS
            for process in self._processes.select(kind)
            if process.vm != own.vm
            and vms[bisect.bisect_right(vms, process.vm) % len(vms)] == own.vm
        }

    def _list_targets(self) -> list[_processes.Process]:
        own = self._announcement.process
        beside = [
            process
            for kind in LOCAL_KINDS
            if (process := self._processes.get(f'{own.vm}/{kind}')) is not None
            and process.state == 'live'
        ]
        ring = self._recall(
            'ring',
            lambda: _topology.find_probe_targets(own, self._list_live()),
        )
        return [*ring, *beside]
