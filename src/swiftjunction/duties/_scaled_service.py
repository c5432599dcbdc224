"""What the coordinator knows of one service whose servers it orders."""

import collections.abc
import math

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction.duties import _order_book
from swiftjunction import scaling


class ScaledService:
    """The servers, the need and the orders of one service in this term.

    Parameters
    ----------
    record : ServiceRecord
        What the former coordinator decided.
    version : int
        The version of its object; 0 if there is none.
    now : float
        The time, in seconds on the event loop's clock.

    Attributes
    ----------
    name : str
        The name of the service.
    book : OrderBook
        Its orders.
    target : int
        The number of servers aimed at.
    version : int or None
        The version of the record's object; None if it must be read again.
    is_recorded : bool
        Whether the record holds all that was decided.
    """

    __slots__ = (
        '_decreased_at',
        '_demand',
        '_need',
        '_supply',
        '_supply_tracker',
        'book',
        'is_recorded',
        'name',
        'target',
        'version',
    )

    def __init__(
        self, record: scaling.ServiceRecord, version: int, now: float
    ) -> None:
        self.name = record.service
        self.restore(record, version, now)
        self._supply_tracker = scaling.SupplyTracker(
            {row.subject: row.servers for row in record.subjects}, now
        )
        self._demand = scaling.DemandTracker()
        self._supply = scaling.Supply({}, {}, {})
        self._need = scaling.Need()
        self._decreased_at = -math.inf

    def restore(
        self, record: scaling.ServiceRecord, version: int, now: float
    ) -> None:
        """Replace what was decided by what the record says."""
        self.version: int | None = version
        self.target = record.target
        self.book = _order_book.OrderBook(record, now)
        self.is_recorded = True

    @property
    def live(self) -> int:
        """Return the number of servers that accept requests."""
        return sum(self._supply.live.values())

    def observe(
        self,
        servers: collections.abc.Iterable[backends.BackendServer],
        open_batches: collections.abc.Iterable[batches.OpenBatch],
        now: float,
    ) -> None:
        """Take in the servers that are listed and the work that is left."""
        servers = list(servers)
        self._supply = self._supply_tracker.update(
            map(_view_server, servers), now
        )
        slots = max((server.report.slots for server in servers), default=1)
        work = [
            _measure_work(open_batch, now)
            for open_batch in open_batches
            if open_batch.batch.service == self.name
            and not open_batch.ended
            and not open_batch.has_wanted_groups()
        ]
        self._need = self._demand.update(work, slots, now)

    def decide(
        self,
        limits: scaling.ServiceScaling,
        may_decrease: bool,
        max_orders: int,
        now: float,
    ) -> None:
        """Add the orders that are needed now to the book.

        Parameters
        ----------
        limits : ServiceScaling
            The limits of the service.
        may_decrease : bool
            Whether all demand for the service is known.
        max_orders : int
            Maximum number of orders to add.
        now : float
            The time, in seconds on the event loop's clock.
        """
        decision = scaling.decide(
            scaling.Situation(
                limits=limits,
                supply=self._supply,
                need=self._need,
                now=now,
                target=self.target,
                orders=self.book.list_placed(now),
                refused_until=self.book.refused_until,
                decreased_at=self._decreased_at,
                may_decrease=may_decrease,
            )
        )
        placements = decision.placements[:max_orders]
        if placements or decision.target != self.target:
            self.is_recorded = False
        self.target = decision.target
        for placement in placements:
            self.book.add(placement, now)
            if placement.change < 0:
                self._decreased_at = now

    def make_record(
        self, fencing_token: int, now: float
    ) -> scaling.ServiceRecord:
        """Return the record to write before orders are sent."""
        return scaling.ServiceRecord(
            self.name,
            self.target,
            fencing_token,
            self.book.list_rows(self._supply, now),
        )

    def describe(self) -> dict[str, object]:
        """Return what an order is based on, for its log line."""
        return {
            'target': self.target,
            'live': self.live,
            'leaving': self._supply.leaving,
            'needed': self._need.servers,
            'waiting': self._need.waiting,
            'running': self._need.running,
        }


def _view_server(server: backends.BackendServer) -> scaling.ServerView:
    report = server.report
    return scaling.ServerView(
        report.name,
        scaling.Subject(report.data_center, report.is_spot),
        server.accepts_requests(),
        # Servers of other kinds also leave when a release replaces them.
        report.is_spot,
    )


def _measure_work(
    open_batch: batches.OpenBatch, now: float
) -> scaling.BatchWork:
    return scaling.BatchWork(
        open_batch.batch.batch_id,
        open_batch.deadline,
        [
            scaling.SampleWork(
                progress.sample.sample_id,
                progress.sample.estimate_tokens(),
                # 0 would mean that the sample waits for a slot.
                max(now - progress.started_at, 0.001)
                if progress.engine
                else 0.0,
            )
            for progress in open_batch.pending.values()
            if not progress.complete
        ],
    )
