"""``swiftjunction-spool``: stores finished samples."""

import pathlib

import anyio

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import settings
from swiftjunction import spool
from swiftjunction import telemetry


class SpoolDaemon:
    """Serves one spool, which the conductor of its VM announces.

    Raises
    ------
    SettingsError
        If the settings of this VM have no spool.
    """

    def __init__(self, config: settings.Settings) -> None:
        if config.spool is None:
            raise errors.SettingsError(
                ['spool: missing; the settings of this VM define no spool']
            )
        self._replier = links.Replier(
            config.format_link_address(config.spool.port)
        )
        store: spool.Store = spool.MemoryStore(config.spool.max_bytes)
        if config.spool.folder:
            store = spool.DiskStore(
                pathlib.Path(config.spool.folder), config.spool.max_bytes
            )
        self._server = spool.SpoolServer(self._replier, store)
        self.dump = telemetry.StateDump()
        self.dump.add('spool', store.summarize)
        self._stopping = anyio.Event()

    def stop(self) -> None:
        """Stop serving."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.run)
            await self._stopping.wait()
            tasks.cancel_scope.cancel()
        self._replier.close()


def describe_spool(config: settings.Settings) -> membership.Process | None:
    """Return the process to announce for a VM's spool, or None."""
    if config.spool is None:
        return None
    address = config.format_link_address(config.spool.port)
    return membership.Process(
        config.vm.name,
        'spool',
        address,
        '',
        config.vm.data_center,
        config.vm.region,
    )
