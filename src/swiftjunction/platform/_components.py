"""The components of the edge process, and how they are connected."""

import pathlib
import random
import time

import anyio
import anyio.abc

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import coordination
from swiftjunction import membership
from swiftjunction import organisations
from swiftjunction.platform import _client_policies
from swiftjunction.platform import _duty_tasks
from swiftjunction.platform import _election
from swiftjunction.platform import _feeds
from swiftjunction.platform import _inspection
from swiftjunction.platform import _names
from swiftjunction.platform import _reloading
from swiftjunction.platform import _server_starts
from swiftjunction.platform import _settings
from swiftjunction.platform import _status
from swiftjunction.platform import _store
from swiftjunction.platform import _tunneling
from swiftjunction.platform import _usage_reports
from swiftjunction.platform import callers
from swiftjunction.platform import servers
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import routing
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web

MAX_IN_FLIGHT = 1000
METRICS_PORT = 9464


class EdgeComponents:
    """Creates and connects the components of the edge process.

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
        settings = self._settings = _settings.wait_for_settings(path)
        self._settings_reloader = _reloading.SettingsReloader(
            path, settings, self._apply_settings
        )
        self._metrics_port = metrics_port
        self._state = 'starting'
        self._stopping = anyio.Event()
        self._grace = requests.GracePeriod()
        rng = random.Random()
        self._metrics = telemetry.Metrics()
        self._supervisor = supervision.Supervisor(self._metrics)
        self._clients = web.PeerClients()
        self._members = coordination.MemberTable(
            _status.build_member(settings)
        )
        self._direct = _store.PlatformStore(self._clients, settings.store)
        self._store = coordination.FailoverStore(
            self._direct,
            lambda: coordination.list_store_relays(
                self._members, self._clients
            ),
        )
        self._feed_sync = coordination.FeedSync(
            self._store,
            self._clients,
            self._members,
            supervisor=self._supervisor,
        )
        self._feeds = _feeds.PlatformFeeds(
            self._store,
            self._direct,
            self._feed_sync,
            lambda: self._coordinator.lease is not None,
            self._supervisor,
        )
        self._active_routes = routes.ActiveRoutes()
        self._client_policies = _client_policies.ClientPolicies(
            settings, self._active_routes
        )
        self._confirmation = coordination.FeedConfirmation(self._feed_sync)
        self._confirmer = coordination.ConfigurationConfirmer(
            self._direct,
            self._feed_sync,
            self._members,
            self._confirmation,
            organisations.compute_max_age_seconds(settings.revoke_seconds),
            self._active_routes.has_keys,
            self._store.reaches_directly,
            rng,
        )
        self._server_list = coordination.confirm_servers(self._feed_sync)
        self._refresher = coordination.FeedRefresher(
            self._direct,
            self._feed_sync,
            self._members,
            self._server_list,
            settings.drain_seconds,
            self._store.reaches_directly,
            rng,
        )
        reports_usage = _names.USAGE_DUTY in settings.duties
        self._clock = coordination.SharedClock() if reports_usage else None
        self._directory = backends.Directory(membership.RecordTable())
        self._connection_cleaner = backends.ConnectionCleaner(
            self._directory, self._clients
        )
        self._delayed_removal = backends.DelayedRemoval(
            self._directory,
            self._is_store_unreachable,
            time.monotonic,
        )
        self._reachability = backends.Reachability(
            self._directory.select, rng, supervisor=self._supervisor
        )
        workers = servers.WorkerClient(
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
        self._router = router
        self._usage = _usage_reports.UsageReports(
            settings,
            self._store,
            self._members,
            self._clients,
            self._metrics,
            rng,
            (time.time if self._clock is None else self._clock.read_seconds),
            self._supervisor,
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
                self._usage.runs,
            )

        self._archive = batches.BatchArchive(self._store)
        end_confirmation = batches.EndConfirmation(settings.cancel_seconds)
        engines = batches.EngineRegistry(self._directory, time.monotonic)
        allocator = batches.EngineAllocator()
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
                self._direct,
                self._clients,
                self._members,
                rng,
                self._supervisor,
            ),
            self._supervisor,
        )
        self._control_loops = self._build_control_loops(
            batches.VersionRollout(
                engines,
                workers,
                allocator,
                settings.name,
                self._metrics,
                self._runner.needs_single_version,
                self._supervisor,
            )
        )
        self._coordinator = _election.build_coordinator(
            settings,
            self._store,
            self._members,
            self._control_loops,
            coordination.EngineFitness(
                self._active_routes.list_batch_services,
                self._directory,
                self._reachability,
                self._members,
                self._supervisor,
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
            self._active_routes,
            self._confirmer,
            self._server_list,
            router,
            self._clock,
            self._read_state,
        )
        self._origins = coordination.SharedOrigins(
            self._members,
            coordination.OriginArchive(self._store, self._members),
        )
        verifier = _server_starts.build_verifier(
            workers, self._server_list, settings.drain_seconds
        )
        self._admission = requests.AdmissionController(MAX_IN_FLIGHT)
        self._ingress = self._build_ingress(
            make_forwarder(),
            requests.StreamRelay(
                router,
                workers,
                workers,
                requests.RetryBudget(),
                suspects,
                self._directory,
                requests.StreamResumer(self._origins, verifier),
                self._usage.runs,
            ),
            rng,
        )
        _inspection.observe_ages(
            self._metrics,
            end_confirmation,
            self._control_loops,
            self._confirmer,
            self._server_list,
        )
        _inspection.observe_servers(
            self._metrics, self._directory, self._reachability, suspects
        )
        self._dump = self._build_dump()

    def _build_control_loops(
        self, rollout: batches.VersionRollout
    ) -> coordination.ControlLoops:
        settings = self._settings
        return coordination.ControlLoops(
            self._runner,
            rollout,
            self._feeds,
            self._active_routes.list_batch_services,
            0.0 if settings.checks_fencing else settings.lease_seconds,
            settings.lease_seconds,
            self._supervisor,
            [
                *_duty_tasks.build_duties(
                    settings,
                    self._clients,
                    self._store,
                    self._active_routes,
                    self._directory,
                    self._runner,
                    self._metrics,
                    self._supervisor,
                ),
                *self._usage.duties,
            ],
        )

    def _build_ingress(
        self,
        forwarder: requests.Forwarder,
        stream_relay: requests.StreamRelay,
        rng: random.Random,
    ) -> callers.Ingress:
        bodies = callers.CallerBodies(
            self._active_routes, self._client_policies.callers.budget
        )
        batch_calls = callers.BatchCalls(
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
            bodies,
            rng,
            self._metrics,
        )
        return callers.Ingress(
            self._settings,
            self._active_routes,
            forwarder,
            stream_relay,
            self._admission,
            batch_calls,
            bodies,
            callers.CallerIdentification(
                self._settings,
                self._active_routes,
                self._confirmation,
                self._metrics,
            ),
            self._members,
            self._read_state,
            self._grace,
            lambda: bool(self._reachability.list_cut_off()),
            self._crash_registry.is_loaded,
            rng,
            self._metrics,
        )

    def _apply_settings(self, settings: _settings.EdgeSettings) -> None:
        """Apply the store's address; other settings require a restart."""
        self._direct.address = settings.store

    def _read_state(self) -> str:
        return self._state

    def _is_coordinator(self) -> bool:
        return self._coordinator.holds_lease()

    def _is_store_unreachable(self) -> bool:
        """Return whether neither this VM nor a peer reaches the store."""
        return not (
            self._store.reaches_directly() or self._members.list_relays()
        )

    def _find_runner(self) -> batches.BatchAccess | None:
        if not self._control_loops.is_running:
            return None
        return batches.RunnerAccess(self._runner, self._archive)

    def _build_dump(self) -> telemetry.StateDump:
        sources = {
            'status': self._status_source.build,
            'settings': lambda: self._settings,
            'members': self._members.summarize,
            'feeds': self._feed_sync.summarize,
            'configuration': self._active_routes.summarize,
            'servers': self._directory.summarize,
            'shares': self._router.summarize_shares,
            'reachability': self._reachability.summarize,
            'suspects': self._suspects.summarize,
            'batches': self._runner.summarize,
            'admission': self._admission.summarize,
            'callers': self._client_policies.callers.summarize,
            'usage': self._usage.summarize,
            'failing_tasks': self._supervisor.summarize,
            'metrics': self._metrics.summarize,
        }
        return _inspection.build_dump(sources, self._clock)
