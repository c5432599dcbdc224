"""Copies the platform's VM list to the shared records for all conductors."""

import collections.abc
import logging

import anyio
import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

VM_PREFIX = 'vm/'
REMOVED_STATE = 'removed'
READ_INTERVAL_SECONDS = 1.0
ROLE_CHECK_INTERVAL_SECONDS = 0.5
# The conductor of rank 1 writes a difference only if the one of rank 0 has not
# written it after this number of reads.
BACKUP_DELAY_READS = 3
# When the lag of the list grows, the list may temporarily lack VMs that it
# showed before. The delay is harmless, since health checks detect that a VM
# is gone.
REMOVAL_DELAY_READS = 5


class VmListPoller:
    """Maintains a record of each listed VM.

    Two conductors read the list, for redundancy. The one of rank 1 writes a
    difference only if it persists for several reads, so that the two do not
    overwrite each other's records while both work.

    Parameters
    ----------
    vms : VmList
        The platform's list.
    table : RecordTable
        The shared records.
    find_rank : callable
        Returns the rank of this conductor among those that read the list, 0
        for the first; None if it does not read the list.
    """

    __slots__ = (
        '_difference_reads',
        '_find_rank',
        '_table',
        '_vms',
        '_listed',
    )

    def __init__(
        self,
        vms: objectstore.VmList,
        table: membership.RecordTable,
        find_rank: collections.abc.Callable[[], int | None],
    ) -> None:
        self._vms = vms
        self._table = table
        self._find_rank = find_rank
        self._difference_reads: dict[str, int] = {}
        self._listed: dict[str, objectstore.Vm] = {}
        table.listen(VM_PREFIX, self._apply_record)

    async def run(self) -> None:
        """Read the list repeatedly while this conductor has a rank."""
        while True:
            rank = self._find_rank()
            if rank is None:
                self._difference_reads.clear()
                await anyio.sleep(ROLE_CHECK_INTERVAL_SECONDS)
                continue
            try:
                self.update_records(
                    await self._vms.read(), rank * BACKUP_DELAY_READS
                )
            except errors.PlatformUnavailable as error:
                LOG.debug('cannot read the VM list: %s', error)
            await anyio.sleep(READ_INTERVAL_SECONDS)

    def update_records(
        self, listed: list[objectstore.Vm], delay_reads: int
    ) -> None:
        """Write differences that persist for more than `delay_reads` reads."""
        target = {vm.name: vm for vm in listed}
        for name in set(self._listed) - set(target):
            gone = msgspec.structs.replace(
                self._listed[name], state=REMOVED_STATE
            )
            target[name] = gone
        difference_reads = {
            name: self._difference_reads.get(name, 0) + 1
            for name, vm in target.items()
            if vm != self._listed.get(name)
        }
        self._difference_reads = difference_reads
        for name, reads in list(difference_reads.items()):
            required_reads = delay_reads
            if target[name].state == REMOVED_STATE:
                required_reads += REMOVAL_DELAY_READS
            if reads > required_reads:
                del self._difference_reads[name]
                self._table.put(
                    f'{VM_PREFIX}{name}',
                    msgspec.msgpack.encode(target[name]),
                )

    def list_link_addresses(self) -> set[str]:
        """Return the link addresses of the listed ``swiftjunction`` VMs."""
        return {
            vm.address
            for vm in self._listed.values()
            if vm.service == 'swiftjunction'
        }

    def _apply_record(self, record: links.Record) -> None:
        vm = decoding.decode_msgpack(record.value, objectstore.Vm)
        if vm.state == REMOVED_STATE:
            self._listed.pop(vm.name, None)
        else:
            self._listed[vm.name] = vm
