"""Relay tree, probe targets and watchers of the object store.

All of them are computed from the list of live conductors alone, so that
daemons with the same list agree without coordination. While lists differ,
probes and comparisons of records compensate for it.
"""

import collections.abc

from swiftjunction.membership import _processes
from swiftjunction.membership import _rendezvous

RELAY_FAN_OUT = 4
PROBERS_PER_PROCESS = 3
WATCHERS_PER_REGION = 2

Processes = collections.abc.Iterable[_processes.Process]


def find_relay_neighbours(
    own: _processes.Process, conductors: Processes
) -> list[_processes.Process]:
    """Return the neighbours of `own` in the relay tree.

    The conductors of a data centre form a tree of bounded fan-out. In each
    region, the roots of these trees form a tree. The roots of the trees of the
    regions form another one. Thus each record enters each data centre and each
    region only once.
    """
    members = _include_own(own, conductors)
    local = [
        p for p in members if _get_data_center(p) == _get_data_center(own)
    ]
    regions = [
        _order_region_roots(group)
        for group in _group_members(members, _get_region)
    ]
    trees = [
        _order_members('relay', local),
        next(ranked for ranked in regions if ranked[0].region == own.region),
        # All regions. The word is hashed, and selects the tree.
        _order_members('world', [ranked[0] for ranked in regions]),
    ]
    neighbours = {
        p.name: p
        for tree in trees
        if own in tree
        for p in _find_tree_neighbours(own, tree)
    }
    return list(neighbours.values())


def find_probe_targets(
    own: _processes.Process, conductors: Processes
) -> list[_processes.Process]:
    """Return the conductors that follow `own` on a ring in order of hashes.

    These are ``PROBERS_PER_PROCESS``, or all others if there are fewer.
    """
    ring = _order_members('probe', _include_own(own, conductors))
    index = ring.index(own)
    count = min(PROBERS_PER_PROCESS, len(ring) - 1)
    return [
        ring[(index + offset) % len(ring)] for offset in range(1, count + 1)
    ]


def find_watchers(
    region: str, conductors: Processes, count: int = WATCHERS_PER_REGION
) -> list[str]:
    """Return the VMs that watch the object store for `region`, by rank."""
    vms = [p.vm for p in conductors if p.region == region]
    return _rendezvous.rank_owners(f'watch/{region}', vms)[:count]


def _include_own(
    own: _processes.Process, conductors: Processes
) -> list[_processes.Process]:
    members = {p.name: p for p in conductors}
    members[own.name] = own
    return list(members.values())


def _order_members(
    purpose: str, members: Processes
) -> list[_processes.Process]:
    by_name = {p.name: p for p in members}
    # Each purpose has its own order, so that the members that relay to many
    # others are not the ones that probe each other.
    ordered_names = _rendezvous.rank_owners(purpose, by_name)
    return [by_name[name] for name in ordered_names]


def _order_region_roots(members: Processes) -> list[_processes.Process]:
    """Return the root of each data centre of a region, in order of rank."""
    groups = _group_members(members, _get_data_center)
    return _order_members(
        'region', [_order_members('relay', group)[0] for group in groups]
    )


def _group_members(
    members: Processes,
    get_group: collections.abc.Callable[
        [_processes.Process], collections.abc.Hashable
    ],
) -> list[list[_processes.Process]]:
    groups: dict[collections.abc.Hashable, list[_processes.Process]] = {}
    for process in members:
        groups.setdefault(get_group(process), []).append(process)
    return list(groups.values())


def _get_data_center(process: _processes.Process) -> tuple[str, str]:
    return process.region, process.data_center


def _get_region(process: _processes.Process) -> str:
    return process.region


def _find_tree_neighbours(
    own: _processes.Process, tree: list[_processes.Process]
) -> collections.abc.Iterator[_processes.Process]:
    index = tree.index(own)
    if index > 0:
        yield tree[(index - 1) // RELAY_FAN_OUT]
    first_child = index * RELAY_FAN_OUT + 1
    yield from tree[first_child : first_child + RELAY_FAN_OUT]
