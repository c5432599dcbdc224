"""Runs the edge process, on each VM that serves callers."""

import logging
import os
import sys

import anyio
import anyio.abc
import msgspec

from swiftjunction import coordination
from swiftjunction.platform import _builds
from swiftjunction.platform import _components
from swiftjunction.platform import _inspection
from swiftjunction.platform import _listening
from swiftjunction.platform import _signals
from swiftjunction.platform import _stopping
from swiftjunction.platform import callers
from swiftjunction import supervision
from swiftjunction import web

LOG = logging.getLogger(__name__)

GRACE_CHECK_INTERVAL_SECONDS = 0.1
READY_CHECK_INTERVAL_SECONDS = 0.1
ROUTES_TASK = 'routes'
SERVERS_TASK = 'servers'
CONFIRMATION_TASK = 'confirmation'
REFRESHING_TASK = 'server list'
# While one of these fails, this VM may not learn in time which requests it may
# serve, and by which servers.
KNOWLEDGE_TASKS = (
    ROUTES_TASK,
    SERVERS_TASK,
    CONFIRMATION_TASK,
    REFRESHING_TASK,
)
MAX_FAILING_SECONDS = 1.0


class EdgeProgram(_components.EdgeComponents):
    """Runs the components of the edge process.

    Parameters
    ----------
    path : Path
        The settings file of this VM.
    metrics_port : int
        Port that serves metrics in addition to the peer port.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid.
    """

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then resign, drain and stop."""
        await _listening.wait_for_addresses(self._settings)
        # Before anything can connect to this VM and find it running.
        with _signals.receive() as signals:
            await self._serve(signals)

    async def _serve(self, signals: _signals.Signals) -> None:
        caller_listener = _listening.open_listener(
            self._settings, self._client_policies.callers
        )
        metrics_port = _listening.MetricsPort(
            self._settings.ip, self._metrics_port
        )
        metrics_sockets = metrics_port.open()
        peer_listener = web.HttpListener(
            web.bind_socket(self._settings.ip, self._settings.peer_port),
            *metrics_sockets,
            policy=self._client_policies.peers,
        )
        peer_app = coordination.PeerApp(
            self._status_source.build,
            self._store.direct,
            self._feed_sync,
            self._find_runner,
            self._permits,
        ).build()
        _inspection.InspectionEndpoints(self._metrics, self._dump).add_routes(
            peer_app
        )
        self._tunnels.open()
        datagrams = _listening.open_datagrams(self._settings)
        self._origins.connect(datagrams)
        self._coordinator.connect(datagrams)
        self._usage.connect(datagrams)
        poller = coordination.PeerPoller(
            datagrams,
            self._clients,
            self._members,
            self._feed_sync,
            self._status_source.build,
            self._directory.rates,
            self._confirmation,
            self._router,
            self._clock,
            self._server_list,
            self._supervisor,
        )
        phases = _stopping.ShutdownPhases(self._metrics)
        LOG.info(
            'started',
            extra={
                'front': self._settings.front,
                'pid': os.getpid(),
                'run': self._members.own.run,
                'python': sys.version.split()[0],
                'machine': os.uname().machine,
                'build': msgspec.to_builtins(_builds.read_origin()),
            },
        )
        async with anyio.create_task_group() as tasks:
            for name, task in self._list_tasks(datagrams, poller).items():
                tasks.start_soon(self._supervisor.run, name, task)
            if not metrics_sockets:
                tasks.start_soon(
                    self._supervisor.run,
                    'metrics',
                    lambda: metrics_port.serve_later(peer_app),
                )
            # Without these, the process serves nobody, or cannot be stopped.
            tasks.start_soon(
                self._supervisor.run_essential,
                'signals',
                lambda: _signals.handle(
                    signals,
                    self._settings_reloader.request,
                    self._stopping.set,
                    self._dump.request,
                ),
            )
            tasks.start_soon(
                self._supervisor.run_essential,
                'peer listener',
                lambda: peer_listener.serve(peer_app),
            )
            async with anyio.create_task_group() as caller_tasks:
                caller_tasks.start_soon(
                    self._supervisor.run_essential,
                    'caller listener',
                    lambda: caller_listener.serve(
                        callers.IngressApp(self._ingress)
                    ),
                )
                await self._stopping.wait()
                await self._drain(phases)
                phases.begin('answers')
                caller_listener.close()
            phases.begin('tasks')
            tasks.cancel_scope.cancel()
        phases.end()
        LOG.info('stopped', extra={'phases': phases.summarize()})

    def _list_tasks(
        self,
        datagrams: coordination.PeerDatagrams,
        poller: coordination.PeerPoller,
    ) -> dict[str, supervision.Task]:
        """Return the background tasks by their names in logs and metrics."""
        return {
            'datagrams': datagrams.run,
            ROUTES_TASK: lambda: self._feeds.follow_routes(
                self._active_routes
            ),
            SERVERS_TASK: lambda: self._feeds.follow_servers(
                self._delayed_removal
            ),
            CONFIRMATION_TASK: self._confirmer.run,
            REFRESHING_TASK: self._refresher.run,
            'crashes': self._crash_registry.run,
            'origins': self._origins.run,
            'usage': self._usage.run,
            'removals': self._delayed_removal.run,
            'connections': self._connection_cleaner.run,
            'event loop lag': self._directory.loop_lag.run,
            'reachability': self._reachability.run,
            'peers': coordination.PeerMonitor(
                self._store,
                self._members,
                self._feed_sync,
                poller,
                self._supervisor,
            ).run,
            'coordinator': self._coordinator.run,
            'readiness': self._become_ready,
            'settings': self._settings_reloader.run,
            'state dump': self._dump.write_on_request,
            'tunnels': self._tunnels.run,
        }

    async def _drain(self, phases: _stopping.ShutdownPhases) -> None:
        """Keep serving while callers may have this VM's address cached."""
        phases.begin('resign')
        self._state = 'draining'
        loop_lag = self._directory.loop_lag
        self._grace.begin(
            self._settings.grace_seconds, loop_lag.average_seconds
        )
        LOG.info('draining')
        await self._supervisor.run_isolated('resign', self._coordinator.resign)
        phases.begin('serve')
        while remaining_seconds := self._grace.compute_remaining():
            await anyio.sleep(
                min(remaining_seconds, GRACE_CHECK_INTERVAL_SECONDS)
            )
            self._grace.update(loop_lag.average_seconds)

    async def _become_ready(self) -> None:
        while not self._can_serve():
            await anyio.sleep(READY_CHECK_INTERVAL_SECONDS)
        if self._state == 'starting':
            self._state = 'live'
            LOG.info('ready')

    def _read_state(self) -> str:
        """Return the state that callers, peers and the platform see."""
        is_failing = any(
            self._supervisor.compute_failing_seconds(name)
            > MAX_FAILING_SECONDS
            for name in KNOWLEDGE_TASKS
        )
        if is_failing and self._state == 'live':
            return 'failing'
        return self._state

    def _can_serve(self) -> bool:
        """Return whether this VM has received what requests need."""
        return (
            self._active_routes.table is not None
            and self._feeds.has_servers
            and self._crash_registry.is_loaded()
            and self._origins.is_loaded()
            and self._confirmer.is_recent
        )
