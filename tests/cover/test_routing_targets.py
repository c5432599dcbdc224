"""Performance targets of routing, in virtual time with a fixed seed."""

import pytest

from bench import routing_load
from swiftjunction import requests


def run(policy, load, fault, limits=True):
    cell = routing_load.Cell(policy, load, fault, limits)
    return routing_load.run_cell(cell)


def test_two_choices_halve_the_p99_latency_of_round_robin_with_a_slow_server():
    # Round robin, the baseline, runs without concurrency limits.
    two_choices = run('two-choices', 0.8, 'slow')
    round_robin = run('round-robin', 0.8, 'slow', limits=False)
    assert two_choices.p99 <= round_robin.p99 / 2
    assert not two_choices.errors


def test_a_crash_loses_no_request_and_retries_stay_within_their_budget():
    outcome = run('two-choices', 0.8, 'crash')
    assert not outcome.errors
    assert outcome.retries_share <= 0.1


def test_overload_keeps_95_percent_of_the_goodput_at_full_load():
    full = run('two-choices', 1.0, 'none')
    over = run('two-choices', 1.2, 'none')
    assert over.goodput_per_second >= 0.95 * full.goodput_per_second
    assert set(over.errors) == {'NotRun'}


@pytest.mark.parametrize('count', [100, 1000, 10_000])
def test_retries_are_bounded_by_a_tenth_of_the_requests_and_a_burst(count):
    budget = requests.RetryBudget()
    granted = 0
    for _ in range(count):
        budget.deposit()
        granted += budget.try_withdraw()
    assert granted <= 0.1 * count + 20
