"""``swiftjunction-conductor``: maintains shared state, controls engines."""

import collections.abc

import anyio
import starlette.applications

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.daemons import _active_revisions
from swiftjunction.daemons import _control
from swiftjunction.daemons import _daemon
from swiftjunction.daemons import _listing
from swiftjunction.daemons import _servers
from swiftjunction.daemons import _shards
from swiftjunction.daemons import _spool
from swiftjunction.daemons import _watches
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import placement
from swiftjunction import settings
from swiftjunction import web
from swiftjunction import weights

VM_LIST_POLLERS = 2


class ConductorDaemon(_daemon.Daemon):
    """Maintains the shared records of its VM and sends orders to engines."""

    def __init__(self, config: settings.Settings, seed: int = 0) -> None:
        own = config.conductor
        super().__init__(config, 'conductor', own.port, own.link_port, seed)
        self._vm_client = web.create_client(config.platform.vms)
        self._engines = backends.EngineClient(self.backend_clients)
        self._vm_poller = _listing.VmListPoller(
            objectstore.VmList(self._vm_client),
            self.table,
            lambda: self._agent.find_rank('vm list', VM_LIST_POLLERS),
        )
        self._agent = membership.MembershipAgent(
            self.announcement,
            self.transport,
            self.table,
            self.processes,
            self.replicator,
            {
                config.format_link_address(config.entry.link_port),
                config.format_link_address(config.rollout.link_port),
            },
            lambda: set(own.seeds) | self._vm_poller.list_link_addresses(),
            self.rng,
        )
        self._prefix_watchers = [
            _watches.PrefixWatcher(
                self.store,
                prefix,
                self.table,
                self.rng,
                self._agent.is_watcher,
            )
            for prefix in (
                configuration.CONFIGURATION_PREFIX,
                configuration.KEYS_PREFIX,
                weights.WEIGHTS_PREFIX,
                placement.PLACEMENT_PREFIX,
            )
        ]
        self._server_monitor = _servers.ServerMonitor(
            config.vm.name,
            self.table,
            self.processes,
            self.tree,
            self.backend_clients,
        )
        self._control_app = _control.ControlApp(
            configuration.Editor(self.store),
            weights.Publisher(self.store),
            self.tree,
            self.keys,
            configuration.KeyEditor(self.store),
            _active_revisions.RevisionCollector(
                self.processes, self.daemon_clients
            ),
        )
        self._shard_controller = _shards.ShardController(
            config.vm.name,
            self.name,
            self.store,
            self.table,
            self.processes,
            self.tree,
            self.directory,
            self.version_tracker,
            self._engines,
            self.metrics,
        )
        self._announce_spool()
        self.dump.add('watched', self._server_monitor.list_owned)
        self.dump.add(
            'platform', lambda: [w.reachable for w in self._prefix_watchers]
        )
        self.dump.add('orders', self._shard_controller.summarize)
        self.dump.add('placement', self._shard_controller.summarize_plan)

    def _announce_spool(self) -> None:
        process = _spool.describe_spool(self.config)
        if process is not None:
            membership.Announcement(self.table, process)

    def build_app(self) -> collections.abc.Callable:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                *self._control_app.list_routes(),
                *self.list_common_routes(),
            ]
        )

    def list_tasks(
        self,
    ) -> list[_daemon.Task]:
        """Return the watches of the object store and the control loops."""
        return [
            *(watcher.run for watcher in self._prefix_watchers),
            self._vm_poller.run,
            self._server_monitor.run,
            self._agent.run,
            self._shard_controller.run,
        ]

    async def close(self) -> None:
        """Close the sockets."""
        with anyio.CancelScope(shield=True):
            await self._vm_client.aclose()
        await super().close()
