"""Which servers are ordered, decided without a network."""

import collections
import random

import hypothesis
import hypothesis.strategies
import msgspec
import pytest

from swiftjunction import scaling
from swiftjunction.scaling import _decision

strategies = hypothesis.strategies
CENTERS = ('dc-1', 'dc-2', 'dc-3')
LIMITS = scaling.ServiceScaling(
    'engines',
    min_servers=1,
    max_servers=8,
    boot_seconds=4.0,
    spot_price=0.25,
    prices={'dc-1': 0.9, 'dc-2': 1.0, 'dc-3': 1.2},
)
NOW = 1000.0


def regular(data_center):
    return scaling.Subject(data_center)


def spot(data_center):
    return scaling.Subject(data_center, True)


def make_supply(live=None, **changes):
    live = {regular(name): 4 for name in CENTERS} if live is None else live
    values = {
        'present': live,
        'standing': live,
        'settled': sum(live.values()),
        'observed_seconds': 100.0,
    }
    return scaling.Supply(live, **{**values, **changes})


def decide(supply=None, servers=0, lasting=None, limits=LIMITS, **options):
    situation = scaling.Situation(
        limits=limits,
        supply=supply or make_supply(),
        need=scaling.Need(servers, lasting),
        now=NOW,
        **options,
    )
    decision = scaling.decide(situation)
    return {p.subject: p.servers for p in decision.placements}, decision


def test_what_is_there_is_kept_without_a_need():
    placed, decision = decide()
    assert placed == {}
    assert decision.target == 12


def test_nothing_is_ordered_before_the_list_can_be_complete():
    supply = make_supply({regular('dc-1'): 1}, observed_seconds=2.0, settled=0)
    assert decide(supply, servers=20)[0] == {}


def test_late_steps_get_spot_servers_up_to_a_quarter_of_all_in_each_center():
    limits = msgspec.structs.replace(LIMITS, max_servers=20)
    placed, decision = decide(servers=18, limits=limits)
    assert decision.target == 18
    # The cheapest first.
    assert placed == {spot('dc-1'): 4, spot('dc-2'): 2}


def test_an_order_counts_what_is_on_its_way():
    orders = {spot('dc-1'): scaling.PlacedOrder(4, NOW - 3)}
    assert decide(servers=16, orders=orders)[0] == {}
    # It did not show in time.
    late = {spot('dc-1'): scaling.PlacedOrder(4, NOW - 30)}
    assert decide(servers=16, orders=late, target=16)[0] != {}


def test_an_order_that_is_open_is_followed_by_none_of_its_subject():
    orders = {spot('dc-1'): scaling.PlacedOrder(1, NOW - 70, is_open=True)}
    placed, _ = decide(servers=18, orders=orders)
    assert spot('dc-1') not in placed
    assert placed


def test_no_data_center_gets_more_than_its_maximum():
    placed, decision = decide(servers=100, target=24)
    totals = collections.Counter()
    for subject, servers in placed.items():
        totals[subject.data_center] += servers
    assert decision.target == 24
    assert all(totals[name] + 4 <= 8 for name in CENTERS)


def test_servers_that_were_taken_away_are_replaced_elsewhere_at_once():
    live = {regular(name): 4 for name in CENTERS}
    supply = make_supply(
        live, settled=12, leaving=3, taken_at={spot('dc-1'): NOW}
    )
    placed, decision = decide(supply, target=15)
    assert decision.target == 15
    assert placed == {spot('dc-2'): 3}


def test_a_refused_subject_is_left_for_another_one():
    refused = {spot('dc-1'): NOW + 1}
    assert decide(servers=13, refused_until=refused)[0] == {spot('dc-2'): 1}
    refused = {spot(name): NOW + 1 for name in CENTERS}
    assert decide(servers=13, refused_until=refused)[0] == {regular('dc-1'): 5}


def test_a_data_center_where_ordered_servers_never_came_is_left_alone():
    # The platform does not know it, and says nothing of that.
    orders = {spot('dc-1'): scaling.PlacedOrder(3, NOW - 12)}
    assert decide(servers=13, orders=orders)[0] == {spot('dc-2'): 1}
    orders = {spot('dc-1'): scaling.PlacedOrder(3, NOW - 61)}
    assert spot('dc-1') in decide(servers=13, orders=orders)[0]


def test_nothing_is_ordered_where_none_can_be_had_anywhere():
    refused = {
        subject: NOW + 1
        for name in CENTERS
        for subject in (spot(name), regular(name))
    }
    assert decide(servers=20, refused_until=refused)[0] == {}


def test_an_order_never_falls_below_what_stood_there_before():
    # One of six has crashed a minute ago; the platform still counts six.
    live = {regular('dc-1'): 5}
    supply = make_supply(live, standing={regular('dc-1'): 6})
    limits = scaling.ServiceScaling(
        'engines', min_servers=1, max_servers=8, prices={'dc-1': 1.0}
    )
    placed, _ = decide(supply, servers=6, limits=limits)
    assert placed == {regular('dc-1'): 7}


def test_a_list_that_lost_most_servers_changes_nothing():
    standing = {regular(name): 4 for name in CENTERS}
    supply = make_supply({}, standing=standing, settled=0)
    assert decide(supply, target=12)[0] == {}


def test_a_service_without_servers_gets_one_in_each_data_center():
    limits = scaling.ServiceScaling(
        'engines', min_servers=0, max_servers=2, prices={'a': 1.0, 'b': 1.0}
    )
    placed, _ = decide(make_supply({}), limits=limits)
    assert placed == {regular('a'): 1, regular('b'): 1}


@pytest.mark.parametrize(
    ('limits', 'problem'),
    [
        ({'min_servers': 3, 'max_servers': 2}, 'min 3 is above max 2'),
        ({'min_servers': 0, 'max_servers': 0}, 'max is 0'),
        (
            {'min_servers': 0, 'max_servers': 2, 'prices': {}},
            'no data center is named',
        ),
    ],
)
def test_limits_that_cannot_be_kept_are_named_and_nothing_is_ordered(
    limits, problem
):
    values = {'prices': {'dc-1': 1.0}, **limits}
    broken = scaling.ServiceScaling('engines', **values)
    assert scaling.find_problem(broken) == problem
    assert decide(servers=40, limits=broken)[0] == {}


def test_one_server_is_given_up_after_long_idleness_the_dearest_first():
    options = {'lasting': 6, 'target': 12}
    placed, decision = decide(may_decrease=True, **options)
    assert placed == {regular('dc-3'): 3}
    assert decision.target == 11
    assert decide(may_decrease=False, **options)[0] == {}
    assert decide(may_decrease=True, lasting=11, target=12)[0] == {}
    assert decide(may_decrease=True, decreased_at=NOW - 5, **options)[0] == {}


def test_no_server_is_given_up_below_the_minimum():
    live = {regular(name): 1 for name in CENTERS}
    placed, _ = decide(make_supply(live), lasting=0, may_decrease=True)
    assert placed == {}


class Platform:
    """Carries orders out, and takes spot servers away."""

    def __init__(self, rng):
        self.rng = rng
        self.numbers = {regular(name): 4 for name in CENTERS}
        self.alive = {}
        self.leaving = []
        self.draining = {}
        self.booting = []
        self.dry_until = -1.0
        self.dry_center = ''
        self._count = 0
        self._start(0.0, 0.0)

    def _start(self, now, boot_seconds):
        counts = collections.Counter(
            subject
            for name, subject in self.alive.items()
            if name not in self.draining
        )
        counts.update(subject for _, subject in self.booting)
        for subject, number in self.numbers.items():
            for _ in range(number - counts[subject]):
                self.booting.append((now + boot_seconds, subject))
            names = [
                n
                for n, s in self.alive.items()
                if s == subject and n not in self.draining
            ]
            for name in names[number:]:
                # It drains, and is listed as before for a while.
                self.draining.setdefault(name, now + 3)

    def order(self, placement, now):
        subject = placement.subject
        if now < self.dry_until and self.dry_center in (
            '',
            subject.data_center,
        ):
            return False
        self.numbers[subject] = placement.servers
        self._start(now, LIMITS.boot_seconds)
        return True

    def reclaim(self, data_center, everywhere, now):
        self.leaving = [
            n for n, s in self.alive.items() if s == spot(data_center)
        ]
        self.numbers[spot(data_center)] = 0
        self.booting = [b for b in self.booting if b[1] != spot(data_center)]
        self.dry_until = now + 8
        self.dry_center = '' if everywhere else data_center

    def list(self, now):
        for at, subject in list(self.booting):
            if at <= now:
                self.booting.remove((at, subject))
                self._count += 1
                self.alive[f'server-{self._count}'] = subject
        for name, at in list(self.draining.items()):
            if at <= now:
                del self.draining[name]
                self.alive.pop(name, None)
        views = [
            scaling.ServerView(n, s, n not in self.leaving, n in self.leaving)
            for n, s in self.alive.items()
        ]
        return views

    def end_leaving(self):
        for name in self.leaving:
            self.alive.pop(name, None)
        self.leaving = []


def play(rng, needs, reclaims, seconds=240):
    """Run the decision against the platform; yield each second's state."""
    platform = Platform(rng)
    tracker = scaling.SupplyTracker({}, 0.0)
    orders, refused, target, decreased_at = {}, {}, 0, -1e9
    for second in range(seconds):
        now = float(second)
        if second in reclaims:
            platform.reclaim(*reclaims[second], now)
        supply = tracker.update(platform.list(now), now)
        servers = needs(second)
        decision = scaling.decide(
            scaling.Situation(
                LIMITS,
                supply,
                scaling.Need(servers, servers if second > 60 else None),
                now,
                target,
                orders,
                refused,
                decreased_at,
                may_decrease=True,
            )
        )
        target = decision.target
        for placement in decision.placements:
            if platform.order(placement, now):
                orders[placement.subject] = scaling.PlacedOrder(
                    placement.servers, now
                )
                if placement.change < 0:
                    decreased_at = now
            else:
                refused[placement.subject] = now + 5
        yield now, platform, decision
        if second - 2 in reclaims:
            platform.end_leaving()


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    seed=strategies.integers(0, 10**6),
    needs=strategies.lists(strategies.integers(0, 30), min_size=1, max_size=6),
    reclaims=strategies.dictionaries(
        strategies.integers(20, 150),
        strategies.tuples(
            strategies.sampled_from(CENTERS), strategies.booleans()
        ),
        max_size=3,
    ),
)
def test_it_settles_within_limits_whatever_is_asked_and_taken(
    seed, needs, reclaims
):
    rng = random.Random(seed)
    # The need changes until the 150th second, and is constant from then on.
    changes = sorted(rng.sample(range(150), len(needs)))

    def find_need(second):
        begun = [
            n for at, n in zip(changes, needs, strict=True) if at <= second
        ]
        return begun[-1] if begun else 0

    late_orders = 0
    for now, platform, decision in play(rng, find_need, reclaims):
        totals = collections.Counter()
        for subject, number in platform.numbers.items():
            totals[subject.data_center] += number
        assert max(totals.values()) <= LIMITS.max_servers
        assert len(platform.alive) - len(platform.leaving) >= 1
        assert all(0 <= p.servers <= 8 for p in decision.placements)
        if now >= 180:
            late_orders += len(decision.placements)
    # With a constant need: only single servers given up, twice a minute.
    assert late_orders <= 60 / _decision.DECREASE_INTERVAL_SECONDS + 1
    need = min(find_need(239), 3 * LIMITS.max_servers)
    assert len(platform.alive) >= need
