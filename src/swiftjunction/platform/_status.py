"""The status with which this VM answers the polls of its peers."""

import collections.abc
import uuid

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction.platform import _settings
from swiftjunction.platform import _tunneling
from swiftjunction import routes
from swiftjunction import routing
from swiftjunction import web


class StatusSource:
    """Builds this VM's status from its components.

    Parameters
    ----------
    members : MemberTable
        Names this VM, and the newest coordinator known.
    coordinator : Coordinator
        Tells whether this VM coordinates, and until when.
    store : FailoverStore
        Tells whether the object store is reachable directly.
    feed_sync : FeedSync
        The copies of stored objects, with their revisions and ages.
    directory : Directory
        The request limits of servers.
    peer_tunnels : PeerTunnels
        The tunnels that this VM serves.
    reachability : Reachability
        The services that this VM does not reach.
    active_routes : ActiveRoutes
        The configuration in effect.
    confirmer : ConfigurationConfirmer
        Tells for how long the configuration may lack changes.
    server_list : FeedConfirmation
        Tells for how long the list of servers may lack changes.
    router : Router
        Tells the load of organisations whose requests had to wait.
    clock : SharedClock or None
        Tells the time of day; None if no duty needs it.
    get_state : callable
        Returns ``starting``, ``live`` or ``draining``.
    """

    __slots__ = (
        '_active_routes',
        '_clock',
        '_confirmer',
        '_coordinator',
        '_directory',
        '_feed_sync',
        '_get_state',
        '_members',
        '_peer_tunnels',
        '_reachability',
        '_router',
        '_server_list',
        '_store',
    )

    def __init__(
        self,
        members: coordination.MemberTable,
        coordinator: coordination.Coordinator,
        store: coordination.FailoverStore,
        feed_sync: coordination.FeedSync,
        directory: backends.Directory,
        peer_tunnels: _tunneling.PeerTunnels,
        reachability: backends.Reachability,
        active_routes: routes.ActiveRoutes,
        confirmer: coordination.ConfigurationConfirmer,
        server_list: coordination.FeedConfirmation,
        router: routing.Router,
        clock: coordination.SharedClock | None,
        get_state: collections.abc.Callable[[], str],
    ) -> None:
        self._members = members
        self._coordinator = coordinator
        self._store = store
        self._feed_sync = feed_sync
        self._directory = directory
        self._peer_tunnels = peer_tunnels
        self._reachability = reachability
        self._active_routes = active_routes
        self._router = router
        self._confirmer = confirmer
        self._server_list = server_list
        self._clock = clock
        self._get_state = get_state

    def build(self) -> coordination.MemberStatus:
        """Return the status now."""
        lease = self._coordinator.lease
        own = self._members.own
        if lease is None:
            self._members.claims.withdraw(own.name)
        else:
            self._members.claims.record(
                own.name, lease.fencing_token, lease.remaining_seconds()
            )
        times = (0.0, 0.0)
        if self._clock is not None:
            times = self._clock.state_times()
        coordinator, coordinator_token = self._members.newest_coordinator
        return coordination.MemberStatus(
            name=own.name,
            run=own.run,
            state=self._get_state(),
            fencing_token=lease.fencing_token if lease is not None else 0,
            lease_seconds=lease.remaining_seconds() if lease else 0.0,
            lease_version=self._coordinator.lease_version,
            reaches_store=self._store.reaches_directly(),
            revisions=self._feed_sync.list_revisions(),
            ages=self._feed_sync.list_ages(),
            coordinator=coordinator,
            coordinator_token=coordinator_token,
            rates=self._directory.rates.list_statements(),
            watch_ages=self._feed_sync.list_watch_ages(),
            tunnel_port=self._peer_tunnels.port,
            cut_off=self._reachability.list_cut_off(),
            configuration_version=self._active_routes.version,
            flow_rates=self._router.list_flow_rates(),
            configuration_age_seconds=self._confirmer.state_age(),
            time_of_day=times[0],
            median_time=times[1],
            servers_age_seconds=self._server_list.state_age(),
            coordinator_lease_seconds=(
                self._members.claims.compute_remaining_seconds()
            ),
        )


def build_member(settings: _settings.EdgeSettings) -> coordination.Member:
    """Return the entry of this VM, for this run of the process."""
    return coordination.Member(
        settings.name,
        web.format_address(settings.ip, settings.peer_port),
        settings.front,
        settings.data_center,
        settings.region,
        uuid.uuid4().hex,
        settings.processor_cores,
    )
