"""Selects the peers of one conductor."""

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

PEER_UPDATE_INTERVAL_SECONDS = 0.5

T = typing.TypeVar('T')

# Besides conductors, the kinds of processes that have a link address.
LINKED_KINDS = ('entry', 'rollout')

ListAddresses = collections.abc.Callable[[], set[str]]


class MembershipAgent:
    """Selects the peers to probe, to relay to and to compare records with.

    The selection follows the list of processes. `find_rank` and `is_watcher`
    tell which tasks this VM performs for the deployment.

    Parameters
    ----------
    announcement : Announcement
        The announcement of this conductor.
    transport : MessageTransport
        Sends messages to other daemons.
    table : RecordTable
        The shared records.
    processes : ProcessList
        The processes that the records announce.
    replicator : Replicator
        Is told the addresses to relay changes to and compare records with.
    local_links : set of str
        Link addresses of the other processes on this VM.
    list_seeds : callable
        Returns the link addresses of seeds from the settings and the VM
        list.
    rng : random.Random
        Selects the processes that send indirect probes.
    """

    __slots__ = (
        '_announcement',
        '_cache',
        '_cached_change_count',
        '_list_seeds',
        '_local_links',
        '_processes',
        '_replicator',
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
        list_seeds: ListAddresses,
        rng: random.Random,
    ) -> None:
        self._announcement = announcement
        self._processes = processes
        self._replicator = replicator
        self._local_links = local_links
        self._list_seeds = list_seeds
        self._cache: dict[str, typing.Any] = {}
        self._cached_change_count = -1
        self.prober = _probing.Prober(
            transport,
            self._list_probe_targets,
            self._list_live,
            lambda dead: _processes.declare_dead(table, processes, dead),
            rng,
        )
        replicator.set_ack_listener(self.prober.record_ack)
        self._update_peers()

    async def run(self) -> None:
        """Probe and update the peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.prober.run)
            previous = (-1, set[str]())
            while True:
                current = (self._processes.change_count, self._list_seeds())
                if current != previous:
                    previous = current
                    self._update_peers()
                await anyio.sleep(PEER_UPDATE_INTERVAL_SECONDS)

    def is_watcher(self) -> bool:
        """Return whether this VM watches the object store for its region."""
        own = self._announcement.process
        return own.vm in self._compute_once(
            'watchers',
            lambda: _topology.find_watchers(own.region, self._list_live()),
        )

    def find_rank(self, purpose: str, count: int) -> int | None:
        """Return the rank of this VM for `purpose`, 0 for the first one.

        None if it is not among the first `count` VMs.
        """
        own = self._announcement.process
        ranked = self._compute_once(
            purpose,
            lambda: _rendezvous.rank_owners(
                purpose, [p.vm for p in self._list_live()]
            )[:count],
        )
        return ranked.index(own.vm) if own.vm in ranked else None

    def _list_live(self) -> list[_processes.Process]:
        return self._compute_once(
            'live', lambda: list(self._processes.select('conductor'))
        )

    def _compute_once(
        self, name: str, compute: collections.abc.Callable[[], T]
    ) -> T:
        """Return `compute()`, cached until the processes change.

        The computation takes about a millisecond with 400 conductors, and its
        result is needed several times a second.
        """
        if self._processes.change_count != self._cached_change_count:
            self._cache.clear()
            self._cached_change_count = self._processes.change_count
        if name not in self._cache:
            self._cache[name] = compute()
        return self._cache[name]

    def _update_peers(self) -> None:
        """Update the addresses to relay to and to compare records with.

        Records are also compared with conductors that were declared dead, so
        that both sides of a network partition compare theirs once it is over.
        """
        own = self._announcement.process
        relay_links = {
            p.link
            for p in _topology.find_relay_neighbours(own, self._list_live())
        }
        conductor_links = {
            p.link for p in self._processes.list_all() if p.kind == own.kind
        }
        seeds = self._list_seeds()
        if conductor_links <= {own.link}:
            relay_links |= seeds
        self._replicator.set_relay_peers(
            self._local_links | relay_links | self._find_backup_links()
        )
        self._replicator.set_comparison_peers(conductor_links | seeds)

    def _find_backup_links(self) -> set[str]:
        """Return the links of processes on the VM that this one backs up.

        A process whose own conductor is paused would continue with outdated
        weight versions and settings without noticing. Therefore the conductor
        of the next VM, in the order of the VM names, also sends it every
        change.
        """
        own = self._announcement.process
        vms = sorted({p.vm for p in self._list_live()} | {own.vm})
        return {
            process.link
            for kind in LINKED_KINDS
            for process in self._processes.select(kind)
            if process.vm != own.vm
            and vms[bisect.bisect_right(vms, process.vm) % len(vms)] == own.vm
        }

    def _list_probe_targets(self) -> list[_processes.Process]:
        own = self._announcement.process
        local_targets = [
            process
            for kind in LINKED_KINDS
            if (process := self._processes.get(f'{own.vm}/{kind}')) is not None
            and process.state == 'live'
        ]
        ring_targets = self._compute_once(
            'ring',
            lambda: _topology.find_probe_targets(own, self._list_live()),
        )
        return [*ring_targets, *local_targets]
