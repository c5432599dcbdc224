"""The base class of daemons: shared state, an HTTP listener and shutdown."""

import abc
import collections.abc
import contextlib
import functools
import logging
import random

import anyio
import anyio.abc
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import settings
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web
from swiftjunction import weights

LOG = logging.getLogger(__name__)

Task = supervision.Task


def _get_name(task: Task) -> str:
    """Return the name of a task in logs and metrics."""
    if isinstance(task, functools.partial):
        return _get_name(task.func)
    return getattr(task, '__qualname__', type(task).__name__)


@contextlib.contextmanager
def _add_setting_to_errors(
    key: str, port: int
) -> collections.abc.Iterator[None]:
    """Name the setting in the error if its port cannot be opened."""
    try:
        yield
    except errors.SettingsError as error:
        raise errors.SettingsError(
            [
                f'{key} = {port}: {problem}; must be a free port on this VM'
                for problem in error.problems
            ]
        ) from error


class Daemon(abc.ABC):
    """A process that serves HTTP and replicates records with other daemons.

    Parameters
    ----------
    config : Settings
        The VM's settings.
    kind : str
        ``entry``, ``rollout`` or ``conductor``.
    port, link_port : int
        The ports for HTTP and for messages between daemons.
    seed : int
        The seed of the random number generator.

    Raises
    ------
    SettingsError
        If one of the ports cannot be opened.
    """

    def __init__(
        self,
        config: settings.Settings,
        kind: str,
        port: int,
        link_port: int,
        seed: int = 0,
    ) -> None:
        self.config = config
        self.kind = kind
        self.rng = random.Random(f'{seed} {config.vm.name} {kind}')
        with _add_setting_to_errors(f'{kind}.port', port):
            self.client_policy = web.ClientPolicy(
                web.compute_client_limits(
                    config.vm.memory_mb * web.BYTES_PER_MIB,
                    config.vm.max_descriptors,
                )
            )
            self.listener = web.open_listener(
                config.vm.ip, port, self.client_policy
            )
        with _add_setting_to_errors(f'{kind}.link_port', link_port):
            self.transport = links.PeerTransport(
                config.format_link_address(link_port)
            )
        self.table = membership.RecordTable()
        self.processes = membership.ProcessList(self.table)
        self.tree = configuration.Tree(self.table)
        self.keys = configuration.KeyRing(
            self.table, config.conductor.administrator_sha256
        )
        self.directory = backends.Directory(self.table)
        self.version_tracker = weights.VersionTracker(self.table)
        self.metrics = telemetry.Metrics()
        self.supervisor = supervision.Supervisor(self.metrics)
        self.backend_clients = web.PeerClients()
        self.tls = (
            web.TlsContexts(config.tls) if config.tls is not None else None
        )
        # All daemons of a deployment serve either TLS or plain HTTP, so the
        # clients for other daemons follow this daemon's own TLS setting.
        self.daemon_clients = web.PeerClients(
            self.tls.client if self.tls is not None else None
        )
        self.platform_client = web.create_client(config.platform.objects)
        self.store = objectstore.ResilientObjectStore(
            objectstore.HttpObjectStore(self.platform_client),
            self.processes.count,
            self.rng,
            self.metrics.count,
        )
        self.announcement = membership.Announcement(
            self.table,
            membership.Process(
                config.vm.name,
                kind,
                self.listener.address,
                self.transport.address,
                config.vm.data_center,
                config.vm.region,
            ),
        )
        self.replicator = membership.Replicator(
            self.transport, self.table, self.rng
        )
        self.dump = telemetry.StateDump()
        self.dump.add('process', lambda: self.announcement.process)
        self.dump.add('configuration', self.tree.list_versions)
        self.dump.add('servers', self.directory.summarize)
        self.dump.add('latencies', self.metrics.summarize)
        self.dump.add('clients', self.client_policy.summarize)
        self.dump.add('relays', self.replicator.list_relay_peers)
        self.dump.add('links', self.transport.count_dropped)
        self.dump.add('traffic', lambda: self.transport.traffic)
        self.dump.add('object API', self.store.summarize)
        self.metrics.add_gauge(
            'platform_outage_seconds', self.store.outage_seconds
        )
        self._stopping = anyio.Event()

    @property
    def name(self) -> str:
        """Return the name that identifies this process in the deployment."""
        return f'{self.config.vm.name}/{self.kind}'

    def join(self, addresses: set[str]) -> None:
        """Replicate records with the processes at `addresses`."""
        self.replicator.set_relay_peers(addresses)
        self.replicator.set_comparison_peers(addresses)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped, then complete the requests in flight."""
        LOG.info('%s is listening on %s', self.name, self.listener.address)
        try:
            async with anyio.create_task_group() as tasks:
                for task in [*self._list_own_tasks(), *self.list_tasks()]:
                    tasks.start_soon(
                        self.supervisor.run_essential, _get_name(task), task
                    )
                async with anyio.create_task_group() as server_tasks:
                    server_tasks.start_soon(
                        self.listener.serve,
                        self.build_app(),
                        self.tls.server if self.tls is not None else None,
                    )
                    await self._stopping.wait()
                    self.announcement.set_state('draining')
                    await self.drain()
                    self.listener.close()
                tasks.cancel_scope.cancel()
        finally:
            await self.close()
        LOG.info('%s has stopped', self.name)

    def _list_own_tasks(self) -> list[Task]:
        tasks: list[Task] = [
            functools.partial(self.transport.run, self.replicator.handle),
            self.replicator.run,
            self.directory.loop_lag.run,
        ]
        if self.tls is not None:
            tasks.append(self.tls.run)
        return tasks

    async def close(self) -> None:
        """Close the sockets."""
        with anyio.CancelScope(shield=True):
            await self.backend_clients.close()
            await self.daemon_clients.close()
            await self.platform_client.aclose()
        self.transport.close()

    async def drain(self) -> None:
        """Wait until callers no longer use this process's address."""

    @abc.abstractmethod
    def build_app(self) -> collections.abc.Callable:
        """Return the HTTP application."""

    def list_tasks(
        self,
    ) -> list[Task]:
        """Return the background tasks that run with the HTTP application."""
        return []

    def list_common_routes(self) -> list[starlette.routing.Route]:
        """Return the routes that every daemon serves."""
        route = starlette.routing.Route
        return [
            route('/health', self._show_health),
            route('/metrics', self._show_metrics),
            route('/dump', self._show_dump),
            route('/in-force', self._show_active_revisions),
        ]

    async def _show_health(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json({'state': self.announcement.process.state})

    async def _show_metrics(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.Response(
            self.metrics.render(), media_type='text/plain; version=0.0.4'
        )

    async def _show_active_revisions(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json(self.tree.list_active_revisions())

    async def _show_dump(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        try:
            self.keys.identify_operator(web.read_bearer_token(request))
        except errors.KeyRefused as error:
            return web.respond_json(
                {'outcome': 'refused', 'message': error.message}, status=403
            )
        return starlette.responses.Response(
            self.dump.render(), media_type='application/json'
        )
