import pytest

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests


def make_trackers(clock, *names):
    table = membership.RecordTable()
    return [requests.SuspectTracker(table, name, clock) for name in names]


def test_a_request_runs_in_isolation_after_one_crash(clock):
    (suspects,) = make_trackers(clock, 'a')
    assert not suspects.must_isolate('f')
    suspects.record_crash('f', 'engine-1', clock.now)
    assert suspects.must_isolate('f')


def test_after_crashes_on_two_processes_all_refuse_the_request(clock):
    first, second, third = make_trackers(clock, 'a', 'b', 'c')
    first.record_crash('f', 'engine-1', clock.now)
    second.record_crash('f', 'engine-2', clock.now)
    with pytest.raises(errors.PoisonRefused):
        third.must_isolate('f')


def test_one_crash_that_two_processes_record_counts_once(clock):
    first, second = make_trackers(clock, 'a', 'b')
    started_at = clock.now
    clock.now += 1
    first.record_crash('f', 'engine-1', started_at)
    clock.now += 1
    second.record_crash('f', 'engine-1', started_at)
    assert first.count_crashes('f') == 1


def test_two_crashes_of_a_restarted_server_count_twice(clock):
    (suspects,) = make_trackers(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    clock.now += 0.5
    suspects.record_crash('f', 'engine-1', clock.now)
    assert suspects.count_crashes('f') == 2


def test_a_request_is_cleared_when_it_completes_in_isolation(clock):
    (suspects,) = make_trackers(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    suspects.clear('f')
    assert not suspects.must_isolate('f')


def test_each_crash_is_logged_with_the_fingerprint_and_reported(clock, caplog):
    (suspects,) = make_trackers(clock, 'a')
    reported = []
    suspects.listen(lambda: reported.append(clock.now))
    suspects.record_crash('f', 'engine-1', clock.now)
    (line,) = caplog.records
    assert (line.server, line.fingerprint, line.crashes) == (
        'engine-1',
        'f',
        1,
    )
    assert reported == [clock.now]


def test_suspicion_expires(clock):
    (suspects,) = make_trackers(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    clock.now += 61
    assert not suspects.must_isolate('f')


def test_fingerprints_of_different_parts_differ():
    assert requests.make_fingerprint('ab', 'c') != requests.make_fingerprint(
        'a', 'bc'
    )
