"""Who relays to whom, who probes whom, and who watches the platform.

All of it is worked out from the list of live conductors alone, so that
daemons which know the same members agree without a word. Where their lists
differ for a moment, probes and comparisons make up for it.
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
    """Return the members next to `own` in the relay tree.

    The members of a data centre form a tree of bounded fan-out. The roots of
    a region's data centres form one too, and so do the roots of the regions.
    So each record crosses each distance once.
    """
    members = _include(own, conductors)
    local = [
        p for p in members if _name_data_center(p) == _name_data_center(own)
    ]
    regions = [_rank_region(g) for g in _group(members, _name_region)]
    levels = [
        _rank('relay', local),
        next(r for r in regions if r[0].region == own.region),
        _rank('world', [ranked[0] for ranked in regions]),
    ]
    found = {
        p.name: p
        for level in levels
        if own in level
        for p in _find_in_tree(own, level)
    }
    return list(found.values())


def find_probe_targets(
    own: _processes.Process, conductors: Processes
) -> list[_processes.Process]:
    """Return the members that `own` probes: the next ones on a hashed ring."""
    ring = _rank('probe', _include(own, conductors))
    place = ring.index(own)
    count = min(PROBERS_PER_PROCESS, len(ring) - 1)
    return [ring[(place + step) % len(ring)] for step in range(1, count + 1)]


def find_watchers(
    region: str, conductors: Processes, count: int = WATCHERS_PER_REGION
) -> list[str]:
    """Return the VMs that watch the platform for `region`, first one first."""
    vms = [p.vm for p in conductors if p.region == region]
    return _rendezvous.rank_owners(f'watch/{region}', vms)[:count]


def _include(
    own: _processes.Process, conductors: Processes
) -> list[_processes.Process]:
    members = {p.name: p for p in conductors}
    members[own.name] = own
    return list(members.values())


def _rank(purpose: str, members: Processes) -> list[_processes.Process]:
    by_name = {p.name: p for p in members}
    # The order differs with the purpose, so that the members that relay much
    # are not the ones that probe each other.
    order = _rendezvous.rank_owners(purpose, by_name)
    return [by_name[name] for name in order]


def _rank_region(members: Processes) -> list[_processes.Process]:
    """Order the first members of a region's data centres."""
    groups = _group(members, _name_data_center)
    return _rank('region', [_rank('relay', group)[0] for group in groups])


def _group(
    members: Processes,
    name_group: collections.abc.Callable[
        [_processes.Process], collections.abc.Hashable
    ],
) -> list[list[_processes.Process]]:
    groups: dict[collections.abc.Hashable, list[_processes.Process]] = {}
    for process in members:
        groups.setdefault(name_group(process), []).append(process)
    return list(groups.values())


def _name_data_center(process: _processes.Process) -> tuple[str, str]:
    return process.region, process.data_center


def _name_region(process: _processes.Process) -> str:
    return process.region


def _find_in_tree(
    own: _processes.Process, level: list[_processes.Process]
) -> collections.abc.Iterator[_processes.Process]:
    place = level.index(own)
    if place > 0:
        yield level[(place - 1) // RELAY_FAN_OUT]
    first = place * RELAY_FAN_OUT + 1
    yield from level[first : first + RELAY_FAN_OUT]
