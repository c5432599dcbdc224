"""Orders the servers of services, under the coordinator's lease."""

import collections.abc
import functools
import logging
import math

import anyio

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import coordination
from swiftjunction.duties import _api
from swiftjunction.duties import _order_book
from swiftjunction.duties import _scaled_service
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import routes
from swiftjunction import scaling
from swiftjunction import supervision
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

ROUND_INTERVAL_SECONDS = 1.0
# What must remain of the lease to begin with an order: the time for the write
# of the record and for the call, whose timeout is a second.
NEEDED_LEASE_SECONDS = 1.2
# Smallest extension of the lease that shows a renewal.
RENEWAL_SECONDS = 0.1


class ScalingDuty(coordination.Duty):
    """Orders servers in rounds; records each order before it is sent.

    Parameters
    ----------
    api : DutyApi
        Takes the orders.
    archive : OrderArchive
        Keeps them for the next coordinator.
    active_routes : ActiveRoutes
        Has the limits of the services.
    directory : Directory
        Lists the servers.
    list_batches : callable
        Returns the batches that this process runs.
    metrics : Metrics
        Counts orders.
    lease_seconds : float
        Minimum time between the orders of two successive coordinators.
    max_orders : int
        Maximum number of orders in one round.
    supervisor : Supervisor, optional
        Keeps the unexpected error of one service, or of one order, from the
        others.
    """

    __slots__ = (
        '_active_routes',
        '_api',
        '_archive',
        '_directory',
        '_lease_seconds',
        '_list_batches',
        '_max_orders',
        '_metrics',
        '_min_expiry',
        '_problems',
        '_rounds',
        '_services',
        '_supervisor',
    )

    def __init__(
        self,
        api: _api.DutyApi,
        archive: scaling.OrderArchive,
        active_routes: routes.ActiveRoutes,
        directory: backends.Directory,
        list_batches: collections.abc.Callable[
            [], collections.abc.Iterable[batches.OpenBatch]
        ],
        metrics: telemetry.Metrics,
        lease_seconds: float,
        max_orders: int,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(metrics)
        self._rounds = supervision.IsolatedItems(
            self._supervisor, 'scaling of a service'
        )
        self._api = api
        self._archive = archive
        self._active_routes = active_routes
        self._directory = directory
        self._list_batches = list_batches
        self._metrics = metrics
        self._lease_seconds = lease_seconds
        self._max_orders = max_orders
        # The limits that cannot be kept, each of which is logged once.
        self._problems: dict[str, str] = {}
        self._services: dict[str, _scaled_service.ScaledService] = {}
        # After a refusal, no order is sent under a lease that ends earlier.
        self._min_expiry = -math.inf
        metrics.add_gauge(
            'scaling_target_servers', lambda: self._sum('target')
        )
        metrics.add_gauge('scaling_live_servers', lambda: self._sum('live'))

    def _sum(self, name: str) -> float:
        return sum(
            getattr(service, name) for service in self._services.values()
        )

    async def run(self, lease: leases.Lease) -> None:
        self._services.clear()
        self._min_expiry = -math.inf
        try:
            while True:
                await anyio.sleep(ROUND_INTERVAL_SECONDS)
                for limits in self._list_limits():
                    await self._rounds.run(
                        limits.service,
                        functools.partial(self._scale, limits, lease),
                        service=limits.service,
                    )
        finally:
            # What this process knows is out of date in its next term.
            self._services.clear()

    def _list_limits(self) -> list[scaling.ServiceScaling]:
        """Return the limits that can be kept; log the others."""
        table = self._active_routes.table
        if table is None:
            return []
        for limits in table.scalings:
            problem = scaling.find_problem(limits)
            if problem and self._problems.get(limits.service) != problem:
                LOG.error(
                    'servers of a service cannot be ordered: %s',
                    problem,
                    extra={'service': limits.service},
                )
            self._problems[limits.service] = problem
        return [
            limits
            for limits in table.scalings
            if not self._problems[limits.service]
        ]

    async def _scale(
        self, limits: scaling.ServiceScaling, lease: leases.Lease
    ) -> None:
        """Run one round for a service."""
        try:
            service = await self._load(limits.service)
            service.observe(
                self._directory.select(limits.service),
                self._list_batches(),
                anyio.current_time(),
            )
            if self._may_order(lease):
                await self._order(service, limits, lease)
        except errors.PlatformError as error:
            LOG.info(
                'no servers are ordered, as orders cannot be recorded: %s',
                error,
                extra={'service': limits.service},
            )

    async def _load(self, name: str) -> _scaled_service.ScaledService:
        """Return what is known of a service, read from the store if needed."""
        service = self._services.get(name)
        if service is not None and service.version is not None:
            return service
        record, version = await self._archive.read(name)
        now = anyio.current_time()
        if service is None:
            service = _scaled_service.ScaledService(record, version, now)
            self._services[name] = service
        else:
            service.restore(record, version, now)
        return service

    def _may_order(self, lease: leases.Lease) -> bool:
        try:
            lease.check(NEEDED_LEASE_SECONDS)
            # Orders of two holders must not take turns within this time, also
            # where the platform checks fencing tokens.
            lease.check_predecessor_done(self._lease_seconds)
        except errors.LeaseLost as error:
            LOG.debug('no servers are ordered now: %s', error)
            return False
        return _compute_expiry(lease) >= self._min_expiry

    async def _order(
        self,
        service: _scaled_service.ScaledService,
        limits: scaling.ServiceScaling,
        lease: leases.Lease,
    ) -> None:
        now = anyio.current_time()
        service.decide(
            limits,
            self._is_demand_known(limits.service),
            self._max_orders,
            now,
        )
        if not service.is_recorded:
            await self._record(service, lease.fencing_token)
        async with anyio.create_task_group() as tasks:
            for placement in service.book.list_due(now)[: self._max_orders]:
                tasks.start_soon(
                    self._send_isolated, service, placement, lease
                )

    async def _record(
        self, service: _scaled_service.ScaledService, fencing_token: int
    ) -> None:
        """Write the record.

        After a conflict, or without a response, the next round reads it again.
        """
        version = service.version or 0
        try:
            service.version = await self._archive.write(
                service.make_record(fencing_token, anyio.current_time()),
                version,
            )
        except (errors.RevisionConflict, errors.WriteUncertain):
            service.version = None
            raise
        service.is_recorded = True

    def _is_demand_known(self, service: str) -> bool:
        """Return whether only routes of batches lead to a service.

        The coordinator runs all batches, but does not know which other
        requests wait at the other VMs.
        """
        table = self._active_routes.table
        return table is not None and not any(
            service in table.list_services(kind)
            for kind in routes.RouteKind
            if kind is not routes.RouteKind.BATCH
        )

    async def _send_isolated(
        self,
        service: _scaled_service.ScaledService,
        placement: scaling.Placement,
        lease: leases.Lease,
    ) -> None:
        """Send an order; after an unexpected error it is sent again later."""
        await self._supervisor.run_isolated(
            'order of servers',
            functools.partial(self._send, service, placement, lease),
            service=service.name,
            data_center=placement.subject.data_center,
            spot=placement.subject.is_spot,
        )

    async def _send(
        self,
        service: _scaled_service.ScaledService,
        placement: scaling.Placement,
        lease: leases.Lease,
    ) -> None:
        subject = placement.subject
        order = _api.ServerOrder(
            service.name,
            subject.data_center,
            placement.servers,
            subject.is_spot,
        )
        service.book.record_sent(subject, anyio.current_time())
        try:
            outcome = await self._call(service.book, subject, order, lease)
        except errors.LeaseLost as error:
            LOG.info('order of servers not sent: %s', error)
            return
        if outcome in ('done', 'refused'):
            # The next round records that it is no longer open.
            service.is_recorded = False
        self._metrics.count(
            'server_orders', outcome=outcome, reason=placement.reason
        )
        LOG.info(
            'servers ordered',
            extra={
                'service': service.name,
                'data_center': subject.data_center,
                'spot': subject.is_spot,
                'servers': placement.servers,
                'change': placement.change,
                'reason': placement.reason,
                'outcome': outcome,
                'fencing_token': lease.fencing_token,
                **service.describe(),
            },
        )

    async def _call(
        self,
        book: _order_book.OrderBook,
        subject: scaling.Subject,
        order: _api.ServerOrder,
        lease: leases.Lease,
    ) -> str:
        """Send an order, and return its outcome."""
        try:
            is_done = await self._api.order_servers(lease, order)
        except errors.PlatformUnavailable:
            return 'not_done'
        except errors.WriteUncertain:
            book.record_lost(subject, anyio.current_time())
            return 'unanswered'
        except errors.LeaseLost:
            raise
        except Exception:
            # The platform may carry it out.
            book.record_lost(subject, anyio.current_time())
            raise
        if is_done:
            book.record_done(subject)
            return 'done'
        book.record_refused(subject, anyio.current_time())
        # The platform may also refuse the fencing token, because another VM
        # holds the lease. A renewal shows that this is not so.
        self._min_expiry = _compute_expiry(lease) + RENEWAL_SECONDS
        return 'refused'


def _compute_expiry(lease: leases.Lease) -> float:
    """Return when a lease expires, on the event loop's clock in seconds."""
    return anyio.current_time() + lease.remaining_seconds()
