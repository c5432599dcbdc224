"""The orders of one service, and which of them may be sent again."""

import math

import msgspec

from swiftjunction import scaling

# The platform carries out an order that got no response within this time, or
# never.
LATE_SECONDS = 15.0
# An order that gets no response is sent again for this long.
RETRY_SECONDS = 10.0
RETRY_INTERVAL_SECONDS = 1.0
# After a refusal, no servers are added for the subject for this long.
REFUSAL_SECONDS = 5.0


class _Order(msgspec.Struct):
    """An order of one subject.

    Attributes
    ----------
    first_at, sent_at : float
        When it was sent first and last, or added if it has not been sent.
    lost_at : float
        When it was last found to have got no response; minus infinity if
        never.
    is_answered : bool
        Whether no response is awaited any more.
    """

    placement: scaling.Placement
    first_at: float
    sent_at: float
    lost_at: float = -math.inf
    is_sent: bool = False
    is_answered: bool = False

    def is_open(self, now: float) -> bool:
        """Return whether the platform may still carry it out."""
        return not self.is_answered or now - self.lost_at < LATE_SECONDS


class OrderBook:
    """The last orders of a service; all times are in seconds on one clock.

    Parameters
    ----------
    record : ServiceRecord
        What the former coordinator ordered. Those of its orders that were
        open may still be carried out.
    now : float
        The time at which the record was read.

    Attributes
    ----------
    refused_until : dict of Subject to float
        Until when no server is to be ordered for a subject.
    """

    __slots__ = ('_former', '_orders', 'refused_until')

    def __init__(self, record: scaling.ServiceRecord, now: float) -> None:
        self._orders = {
            row.subject: _Order(
                scaling.Placement(row.subject, row.servers, 0, row.reason),
                now,
                now,
                lost_at=now if row.is_open else -math.inf,
                is_answered=True,
            )
            for row in record.subjects
            if row.ordered
        }
        # The orders that the present ones replaced, to restore if those are
        # not carried out.
        self._former: dict[scaling.Subject, _Order | None] = {}
        self.refused_until: dict[scaling.Subject, float] = {}

    def list_placed(
        self, now: float
    ) -> dict[scaling.Subject, scaling.PlacedOrder]:
        """Return the last order of each subject, for the decision."""
        return {
            subject: scaling.PlacedOrder(
                order.placement.servers,
                order.sent_at,
                order.is_open(now),
            )
            for subject, order in self._orders.items()
        }

    def list_rows(
        self, supply: scaling.Supply, now: float
    ) -> list[scaling.OrderRecord]:
        """Return the number of servers of each subject, for the record."""
        return [
            self._make_row(subject, supply, now)
            for subject in sorted(self._orders.keys() | supply.standing.keys())
        ]

    def _make_row(
        self, subject: scaling.Subject, supply: scaling.Supply, now: float
    ) -> scaling.OrderRecord:
        order = self._orders.get(subject)
        if order is None:
            return scaling.OrderRecord(
                subject.data_center,
                subject.is_spot,
                supply.standing.get(subject, 0),
            )
        return scaling.OrderRecord(
            subject.data_center,
            subject.is_spot,
            order.placement.servers,
            ordered=True,
            is_open=order.is_open(now),
            reason=order.placement.reason,
        )

    def add(self, placement: scaling.Placement, now: float) -> None:
        """Add an order that is about to be sent."""
        self._former[placement.subject] = self._orders.get(placement.subject)
        self._orders[placement.subject] = _Order(placement, now, now)

    def list_due(self, now: float) -> list[scaling.Placement]:
        """Return the orders to send now, for the first time or again.

        Those that got no response for `RETRY_SECONDS` are given up.
        """
        due = []
        for subject, order in list(self._orders.items()):
            if order.is_answered:
                continue
            if now - order.first_at > RETRY_SECONDS:
                self._give_up(subject, order)
            elif (
                not order.is_sent
                or now - order.sent_at >= RETRY_INTERVAL_SECONDS
            ):
                due.append(order.placement)
        return due

    def _give_up(self, subject: scaling.Subject, order: _Order) -> None:
        if math.isinf(order.lost_at):
            # No attempt was carried out, or may still be.
            self._restore(subject)
        else:
            order.is_answered = True

    def _restore(self, subject: scaling.Subject) -> None:
        former = self._former.pop(subject, None)
        if former is None:
            del self._orders[subject]
        else:
            self._orders[subject] = former

    def record_sent(self, subject: scaling.Subject, now: float) -> None:
        """Record that an order is sent now."""
        order = self._orders[subject]
        order.sent_at = now
        order.is_sent = True

    def record_done(self, subject: scaling.Subject) -> None:
        """Record that an order was carried out."""
        self._orders[subject].is_answered = True

    def record_lost(self, subject: scaling.Subject, now: float) -> None:
        """Record that an order got no response, and may be carried out."""
        self._orders[subject].lost_at = now

    def record_refused(self, subject: scaling.Subject, now: float) -> None:
        """Record that no servers can be had for a subject."""
        self.refused_until[subject] = now + REFUSAL_SECONDS
        self._give_up(subject, self._orders[subject])
