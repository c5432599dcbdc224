"""The processes of the system, as each announces itself."""

import collections.abc
import logging

import msgspec

from swiftjunction import links
from swiftjunction.membership import _records

LOG = logging.getLogger(__name__)

PROCESS_PREFIX = 'process/'


class Process(msgspec.Struct, frozen=True):
    """One process of the system.

    Attributes
    ----------
    kind : str
        ``entry``, ``rollout``, ``conductor`` or ``spool``.
    address : str
        ``ip:port`` where it serves.
    link : str
        ``ip:port`` where it takes messages; empty for a spool.
    state : str
        ``live``, ``draining`` or ``dead``.
    """

    vm: str
    kind: str
    address: str
    link: str
    data_center: str
    region: str
    state: str = 'live'

    @property
    def name(self) -> str:
        """Name the process among all processes."""
        return f'{self.vm}/{self.kind}'


class ProcessList:
    """The processes known here, read from the shared records.

    Parameters
    ----------
    table : RecordTable
        The records of this daemon.
    """

    __slots__ = ('_processes', 'change_count')

    def __init__(self, table: _records.RecordTable) -> None:
        self._processes: dict[str, Process] = {}
        self.change_count = 0
        table.listen(PROCESS_PREFIX, self._learn)

    def _learn(self, record: links.Record) -> None:
        process = msgspec.msgpack.decode(record.value, type=Process)
        self._processes[process.name] = process
        self.change_count += 1

    def get(self, name: str) -> Process | None:
        """Return the process called `name`, if known."""
        return self._processes.get(name)

    def list_all(self) -> list[Process]:
        """Return every process, whatever its state."""
        return list(self._processes.values())

    def count(self) -> int:
        """Return how many processes are known that have not died."""
        return sum(p.state != 'dead' for p in self._processes.values())

    def select(
        self, kind: str, state: str = 'live'
    ) -> collections.abc.Iterator[Process]:
        """Yield the processes of one kind that are in `state`."""
        for process in self._processes.values():
            if process.kind == kind and process.state == state:
                yield process


def declare_dead(
    table: _records.RecordTable, processes: ProcessList, dead: Process
) -> None:
    """Write that a process is dead, and with a conductor all of its VM.

    The conductor vouches for the other processes of its VM: without it they
    have no shared state. Any of them that lives after all refutes it.
    """
    for process in processes.list_all():
        if process.name == dead.name or (
            dead.kind == 'conductor' and process.vm == dead.vm
        ):
            gone = msgspec.structs.replace(process, state='dead')
            table.put(
                f'{PROCESS_PREFIX}{process.name}',
                msgspec.msgpack.encode(gone),
            )


class Announcement:
    """Keeps this process's own record true.

    Others may write it too, when they take this process for dead or when
    they still hold what an earlier run of it announced. Whatever they write
    is answered with a higher version, so the process needs no clock and no
    memory of earlier runs.

    Parameters
    ----------
    table : RecordTable
        The records of this daemon.
    process : Process
        What to announce.
    """

    __slots__ = ('_process', '_table')

    def __init__(self, table: _records.RecordTable, process: Process) -> None:
        self._table = table
        self._process = process
        self._write()
        table.listen(f'{PROCESS_PREFIX}{process.name}', self._refute)

    @property
    def process(self) -> Process:
        """Return what is announced."""
        return self._process

    def set_state(self, state: str) -> None:
        """Announce another state."""
        self._process = msgspec.structs.replace(self._process, state=state)
        self._write()

    def _write(self) -> None:
        value = msgspec.msgpack.encode(self._process)
        self._table.put(f'{PROCESS_PREFIX}{self._process.name}', value)

    def _refute(self, record: links.Record) -> None:
        if record.value != msgspec.msgpack.encode(self._process):
            LOG.info('refuting a false announcement of this process')
            self._write()
