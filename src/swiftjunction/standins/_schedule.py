"""Schedules of faults, read from a file."""

import collections.abc

import anyio
import msgspec

from swiftjunction import settings
from swiftjunction.standins import _faults


class FaultEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault to set at a given time.

    Attributes
    ----------
    at_seconds : float
        Time since the start of the run.
    target : str
        Name of the stand-in: ``objects``, ``vms``, ``weights`` or the name of
        an engine or a server.
    fault : str
        Name of the fault.
    value : float
        Value to set; 0 disables the fault.
    """

    at_seconds: float
    target: str
    fault: str
    value: float = 1.0


class FaultSchedule(msgspec.Struct, forbid_unknown_fields=True):
    """All faults of a run, in any order."""

    faults: list[FaultEvent] = []


def read_schedule(path: str) -> FaultSchedule:
    """Read and check a schedule file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid.
    """
    return settings.read_struct(path, FaultSchedule)


async def run_schedule(
    schedule: FaultSchedule,
    targets: collections.abc.Mapping[str, _faults.FaultSwitches],
) -> None:
    """Set each fault of the schedule at its time.

    Parameters
    ----------
    schedule : FaultSchedule
        Faults to set.
    targets : dict of str to FaultSwitches
        Faults by the name of the stand-in. Events for other stand-ins are
        skipped.
    """
    started_at = anyio.current_time()
    for event in sorted(schedule.faults, key=lambda e: e.at_seconds):
        await anyio.sleep_until(started_at + event.at_seconds)
        if event.target in targets:
            targets[event.target].set(event.fault, event.value)
