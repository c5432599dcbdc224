import pytest

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests


def make_lists(clock, *names):
    table = membership.RecordTable()
    return [requests.SuspectTracker(table, name, clock) for name in names]


def test_a_suspect_runs_alone_after_one_crash(clock):
    (suspects,) = make_lists(clock, 'a')
    assert not suspects.check('f')
    suspects.record_crash('f', 'engine-1', clock.now)
    assert suspects.check('f')


def test_two_crashes_seen_by_two_processes_refuse_it_everywhere(clock):
    first, second, third = make_lists(clock, 'a', 'b', 'c')
    first.record_crash('f', 'engine-1', clock.now)
    second.record_crash('f', 'engine-2', clock.now)
    with pytest.raises(errors.PoisonRefused):
        third.check('f')


def test_two_reports_of_one_crash_count_once(clock):
    first, second = make_lists(clock, 'a', 'b')
    began = clock.now
    clock.now += 1
    first.record_crash('f', 'engine-1', began)
    clock.now += 1
    second.record_crash('f', 'engine-1', began)
    assert first.count_crashes('f') == 1


def test_a_server_that_came_back_and_crashed_again_counts_twice(clock):
    (suspects,) = make_lists(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    clock.now += 0.5
    suspects.record_crash('f', 'engine-1', clock.now)
    assert suspects.count_crashes('f') == 2


def test_a_request_beside_the_one_at_fault_is_cleared_by_its_answer(clock):
    (suspects,) = make_lists(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    suspects.clear('f')
    assert not suspects.check('f')


def test_suspicion_ends_by_itself(clock):
    (suspects,) = make_lists(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    clock.now += 61
    assert not suspects.check('f')


def test_fingerprints_of_different_parts_differ():
    assert requests.make_fingerprint('ab', 'c') != requests.make_fingerprint(
        'a', 'bc'
    )
