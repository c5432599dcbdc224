import math
import random

import httpx
import pytest

from swiftjunction import backends
from swiftjunction import membership
from swiftjunction.platform.servers import _responses

RUN = ('s', 1)


def make_server(clock, born_ms=1):
    directory = backends.Directory(membership.RecordTable(), clock)
    directory.update(
        backends.ServerReport('s', 'h:1', 'plain', 'dc', born_ms=born_ms)
    )
    return directory, directory.get('s')


def respond(server, sent_at, *limits, request_id='r', answered_id='r'):
    headers = [('server-limit', limit) for limit in limits]
    response = httpx.Response(
        200, headers=[*headers, ('swiftjunction-attempt-id', answered_id)]
    )
    _responses.record_rate_limit(response, server, request_id, sent_at)


class TestHeader:
    @pytest.mark.parametrize(
        ('value', 'limit'),
        [
            ('4', 4.0),
            ('0.5', 0.5),
            ('.75', 0.75),
            ('3.', 3.0),
            ('3.3333333333333333333333', 10 / 3),
            # Never nothing at all, or it could not say that the limit ends.
            ('0', 0.25),
        ],
    )
    def test_a_decimal_number_is_the_limit(self, clock, value, limit):
        directory, server = make_server(clock)
        respond(server, clock(), value)
        assert directory.rates.get(RUN) == pytest.approx(limit)

    @pytest.mark.parametrize(
        'value',
        ['', '-1', 'inf', 'nan', '1e3', '1,', '٣', '4 a second', '9' * 65],
    )
    def test_an_invalid_value_changes_nothing(self, clock, value):
        directory, server = make_server(clock)
        respond(server, clock(), value.encode())
        assert directory.rates.get(RUN) in (math.inf, 1.0)
        respond(server, clock(), '4')
        clock.now += 1
        respond(server, clock(), value.encode())
        assert directory.rates.get(RUN) in (4.0, 1.0)

    def test_the_lowest_of_several_values_counts(self, clock):
        directory, server = make_server(clock)
        respond(server, clock(), '4', '2', '3')
        assert directory.rates.get(RUN) == 2

    def test_a_response_to_a_report_does_not_end_the_limit(self, clock):
        directory, server = make_server(clock)
        respond(server, clock(), '4')
        clock.now += 1
        respond(server, clock(), request_id='')
        respond(server, clock(), answered_id='another')
        assert directory.rates.get(RUN) == 4


class TestServerRates:
    def test_a_late_response_does_not_raise_the_limit(self, clock):
        directory, server = make_server(clock)
        sent_at = clock()
        clock.now += 1
        respond(server, clock(), '2')
        respond(server, sent_at, '8')
        respond(server, sent_at)
        assert directory.rates.get(RUN) == 2
        clock.now += 1
        respond(server, clock(), '8')
        assert directory.rates.get(RUN) == 8

    def test_a_lower_limit_counts_at_once(self, clock):
        directory, server = make_server(clock)
        sent_at = clock()
        clock.now += 1
        respond(server, clock(), '8')
        respond(server, sent_at, '2')
        assert directory.rates.get(RUN) == 2

    def test_a_restarted_server_has_no_limit(self, clock):
        directory, server = make_server(clock)
        respond(server, clock(), '2')
        directory.update(
            backends.ServerReport('s', 'h:1', 'plain', 'dc', born_ms=2)
        )
        assert not directory.get('s').is_rate_limited()
        # A list that is behind does not make the old one unlimited.
        directory.update(
            backends.ServerReport('s', 'h:1', 'plain', 'dc', born_ms=1)
        )
        assert directory.get('s').is_rate_limited()

    def test_an_entry_that_lapses_keeps_the_limit(self, clock):
        directory, server = make_server(clock)
        respond(server, clock(), '2')
        directory.remove('s')
        directory.update(server.report)
        assert directory.get('s').is_rate_limited()

    def test_the_newer_statement_of_a_peer_counts(self, clock):
        rates = backends.ServerRates(clock)
        rates.merge(backends.RateStatement(*RUN, 4.0, 1.0))
        rates.merge(backends.RateStatement(*RUN, 9.0, 5.0))
        assert rates.get(RUN) == 4
        rates.merge(backends.RateStatement(*RUN, math.inf, 0.5))
        assert rates.get(RUN) == math.inf
        # One that others still repeat does not come back.
        rates.merge(backends.RateStatement(*RUN, 4.0, 1.0))
        assert rates.get(RUN) == math.inf

    def test_each_change_is_logged_in_valid_json(self, clock, caplog):
        caplog.set_level('INFO')
        rates = backends.ServerRates(clock)
        rates.merge(backends.RateStatement(*RUN, 4.0, 1.0))
        rates.merge(backends.RateStatement(*RUN, 4.0, 0.5))
        rates.merge(backends.RateStatement(*RUN, math.inf, 0.0))
        named = [
            (line.former_requests_per_second, line.requests_per_second)
            for line in caplog.records
        ]
        assert named == [(None, 4.0), (4.0, None)]

    def test_knowledge_is_bounded(self, clock):
        rates = backends.ServerRates(clock)
        for index in range(5000):
            clock.now += 0.001
            rates.merge(backends.RateStatement(f's{index}', 1, 4.0, 0.0))
        assert rates.get(('s0', 1)) == math.inf
        assert rates.get(('s4999', 1)) == 4
        assert len(rates.list_statements()) == 64
        clock.now += 601
        rates.merge(backends.RateStatement('new', 1, 4.0, 0.0))
        assert [s.server for s in rates.list_statements()] == ['new']


class TestPermitBuckets:
    @pytest.mark.parametrize('limit', [0.25, 1, 4, 40])
    @pytest.mark.parametrize('max_wait', [0.0, 0.2])
    def test_no_four_seconds_exceed_the_limit(self, clock, limit, max_wait):
        rng = random.Random(1)
        buckets = backends.PermitBuckets(clock)
        sent_at = []
        ends_at = clock.now + 60
        while clock.now < ends_at:
            clock.now += rng.expovariate(limit * 5)
            permit = buckets.take(RUN, limit, max_wait)
            if permit.granted:
                sent_at.append(clock.now + permit.wait_seconds)
        most = max(
            sum(1 for t in sent_at if start <= t <= start + 4.0)
            for start in sent_at
        )
        assert most <= limit * 5 + 3 + 1e-6
        assert len(sent_at) >= limit * 60 * 0.9 - 1

    def test_a_refusal_tells_when_the_next_permit_is_due(self, clock):
        buckets = backends.PermitBuckets(clock)
        assert buckets.take(RUN, 0.5, 0.0).granted
        refused = buckets.take(RUN, 0.5, 0.0)
        assert not refused.granted
        clock.now += refused.wait_seconds + 0.001
        assert buckets.take(RUN, 0.5, 0.0).granted

    def test_a_limit_that_changes_twice_within_a_second_is_kept(self, clock):
        buckets = backends.PermitBuckets(clock)
        sent = 0
        for step in range(400):
            clock.now += 0.01
            limit = 20.0 if step < 30 else 1.0 if step < 60 else 2.0
            sent += buckets.take(RUN, limit, 0.0).granted
        assert sent <= 20 * 0.3 + 1 * 0.3 + 2 * 3.4 + 5
