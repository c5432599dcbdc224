import contextlib

import pytest

from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import requests


def make_settings(request_class='live', path=None, team=None):
    return configuration.PathSettings(
        request_class=request_class,
        max_in_flight=path,
        team_max_in_flight=team,
    )


def admit_many(admission, path, settings, stack):
    count = 0
    while True:
        try:
            stack.enter_context(admission.admit(path, settings))
        except errors.NotRun:
            return count
        count += 1


@pytest.mark.parametrize(
    ('settings', 'admitted'),
    [
        (make_settings(), 100),
        (make_settings('internal'), 75),
        (make_settings('samples'), 50),
        (make_settings(path=3), 3),
        (make_settings(team=5), 5),
        (make_settings(path=9, team=5), 5),
        (make_settings(path=0), 0),
    ],
)
def test_admits_up_to_the_lowest_limit(clock, settings, admitted):
    admission = requests.AdmissionController(100, clock)
    with contextlib.ExitStack() as stack:
        assert admit_many(admission, 'a/b', settings, stack) == admitted
        assert admission.in_flight == admitted
    assert admission.in_flight == 0


def test_internal_lookups_and_samples_never_keep_live_callers_out(clock):
    admission = requests.AdmissionController(100, clock)
    with contextlib.ExitStack() as stack:
        for request_class in ('samples', 'internal'):
            settings = make_settings(request_class)
            admit_many(admission, f'a/{request_class}', settings, stack)
        assert admit_many(admission, 'a/live', make_settings(), stack) == 25


def test_the_limit_of_a_team_counts_all_its_paths_and_no_others(clock):
    admission = requests.AdmissionController(100, clock)
    settings = make_settings(team=4)
    with contextlib.ExitStack() as stack:
        admit_many(admission, 'a/x', settings, stack)
        assert admit_many(admission, 'a/y', settings, stack) == 0
        assert admit_many(admission, 'b/x', settings, stack) == 4


@pytest.mark.parametrize(
    ('seconds', 'limit', 'low', 'high'),
    [(1.0, 1, 0.9, 1.1), (0.01, 10, 0.2, 0.2), (100.0, 1, 30, 30)],
)
def test_says_when_to_come_back_by_how_long_requests_take(
    clock, seconds, limit, low, high
):
    admission = requests.AdmissionController(100, clock)
    settings = make_settings(path=limit)
    for _ in range(200):
        with admission.admit('a/b', settings):
            clock.now += seconds
    with contextlib.ExitStack() as stack:
        admit_many(admission, 'a/b', settings, stack)
        with pytest.raises(errors.NotRun) as caught:
            stack.enter_context(admission.admit('a/b', settings))
    assert low <= caught.value.retry_after_seconds <= high


def test_paths_that_are_not_in_use_take_no_memory(clock):
    admission = requests.AdmissionController(100, clock)
    for number in range(100):
        with admission.admit(f'team-{number}/x', make_settings()):
            pass
    assert admission.summarize()['by_path'] == {}
    assert admission.summarize()['by_team'] == {}


@pytest.mark.parametrize(
    ('checks', 'overloaded'),
    [
        ([(0.0, False)] * 50, False),
        ([(0.0, True)] * 3, False),
        ([(0.0, True)] * 4, True),
        ([(0.2, False)] * 4, True),
        ([(0.0, True), (0.0, False)] * 20, False),
        ([(0.0, True)] * 4 + [(0.0, False)] * 39, True),
        ([(0.0, True)] * 4 + [(0.0, False)] * 40, False),
    ],
)
def test_an_entry_leaves_quickly_and_comes_back_slowly(checks, overloaded):
    detector = requests.OverloadDetector()
    for loop_lag_seconds, saturated in checks:
        detector.update(loop_lag_seconds, saturated)
    assert detector.overloaded is overloaded
