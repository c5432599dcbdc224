import collections
import math
import random

import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import routing


class RouterHarness:
    """A router and a directory to which the test reports servers."""

    def __init__(self, clock, *data_centers):
        self.table = membership.RecordTable()
        self.directory = backends.Directory(self.table, clock)
        self.router = routing.Router(
            self.directory, 'dc-1', random.Random('routing')
        )
        for number, data_center in enumerate(data_centers):
            self.report(f's{number}', data_center)
        clock.now += 60

    def report(
        self, name, data_center='dc-1', state='live', version=1, slots=0
    ):
        report = backends.ServerReport(
            name,
            f'{name}:1',
            'fit',
            data_center,
            '',
            state,
            version,
            slots=slots,
        )
        self.table.put(f'server/{name}', msgspec.msgpack.encode(report))

    def __getitem__(self, name):
        return self.directory.get(name)

    def count(self, policy, times=200, **request):
        routing_request = routing.RoutingRequest('demo', 'fit', **request)
        return collections.Counter(
            self.router.choose(routing_request, policy).name
            for _ in range(times)
        )


POLICIES = ['round-robin', 'least-outstanding', 'two-choices', 'prefix']


@pytest.mark.parametrize('policy', POLICIES)
@pytest.mark.parametrize(
    'request_', [{}, {'prompt': 'p' * 64}], ids=['short', 'long']
)
def test_never_chooses_an_ineligible_server(clock, policy, request_):
    harness = RouterHarness(clock, *['dc-1'] * 5)
    harness['s0'].mark_leaving()
    harness.report('s1', state='leaving')
    harness.report('s2', version=0)
    chosen = harness.count(
        policy, min_version=1, excluded=frozenset({'s3'}), **request_
    )
    assert set(chosen) == {'s4'}


@pytest.mark.parametrize('policy', ['least-outstanding', 'two-choices'])
def test_avoids_the_server_with_the_most_requests_in_flight(clock, policy):
    harness = RouterHarness(clock, 'dc-1', 'dc-1', 'dc-1')
    harness['s0'].in_flight = 3
    assert 's0' not in harness.count(policy)


def test_avoids_a_server_that_answers_ten_times_slower(clock):
    harness = RouterHarness(clock, *['dc-1'] * 4)
    for name, seconds in zip(['s0', 's1', 's2', 's3'], [1, 0.1, 0.1, 0.1]):
        harness[name].record_latency(seconds)
    assert 's0' not in harness.count('two-choices')


def test_tries_a_slow_server_again_when_its_latency_has_decayed(clock):
    harness = RouterHarness(clock, 'dc-1', 'dc-1')
    harness['s0'].record_latency(1)
    clock.now += 60
    harness['s1'].record_latency(0.1)
    assert harness.count('two-choices')['s0'] > 0


def test_two_choices_do_not_concentrate_on_the_lowest_reported_load(clock):
    harness = RouterHarness(clock, *['dc-1'] * 10)
    for number in range(1, 10):
        harness[f's{number}'].load = 0.5
    share = harness.count('two-choices', times=1000)['s0'] / 1000
    # Each of the two drawn servers is s0 with a probability of one in ten.
    assert share < 0.25


@pytest.mark.parametrize(
    ('local_load', 'uses_remote'), [(0.2, False), (0.7, False), (0.9, True)]
)
def test_spills_over_when_local_servers_are_loaded(
    clock, local_load, uses_remote
):
    harness = RouterHarness(clock, 'dc-1', 'dc-1', 'dc-2', 'dc-2')
    for name in ('s0', 's1'):
        harness[name].load = local_load
    chosen = set(harness.count('two-choices'))
    assert bool(chosen & {'s2', 's3'}) is uses_remote


def test_does_not_spill_over_to_equally_loaded_servers(clock):
    harness = RouterHarness(clock, 'dc-1', 'dc-2')
    for name in ('s0', 's1'):
        harness[name].load = 0.9
    assert set(harness.count('two-choices')) == {'s0'}


@pytest.mark.parametrize(
    ('servers', 'failed', 'usable'),
    [(4, 1, 3), (4, 2, 2), (4, 3, 2), (4, 4, 2), (5, 5, 3), (1, 1, 1)],
)
def test_ejects_at_most_half_of_the_servers(clock, servers, failed, usable):
    harness = RouterHarness(clock, *['dc-1'] * servers)
    for number in range(failed):
        harness[f's{number}'].record_failure()
    assert len(harness.count('round-robin')) == usable


def test_concurrent_failures_count_as_one(clock):
    server = RouterHarness(clock, 'dc-1')['s0']
    for _ in range(50):
        server.record_failure()
    assert server.health.ejected_seconds == 3


def test_each_consecutive_failure_ejects_for_longer(clock):
    server = RouterHarness(clock, 'dc-1')['s0']
    ejections = []
    for _ in range(6):
        server.record_failure()
        ejections.append(server.health.ejected_seconds)
        clock.now += ejections[-1]
    assert ejections == [3, 6, 12, 24, 24, 24]


@pytest.mark.parametrize('case', ['new', 'returned', 'ejected'])
def test_a_new_or_returning_server_starts_slowly(clock, case):
    harness = RouterHarness(clock, *['dc-1'] * 4)
    if case == 'new':
        harness.report('s4')
    elif case == 'returned':
        harness.report('s3', state='leaving')
        harness.report('s3')
    else:
        harness['s3'].record_failure()
        clock.now += 3
    name = 's4' if case == 'new' else 's3'
    for other in harness.directory.select('fit'):
        other.in_flight = 2
    harness[name].in_flight = 1
    assert name not in harness.count('two-choices')
    clock.now += 10
    assert harness.count('two-choices')[name] > 50


def test_a_server_that_is_live_again_is_used(clock):
    harness = RouterHarness(clock, 'dc-1')
    harness['s0'].mark_leaving()
    harness.report('s0', state='leaving')
    harness.report('s0')
    assert harness.count('two-choices')['s0'] == 200


def test_a_server_that_is_gone_is_removed(clock):
    harness = RouterHarness(clock, 'dc-1', 'dc-1')
    harness.report('s0', state='gone')
    assert harness['s0'] is None
    assert set(harness.directory.summarize()) == {'s1'}


def test_the_concurrency_limit_of_each_server_is_enforced(clock):
    harness = RouterHarness(clock, 'dc-1', 'dc-1')
    harness['s0'].in_flight = harness['s0'].limit.requests
    assert set(harness.count('round-robin')) == {'s1'}
    harness['s1'].in_flight = harness['s1'].limit.requests
    with pytest.raises(errors.ServersBusy):
        harness.count('round-robin')


def record_windows(server, windows, seconds):
    for _ in range(windows * 16):
        server.record_latency(seconds)
    return server.limit.requests


def test_the_limit_doubles_until_latency_rises_then_grows_by_one(clock):
    server = RouterHarness(clock, 'dc-1')['s0']
    server.in_flight = 100
    assert record_windows(server, 4, 0.1) == 32
    assert record_windows(server, 1, 0.5) == 27
    assert record_windows(server, 1, 0.1) == 28
    assert record_windows(server, 20, 0.5) == 1
    assert record_windows(server, 3, 0.1) == 4


def test_the_limit_stays_at_least_one(clock):
    server = RouterHarness(clock, 'dc-1')['s0']
    for _ in range(100):
        server.record_failure()
        clock.now += 60
    assert server.limit.requests == 1


def test_an_unused_limit_does_not_grow(clock):
    server = RouterHarness(clock, 'dc-1')['s0']
    assert record_windows(server, 60, 0.1) == 4


def test_the_baseline_is_measured_again_at_half_of_the_limit(clock):
    server = RouterHarness(clock, 'dc-1')['s0']
    server.in_flight = 100
    assert record_windows(server, 3, 0.1) == 16
    clock.now += 60
    assert record_windows(server, 1, 0.1) == 16
    # The latency of this window, above twice the old baseline, becomes the
    # new baseline.
    assert record_windows(server, 1, 0.3) == 32


def test_the_limit_of_samples_tolerates_less_latency_than_the_live_one(clock):
    live = RouterHarness(clock, 'dc-1')
    samples = RouterHarness(clock)
    samples.directory.latency_tolerance = backends.SAMPLE_LATENCY_TOLERANCE
    samples.report('s0')
    limits = []
    for harness in (live, samples):
        server = harness['s0']
        server.in_flight = 100
        record_windows(server, 3, 0.1)
        limits.append(record_windows(server, 3, 0.15))
    assert limits[0] > limits[1]


def test_a_pending_request_raises_the_latency_of_a_hanging_server(clock):
    harness = RouterHarness(clock, 'dc-1', 'dc-1')
    for name in ('s0', 's1'):
        harness[name].record_latency(0.1)
    timer = harness['s0'].start_latency_timer()
    clock.now += 3
    assert harness['s0'].latency_seconds == 3
    assert set(harness.count('two-choices')) == {'s1'}
    timer.stop()
    timer.stop()
    assert harness['s0'].latency_seconds < 3


@pytest.mark.parametrize('load', [0.0, 5.0, math.pi])
def test_a_reported_load_decays_with_age(clock, load):
    server = RouterHarness(clock, 'dc-1')['s0']
    server.load = load
    clock.now += 4
    assert server.decayed_load == pytest.approx(load / 4)


def test_max_load_excludes_a_server_until_its_reported_load_decays(clock):
    harness = RouterHarness(clock, 'dc-1')
    harness['s0'].load = 2.0
    with pytest.raises(errors.ServersBusy):
        harness.count('two-choices', max_load=1.25)
    clock.now += 2
    assert harness.count('two-choices', max_load=1.25)['s0'] == 200


class TestScoringFromOneVm:
    """The load: the coordinator scores many samples at the same time.

    All scoring requests come from one VM, and one server of eight is in its
    data centre. Guards against sending nearly all of them to that server,
    which queues some and refuses others while the remaining ones are idle.
    """

    SLOTS = 6

    def make_harness(self, clock):
        harness = RouterHarness(clock, 'dc-1', *['dc-2'] * 7)
        for number in range(8):
            data_center = 'dc-2' if number else 'dc-1'
            harness.report(f's{number}', data_center, slots=self.SLOTS)
            # A limit that has grown far beyond the slots of the server.
            harness[f's{number}'].limit._limit = 64.0
        return harness

    def start_requests(self, harness, count):
        request = routing.RoutingRequest('demo', 'fit')
        for _ in range(count):
            harness.router.choose(request, 'two-choices').in_flight += 1
        return [harness[f's{number}'].in_flight for number in range(8)]

    def test_no_server_gets_more_requests_than_it_has_slots(self, clock):
        harness = self.make_harness(clock)
        in_flight = self.start_requests(harness, 8 * self.SLOTS)
        assert in_flight == [self.SLOTS] * 8
        with pytest.raises(errors.ServersBusy):
            self.start_requests(harness, 1)

    def test_a_burst_spreads_over_all_servers(self, clock):
        harness = self.make_harness(clock)
        in_flight = self.start_requests(harness, 4 * self.SLOTS)
        assert min(in_flight) >= 1

    def test_few_requests_stay_in_the_data_centre(self, clock):
        harness = self.make_harness(clock)
        in_flight = self.start_requests(harness, self.SLOTS // 2)
        assert in_flight[1:] == [0] * 7
