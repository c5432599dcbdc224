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


def admit_until_refused(admission, path, settings, stack):
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
def test_requests_are_admitted_up_to_the_lowest_limit(
    clock, settings, admitted
):
    admission = requests.AdmissionController(100, clock)
    with contextlib.ExitStack() as stack:
        assert (
            admit_until_refused(admission, 'a/b', settings, stack) == admitted
        )
        assert admission.in_flight == admitted
    assert admission.in_flight == 0


def test_internal_requests_and_samples_leave_room_for_live_requests(clock):
    admission = requests.AdmissionController(100, clock)
    with contextlib.ExitStack() as stack:
        for request_class in ('samples', 'internal'):
            settings = make_settings(request_class)
            admit_until_refused(
                admission, f'a/{request_class}', settings, stack
            )
        assert (
            admit_until_refused(admission, 'a/live', make_settings(), stack)
            == 25
        )


def test_a_team_limit_counts_all_paths_of_the_team_and_no_others(clock):
    admission = requests.AdmissionController(100, clock)
    settings = make_settings(team=4)
    with contextlib.ExitStack() as stack:
        admit_until_refused(admission, 'a/x', settings, stack)
        assert admit_until_refused(admission, 'a/y', settings, stack) == 0
        assert admit_until_refused(admission, 'b/x', settings, stack) == 4


@pytest.mark.parametrize(
    ('duration_seconds', 'limit', 'low', 'high'),
    [(1.0, 1, 0.9, 1.1), (0.01, 10, 0.2, 0.2), (100.0, 1, 30, 30)],
)
def test_retry_after_follows_the_duration_of_requests(
    clock, duration_seconds, limit, low, high
):
    admission = requests.AdmissionController(100, clock)
    settings = make_settings(path=limit)
    for _ in range(200):
        with admission.admit('a/b', settings):
            clock.now += duration_seconds
    with contextlib.ExitStack() as stack:
        admit_until_refused(admission, 'a/b', settings, stack)
        with pytest.raises(errors.NotRun) as caught:
            stack.enter_context(admission.admit('a/b', settings))
    assert low <= caught.value.retry_after_seconds <= high


def test_paths_without_requests_are_not_counted(clock):
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
def test_overload_is_detected_quickly_and_ends_slowly(checks, overloaded):
    detector = requests.OverloadDetector()
    for loop_lag_seconds, saturated in checks:
        detector.update(loop_lag_seconds, saturated)
    assert detector.overloaded is overloaded
