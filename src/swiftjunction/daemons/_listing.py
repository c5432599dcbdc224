"""Reads the VM list into the shared records, for all conductors."""

import collections.abc
import logging

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

VM_PREFIX = 'vm/'
REMOVED = 'removed'
LIST_INTERVAL_SECONDS = 1.0
ROLE_INTERVAL_SECONDS = 0.5
# How many reads the second reader waits before it writes what the first one
# has not written.
BACKUP_READS = 3
# A list that suddenly lags more may lack VMs that were there already. A VM
# that is gone does not answer its watch, so nothing waits for its removal.
REMOVAL_DELAY_READS = 5


class VmListPoller:
    """Keeps a record of each listed VM.

    Two conductors read the list. The second one writes a difference only
    when it has stood for some reads, so that the two do not overwrite each
    other while both work, and either one is enough.

    Parameters
    ----------
    vms : VmList
        The platform's list.
    table : RecordTable
        Where the records are.
    rank : callable
        Returns 0 for the first reader, 1 for the second, None for the rest.
    """

    __slots__ = ('_differing', '_rank', '_table', '_vms', '_listed')

    def __init__(
        self,
        vms: objectstore.VmList,
        table: membership.RecordTable,
        rank: collections.abc.Callable[[], int | None],
    ) -> None:
        self._vms = vms
        self._table = table
        self._rank = rank
        self._differing: dict[str, int] = {}
        self._listed: dict[str, objectstore.Vm] = {}
        table.listen(VM_PREFIX, self._learn)

    async def run(self) -> None:
        """Read the list while it is this conductor's part."""
        while True:
            rank = self._rank()
            if rank is None:
                self._differing.clear()
                await anyio.sleep(ROLE_INTERVAL_SECONDS)
                continue
            try:
                self.update_records(
                    await self._vms.read(), rank * BACKUP_READS
                )
            except errors.PlatformUnavailable as error:
                LOG.debug('%s', error)
            await anyio.sleep(LIST_INTERVAL_SECONDS)

    def update_records(
        self, listed: list[objectstore.Vm], delay_reads: int
    ) -> None:
        """Write what differs from the records for more than some reads."""
        wanted = {vm.name: vm for vm in listed}
        for name in set(self._listed) - set(wanted):
            gone = msgspec.structs.replace(self._listed[name], state=REMOVED)
            wanted[name] = gone
        differing = {
            name: self._differing.get(name, 0) + 1
            for name, vm in wanted.items()
            if vm != self._listed.get(name)
        }
        self._differing = differing
        for name, reads in list(differing.items()):
            needed = delay_reads
            if wanted[name].state == REMOVED:
                needed += REMOVAL_DELAY_READS
            if reads > needed:
                del self._differing[name]
                self._table.put(
                    f'{VM_PREFIX}{name}',
                    msgspec.msgpack.encode(wanted[name]),
                )

    def listed_links(self) -> set[str]:
        """Return the link addresses of this system's own VMs, as listed."""
        return {
            vm.address
            for vm in self._listed.values()
            if vm.service == 'swiftjunction'
        }

    def _learn(self, record: links.Record) -> None:
        vm = msgspec.msgpack.decode(record.value, type=objectstore.Vm)
        if vm.state == REMOVED:
            self._listed.pop(vm.name, None)
        else:
            self._listed[vm.name] = vm
