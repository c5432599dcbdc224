"""Switches faults at set times, from a file."""

import collections.abc

import anyio
import msgspec

from swiftjunction import settings
from swiftjunction.standins import _faults


class FaultEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, switched at one time.

    Attributes
    ----------
    at_seconds : float
        After the start.
    target : str
        The stand-in: ``objects``, ``vms``, ``weights`` or a server's name.
    """

    at_seconds: float
    target: str
    fault: str
    value: float = 1.0


class FaultSchedule(msgspec.Struct, forbid_unknown_fields=True):
    """All faults of a run."""

    faults: list[FaultEvent] = []


def read_schedule(path: str) -> FaultSchedule:
    """Read and check a schedule file."""
    return settings.read_struct(path, FaultSchedule)


async def run_schedule(
    schedule: FaultSchedule,
    targets: collections.abc.Mapping[str, _faults.FaultSwitches],
) -> None:
    """Switch each fault of `targets` when its time has come."""
    started = anyio.current_time()
    for event in sorted(schedule.faults, key=lambda e: e.at_seconds):
        await anyio.sleep_until(started + event.at_seconds)
        if event.target in targets:
            targets[event.target].set(event.fault, event.value)
