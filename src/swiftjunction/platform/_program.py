"""Assembles the edge process, which runs on each VM that serves callers."""

import logging
import pathlib
import random
import signal
import time
import uuid

import anyio
import anyio.abc

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import coordination
from swiftjunction import membership
from swiftjunction import organisations
from swiftjunction.platform import _batch_calls
from swiftjunction.platform import _duty_tasks
from swiftjunction.platform import _election
from swiftjunction.platform import _feeds
from swiftjunction.platform import _ingress
from swiftjunction.platform import _inspection
from swiftjunction.platform import _listening
from swiftjunction.platform import _names
from swiftjunction.platform import _reloading
from swiftjunction.platform import _settings
from swiftjunction.platform import _status
from swiftjunction.platform import _store
from swiftjunction.platform import _tunneling
from swiftjunction.platform import _workers
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import routing
from swiftjunction import telemetry
from swiftjunction import web

LOG = logging.getLogger(__name__)

MAX_IN_FLIGHT = 1000
# Part of the grace period that remains, after the listener has closed, for
# responses in progress.
SHUTDOWN_RESERVE_SECONDS = 1.5
READY_CHECK_INTERVAL_SECONDS = 0.1
METRICS_PORT = 9464


class EdgeProgram:
    """Creates, connects and runs the components of the edge process.

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

    def __init__(
        self, path: pathlib.Path, metrics_port: int = METRICS_PORT
    ) -> None:
        settings = _settings.read_settings(path)
        self._settings_reloader = _reloading.SettingsReloader(
            path, self._apply_settings
        )
        self._metrics_port = metrics_port
        self._settings = settings
        self._state = 'starting'
        self._stopping = anyio.Event()
        rng = random.Random()
        self._metrics = telemetry.Metrics()
        self._clients = web.PeerClients()
        run_id = uuid.uuid4().hex
        self._members = coordination.MemberTable(
            coordination.Member(
                settings.name,
                f'{settings.ip}:{settings.peer_port}',
                settings.front,
                settings.data_center,
                settings.region,
                run_id,
                settings.processor_cores,
            )
        )
        self._direct = _store.PlatformStore(self._clients, settings.store)
        self._store = coordination.FailoverStore(
            self._direct,
            lambda: coordination.list_store_relays(
                self._members, self._clients
            ),
        )
        self._feed_sync = coordination.FeedSync(
            self._store, self._clients, self._members
        )
        self._feeds = _feeds.PlatformFeeds(
            self._store,
            self._direct,
            self._feed_sync,
            lambda: self._coordinator.lease is not None,
        )
        self._active_routes = routes.ActiveRoutes()
        self._confirmation = coordination.FeedConfirmation(self._feed_sync)
        self._confirmer = coordination.ConfigurationConfirmer(
            self._direct,
            self._feed_sync,
            self._members,
            self._confirmation,
            organisations.compute_max_age_seconds(settings.revoke_seconds),
            self._must_confirm_keys,
            self._store.reaches_directly,
            rng,
        )
        self._clock = (
            coordination.SharedClock()
            if _names.USAGE_DUTY in settings.duties
            else None
        )
        record_table = membership.RecordTable()
        self._directory = backends.Directory(record_table)
        self._delayed_removal = backends.DelayedRemoval(
            self._directory,
            self._is_store_unreachable,
            time.monotonic,
        )
        self._reachability = backends.Reachability(self._directory.select, rng)
        workers = _workers.WorkerClient(
            self._clients,
            backends.ServerPaths(
                self._clients,
                self._reachability,
                coordination.TunnelPaths(self._members, rng),
            ),
        )
        self._tunnels = _tunneling.PeerTunnels(
            settings, self._directory, self._reachability, self._metrics
        )
        self._permits = coordination.SharedPermits(
            self._directory.rates,
            self._members,
            self._clients,
            self._is_coordinator,
            rng,
        )
        router = routing.Router(
            self._directory, settings.data_center, rng, self._permits
        )
        claims = requests.ClaimStore(self._store, settings.name)
        self._crash_registry = coordination.StoreCrashRegistry(
            self._store, self._feed_sync, self._members
        )
        suspects = requests.SuspectTracker(self._crash_registry, settings.name)
        self._suspects = suspects

        def make_forwarder() -> requests.Forwarder:
            # Each forwarder has its own retry budget, so that retries of
            # scoring requests do not exhaust that of live requests.
            return requests.Forwarder(
                router,
                workers,
                claims,
                requests.RetryBudget(),
                suspects,
                self._directory,
            )

        self._archive = batches.BatchArchive(self._store)
        engines = batches.EngineRegistry(self._directory, time.monotonic)
        allocator = batches.EngineAllocator()
        end_confirmation = batches.EndConfirmation(settings.cancel_seconds)
        self._runner = batches.BatchRunner(
            self._store,
            self._archive,
            engines,
            batches.SampleRunner(
                workers,
                batches.RoutedScorer(
                    self._active_routes, make_forwarder(), rng
                ),
                self._metrics,
                self._permits,
            ),
            allocator,
            self._metrics,
            self._directory.loop_lag,
            settings.keep_seconds,
            end_confirmation,
            coordination.OutageProbe(
                self._direct, self._clients, self._members, rng
            ),
        )
        self._control_loops = coordination.ControlLoops(
            self._runner,
            batches.VersionRollout(
                engines,
                workers,
                allocator,
                settings.name,
                self._metrics,
                self._runner.needs_single_version,
            ),
            self._feeds,
            self._list_batch_services,
            0.0 if settings.checks_fencing else settings.lease_seconds,
            settings.lease_seconds,
            _duty_tasks.build_duties(settings, self._clients),
        )
        self._coordinator = _election.build_coordinator(
            settings,
            self._store,
            self._members,
            self._control_loops,
            coordination.EngineFitness(
                self._list_batch_services,
                self._directory,
                self._reachability,
                self._members,
            ),
        )
        self._status_source = _status.StatusSource(
            self._members,
            self._coordinator,
            self._store,
            self._feed_sync,
            self._directory,
            self._tunnels,
            self._reachability,
            self._confirmer,
            self._clock,
            lambda: self._state,
        )
        self._origins = coordination.SharedOrigins(
            self._members,
            coordination.OriginArchive(self._store, self._members),
        )
        self._admission = requests.AdmissionController(MAX_IN_FLIGHT)
        self._ingress = _ingress.Ingress(
            settings,
            self._active_routes,
            make_forwarder(),
            requests.StreamRelay(
                router,
                workers,
                workers,
                requests.RetryBudget(),
                suspects,
                self._directory,
                self._origins,
            ),
            self._admission,
            _batch_calls.BatchCalls(
                self._active_routes,
                self._archive,
                batches.FailoverAccess(
                    coordination.CoordinatorAccess(
                        self._find_runner,
                        self._members,
                        self._clients,
                        self._archive,
                    )
                ),
                rng,
                self._metrics,
            ),
            self._members,
            lambda: self._state,
            lambda: bool(self._reachability.list_cut_off()),
            self._crash_registry.is_loaded,
            rng,
            self._metrics,
        )
        self._metrics.add_gauge(
            'ended_batches_age_seconds',
            lambda: (
                end_confirmation.age_seconds
                if self._control_loops.is_running
                else 0.0
            ),
        )
        self._metrics.add_gauge(
            'configuration_age_seconds', lambda: self._confirmer.age_seconds
        )
        _inspection.observe_servers(
            self._metrics, self._directory, self._reachability, suspects
        )
        self._dump = self._build_dump()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then resign, drain and stop."""
        caller_listener = _listening.open_listener(self._settings)
        peer_listener = web.HttpListener(
            web.bind_socket(self._settings.ip, self._settings.peer_port),
            web.bind_socket(self._settings.ip, self._metrics_port),
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
        poller = coordination.PeerPoller(
            datagrams,
            self._clients,
            self._members,
            self._feed_sync,
            self._status_source.build,
            self._directory.rates,
            self._confirmation,
            self._clock,
        )
        LOG.info('started', extra={'front': self._settings.front})
        async with anyio.create_task_group() as tasks:
            for task in (
                datagrams.run,
                lambda: self._feeds.follow_routes(self._active_routes),
                lambda: self._feeds.follow_servers(self._delayed_removal),
                self._confirmer.run,
                self._crash_registry.run,
                self._origins.run,
                self._delayed_removal.run,
                self._directory.loop_lag.run,
                self._reachability.run,
                coordination.PeerMonitor(
                    self._store, self._members, self._feed_sync, poller
                ).run,
                self._coordinator.run,
                self._become_ready,
                self._settings_reloader.run,
                self._handle_signals,
                self._dump.write_on_signal,
            ):
                tasks.start_soon(task)
            tasks.start_soon(peer_listener.serve, peer_app)
            tasks.start_soon(self._tunnels.run)
            async with anyio.create_task_group() as caller_tasks:
                caller_tasks.start_soon(
                    caller_listener.serve, _ingress.IngressApp(self._ingress)
                )
                await self._stopping.wait()
                await self._drain()
                caller_listener.close()
            tasks.cancel_scope.cancel()
        LOG.info('stopped')

    async def _drain(self) -> None:
        """Keep serving while callers may have this VM's address cached."""
        self._state = 'draining'
        LOG.info('draining')
        drain_until = (
            anyio.current_time()
            + self._settings.grace_seconds
            - SHUTDOWN_RESERVE_SECONDS
        )
        await self._coordinator.resign()
        await anyio.sleep_until(drain_until)

    async def _become_ready(self) -> None:
        while not (
            self._active_routes.table is not None
            and self._feeds.has_servers
            and self._crash_registry.is_loaded()
            and self._origins.is_loaded()
        ):
            await anyio.sleep(READY_CHECK_INTERVAL_SECONDS)
        if self._state == 'starting':
            self._state = 'live'
            LOG.info('ready')

    def _apply_settings(self, settings: _settings.EdgeSettings) -> None:
        """Apply the store's address; other settings require a restart."""
        self._direct.address = settings.store

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self._settings_reloader.reload()
                else:
                    self._stopping.set()

    def _is_coordinator(self) -> bool:
        lease = self._coordinator.lease
        return lease is not None and lease.remaining_seconds() > 0

    def _must_confirm_keys(self) -> bool:
        table = self._active_routes.table
        return (
            self._settings.strict_revocation
            and table is not None
            and table.keys is not None
        )

    def _is_store_unreachable(self) -> bool:
        """Return whether neither this VM nor a peer reaches the store."""
        return not (
            self._store.reaches_directly() or self._members.list_relays()
        )

    def _list_batch_services(self) -> set[str]:
        table = self._active_routes.table
        if table is None:
            return set()
        return table.list_services(routes.RouteKind.BATCH)

    def _find_runner(self) -> batches.BatchAccess | None:
        if not self._control_loops.is_running:
            return None
        return batches.RunnerAccess(self._runner, self._archive)

    def _build_dump(self) -> telemetry.StateDump:
        dump = telemetry.StateDump()
        dump.add('status', self._status_source.build)
        dump.add('settings', lambda: self._settings)
        dump.add('members', self._members.summarize)
        dump.add('feeds', self._feed_sync.summarize)
        dump.add('configuration', self._active_routes.summarize)
        if self._clock is not None:
            dump.add('clock', self._clock.summarize)
        dump.add('servers', self._directory.summarize)
        dump.add('reachability', self._reachability.summarize)
        dump.add('suspects', self._suspects.summarize)
        dump.add('batches', self._runner.summarize)
        dump.add('admission', self._admission.summarize)
        dump.add('metrics', self._metrics.summarize)
        return dump
