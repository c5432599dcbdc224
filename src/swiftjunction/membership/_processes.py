"""The processes of the deployment, each with the record that announces it."""

import collections.abc
import logging

import msgspec

from swiftjunction import decoding
from swiftjunction import links
from swiftjunction.membership import _records

LOG = logging.getLogger(__name__)

PROCESS_PREFIX = 'process/'


class Process(msgspec.Struct, frozen=True):
    """One process of the deployment.

    Attributes
    ----------
    kind : str
        ``entry`` (serves the requests of callers), ``rollout`` (serves the
        steps of trainers), ``conductor`` (maintains the shared records and
        controls engines) or ``spool`` (stores complete samples).
    address : str
        ``ip:port`` where it serves requests.
    link : str
        ``ip:port`` where it receives messages from other daemons; empty for
        a spool.
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
        """Return the unique name of the process."""
        return f'{self.vm}/{self.kind}'


class ProcessList:
    """The known processes, updated from the shared records.

    Parameters
    ----------
    table : RecordTable
        The shared records.

    Attributes
    ----------
    change_count : int
        The number of updates so far.
    """

    __slots__ = ('_processes', 'change_count')

    def __init__(self, table: _records.RecordTable) -> None:
        self._processes: dict[str, Process] = {}
        self.change_count = 0
        table.listen(PROCESS_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        process = decoding.decode_msgpack(record.value, Process)
        self._processes[process.name] = process
        self.change_count += 1

    def get(self, name: str) -> Process | None:
        """Return the process called `name`, if known."""
        return self._processes.get(name)

    def list_all(self) -> list[Process]:
        """Return all processes, in any state."""
        return list(self._processes.values())

    def count(self) -> int:
        """Return the number of known processes that are not dead."""
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
    """Declare a process dead, and with a conductor all processes of its VM.

    Without their conductor, the other processes of the VM depend on the
    conductor of another VM for shared state. Each of them that is still
    running replaces its record, and is live again.
    """
    for process in processes.list_all():
        if process.name == dead.name or (
            dead.kind == 'conductor' and process.vm == dead.vm
        ):
            dead_process = msgspec.structs.replace(process, state='dead')
            table.put(
                f'{PROCESS_PREFIX}{process.name}',
                msgspec.msgpack.encode(dead_process),
            )


class Announcement:
    """Announces this process and replaces outdated records of it.

    Other daemons may write its record as well: when they declare this process
    dead, or when they still have the record of an earlier run. Any such record
    is replaced by one of a higher version, so the process needs neither a
    synchronised clock nor stored state of earlier runs.

    Parameters
    ----------
    table : RecordTable
        The shared records.
    process : Process
        The process to announce.
    """

    __slots__ = ('_process', '_table')

    def __init__(self, table: _records.RecordTable, process: Process) -> None:
        self._table = table
        self._process = process
        self._write_record()
        table.listen(f'{PROCESS_PREFIX}{process.name}', self._replace_outdated)

    @property
    def process(self) -> Process:
        """Return the process as it is announced."""
        return self._process

    def set_state(self, state: str) -> None:
        """Announce that this process is in `state`."""
        self._process = msgspec.structs.replace(self._process, state=state)
        self._write_record()

    def _write_record(self) -> None:
        value = msgspec.msgpack.encode(self._process)
        self._table.put(f'{PROCESS_PREFIX}{self._process.name}', value)

    def _replace_outdated(self, record: links.Record) -> None:
        if record.value != msgspec.msgpack.encode(self._process):
            LOG.info('replacing an outdated record of this process')
            self._write_record()
