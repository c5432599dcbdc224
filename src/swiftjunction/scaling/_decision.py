"""Decides which servers to order; needs neither network nor clock."""

import collections.abc
import math

from swiftjunction.scaling import _limits
from swiftjunction.scaling import _situation
from swiftjunction.scaling import _supply

# Largest part of a service's servers that may be spot servers of one data
# centre. The platform may take all of them at once, and the others must then
# be able to take over their work.
MAX_SPOT_FRACTION = 0.25
# Largest increase in one round, as a part of what there is.
MAX_INCREASE_FRACTION = 0.5
# If a larger part of the servers is missing without notice, the list of
# servers is taken to be incomplete.
MAX_MISSING_FRACTION = 0.5
# A server is given up only if there are at least this many more than needed.
DECREASE_MARGIN_SERVERS = 2
DECREASE_INTERVAL_SECONDS = 30.0
# After the platform took servers away, no more are ordered there for this
# long.
TAKEN_SECONDS = 10.0
# From the end of the boot time until a server must have been listed.
LISTING_SECONDS = 6.0
# If the servers of an order did not come, no more are ordered there until this
# long after it.
ABSENCE_SECONDS = 60.0


def find_problem(limits: _limits.ServiceScaling) -> str:
    """Return why limits cannot be kept, or an empty string."""
    if limits.max_servers < 1:
        return f'max is {limits.max_servers}'
    if limits.min_servers > limits.max_servers:
        return f'min {limits.min_servers} is above max {limits.max_servers}'
    if not limits.prices:
        return 'no data center is named'
    return ''


def decide(situation: _situation.Situation) -> _situation.Decision:
    """Return the orders for one service; none if its limits are invalid."""
    if find_problem(situation.limits):
        return _situation.Decision(situation.target)
    is_settled = situation.supply.observed_seconds >= _supply.SETTLE_SECONDS
    if not is_settled and not situation.target:
        # The list of servers may not be complete yet.
        return _situation.Decision(situation.target)
    return _Decider(situation).decide()


class _Decider:
    """Works out one decision.

    Attributes
    ----------
    expected : dict of Subject to int
        The servers of each subject with those on their way and those that
        are ordered in this decision.
    """

    __slots__ = ('_reasons', '_situation', '_start', 'expected')

    def __init__(self, situation: _situation.Situation) -> None:
        self._situation = situation
        listed = {
            _supply.Subject(data_center, is_spot)
            for data_center in situation.limits.prices
            for is_spot in (False, True)
        }
        subjects = listed | situation.supply.present.keys()
        self._start = {
            subject: self._count_expected(subject)
            for subject in sorted(subjects | situation.orders.keys())
        }
        self.expected = dict(self._start)
        self._reasons: dict[_supply.Subject, str] = {}

    def decide(self) -> _situation.Decision:
        """Return the target and the orders that lead to it."""
        situation = self._situation
        max_total = situation.limits.max_servers * len(situation.limits.prices)
        kept = situation.target
        if not any(map(self._is_shrinking, self.expected)):
            kept = max(kept, min(situation.supply.settled, max_total))
        if self._is_list_at_fault(kept):
            return _situation.Decision(kept)
        target = max(kept, min(situation.need.servers, max_total))
        self._keep_minimum()
        total = sum(self.expected.values())
        is_late = situation.need.servers > total
        self._add(target - total, 'late_steps' if is_late else 'replace')
        if not self._reasons:
            given_up = self._find_surplus()
            if given_up is not None:
                self.expected[given_up] -= 1
                self._reasons[given_up] = 'little_to_do'
                target = sum(self.expected.values())
        return _situation.Decision(target, self._list_placements())

    def _count_expected(self, subject: _supply.Subject) -> int:
        """Return the servers of a subject, with those on their way."""
        supply = self._situation.supply
        present = supply.present.get(subject, 0)
        order = self._find_order(subject)
        if order is None or not self._is_on_its_way(order):
            return present
        if order.servers < supply.live.get(subject, 0):
            return order.servers
        return max(present, order.servers)

    def _find_order(
        self, subject: _supply.Subject
    ) -> _situation.PlacedOrder | None:
        """Return the last order, unless its servers were taken away since."""
        order = self._situation.orders.get(subject)
        taken_at = self._situation.supply.taken_at.get(subject)
        if order is None or (taken_at is not None and taken_at > order.at):
            return None
        return order

    def _is_shrinking(self, subject: _supply.Subject) -> bool:
        """Return whether more servers run than were ordered last."""
        order = self._find_order(subject)
        live = self._situation.supply.live.get(subject, 0)
        return order is not None and order.servers < live

    def _is_on_its_way(self, order: _situation.PlacedOrder) -> bool:
        wait_seconds = self._situation.limits.boot_seconds + LISTING_SECONDS
        return self._situation.now - order.at < wait_seconds

    def _get_base(self, subject: _supply.Subject) -> int:
        """Return the number of a subject from which an order counts.

        It is the largest that the platform may know, so that an order to add
        servers takes none away.
        """
        supply = self._situation.supply
        order = self._find_order(subject)
        number = (
            supply.standing.get(subject, 0) if order is None else order.servers
        )
        return max(number, supply.live.get(subject, 0))

    def _is_list_at_fault(self, kept: int) -> bool:
        """Return whether the list lacks too many servers to be trusted."""
        supply = self._situation.supply
        missing = sum(supply.standing.values()) - sum(supply.live.values())
        return missing > kept * MAX_MISSING_FRACTION

    def _count_in(self, data_center: str) -> int:
        return _supply.sum_counts(self.expected, data_center)

    def _keep_minimum(self) -> None:
        """Add servers in each data centre that has fewer than the minimum."""
        limits = self._situation.limits
        minimum = max(
            limits.min_servers, 0 if any(self._start.values()) else 1
        )
        for data_center in sorted(limits.prices):
            while self._count_in(data_center) < minimum:
                subject = self._choose([data_center])
                if subject is None:
                    break
                self.expected[subject] += 1
                self._reasons[subject] = 'too_few'

    def _add(self, servers: int, reason: str) -> None:
        """Add servers where they cost least, within the limit of a round."""
        total = sum(self.expected.values())
        limit = max(math.ceil(total * MAX_INCREASE_FRACTION), 1)
        data_centers = sorted(self._situation.limits.prices)
        for _ in range(min(servers, limit)):
            subject = self._choose(data_centers)
            if subject is None:
                return
            self.expected[subject] += 1
            self._reasons.setdefault(subject, reason)

    def _choose(
        self, data_centers: collections.abc.Iterable[str]
    ) -> _supply.Subject | None:
        """Return where one more server costs least; None if nowhere."""
        candidates = [
            subject
            for data_center in data_centers
            for subject in (
                _supply.Subject(data_center),
                _supply.Subject(data_center, True),
            )
            if self._may_add(subject)
        ]
        return min(
            candidates,
            key=lambda s: (
                self._get_price(s),
                self._count_in(s.data_center),
                s,
            ),
            default=None,
        )

    def _get_price(self, subject: _supply.Subject) -> float:
        limits = self._situation.limits
        price = limits.prices.get(subject.data_center, 1.0)
        return price * limits.spot_price if subject.is_spot else price

    def _may_add(self, subject: _supply.Subject) -> bool:
        """Return whether one server more may be ordered for a subject."""
        situation, limits = self._situation, self._situation.limits
        taken_at = situation.supply.taken_at.get(subject, _supply.NEVER)
        refused_until = situation.refused_until.get(subject, _supply.NEVER)
        room = limits.max_servers - self._count_ordered(subject.data_center)
        if (
            room < 1
            or self._is_busy(subject)
            or situation.now < refused_until
            or situation.now - taken_at < TAKEN_SECONDS
            or self._is_overdue(subject)
        ):
            return False
        if not subject.is_spot:
            return True
        max_spot = MAX_SPOT_FRACTION * sum(self.expected.values())
        return (
            limits.spot_price < 1.0 and self.expected[subject] + 1 <= max_spot
        )

    def _is_overdue(self, subject: _supply.Subject) -> bool:
        """Return whether servers of a recent order did not come in time."""
        order = self._find_order(subject)
        live = self._situation.supply.live.get(subject, 0)
        return (
            order is not None
            and live < order.servers
            and not self._is_on_its_way(order)
            and self._situation.now - order.at < ABSENCE_SECONDS
        )

    def _count_ordered(self, data_center: str) -> int:
        """Return the servers of a data centre as the platform counts them."""
        return sum(
            self._get_number(subject)
            for subject in self.expected
            if subject.data_center == data_center
        )

    def _get_number(self, subject: _supply.Subject) -> int:
        """Return the number to order of a subject."""
        added = self.expected[subject] - self._start[subject]
        return self._get_base(subject) + added

    def _is_busy(self, subject: _supply.Subject) -> bool:
        """Return whether the last order of a subject has not shown yet."""
        order = self._situation.orders.get(subject)
        if order is not None and order.is_open:
            return True
        order = self._find_order(subject)
        live = self._situation.supply.live.get(subject, 0)
        return (
            order is not None
            and self._is_on_its_way(order)
            and live != order.servers
        )

    def _find_surplus(self) -> _supply.Subject | None:
        """Return the subject that may give up a server, if one may."""
        situation = self._situation
        lasting = situation.need.lasting_servers
        if (
            not situation.may_decrease
            or lasting is None
            or situation.now - situation.decreased_at
            < DECREASE_INTERVAL_SECONDS
            or situation.supply.leaving
            or not all(map(self._is_steady, self.expected))
            or sum(self.expected.values()) - max(lasting, 1)
            < DECREASE_MARGIN_SERVERS
        ):
            return None
        return max(
            (s for s in self.expected if self._may_give_up(s)),
            key=lambda s: (self._get_price(s), s),
            default=None,
        )

    def _is_steady(self, subject: _supply.Subject) -> bool:
        """Return whether a subject has what it should, and nothing open."""
        live = self._situation.supply.live.get(subject, 0)
        return self.expected[subject] == live == self._get_base(
            subject
        ) and not self._is_busy(subject)

    def _may_give_up(self, subject: _supply.Subject) -> bool:
        limits = self._situation.limits
        rest = self._count_in(subject.data_center) - 1
        return (
            self.expected[subject] > 0
            and subject.data_center in limits.prices
            and rest >= limits.min_servers
        )

    def _list_placements(self) -> list[_situation.Placement]:
        return [
            _situation.Placement(
                subject,
                self._get_number(subject),
                servers - self._start[subject],
                self._reasons[subject],
            )
            for subject, servers in self.expected.items()
            if servers != self._start[subject]
        ]
