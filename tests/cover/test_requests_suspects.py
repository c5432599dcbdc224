import pytest

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests


def make_trackers(clock, *names):
    table = membership.RecordTable()
    return [
        requests.SuspectTracker(
            requests.RecordCrashRegistry(table), name, clock
        )
        for name in names
    ]


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


def test_a_completed_suspect_is_cleared_on_all_processes(clock):
    # Guards against refusing a request that many callers repeat, because
    # servers crashed for other reasons now and then.
    first, second = make_trackers(clock, 'a', 'b')
    first.record_crash('f', 'engine-1', clock.now)
    clock.now += 1
    second.clear('f')
    assert not first.must_isolate('f')
    clock.now += 1
    first.record_crash('f', 'engine-2', clock.now)
    assert second.must_isolate('f')


def test_overlapping_attempts_on_several_servers_count_once(clock):
    first, second = make_trackers(clock, 'a', 'b')
    started_at = clock.now
    clock.now += 1
    first.record_crash('f', 'engine-1', started_at)
    clock.now += 0.5
    second.record_crash('f', 'engine-2', started_at + 0.5)
    assert first.must_isolate('f')


def test_a_chain_of_overlapping_attempts_does_not_count_once(clock):
    (suspects,) = make_trackers(clock, 'a')
    for index in range(3):
        clock.now += 1
        suspects.record_crash('f', f'engine-{index}', clock.now - 1.5)
    assert suspects.count_crashes('f') == 2


def test_one_run_of_a_server_crashes_once(clock):
    first, second = make_trackers(clock, 'a', 'b')
    first.record_crash('f', 'engine-1', clock.now, 5)
    clock.now += 1
    second.record_crash('f', 'engine-1', clock.now, 5)
    assert first.count_crashes('f') == 1
    clock.now += 1
    second.record_crash('f', 'engine-1', clock.now, 6)
    assert first.count_crashes('f') == 2


def test_a_restarted_process_keeps_the_crashes_it_had_recorded(clock):
    old_table = membership.RecordTable()
    old = requests.SuspectTracker(
        requests.RecordCrashRegistry(old_table), 'a', clock
    )
    for _ in range(2):
        clock.now += 1
        old.record_crash('f', 'engine-1', clock.now)
    table = membership.RecordTable()
    new = requests.SuspectTracker(
        requests.RecordCrashRegistry(table), 'a', clock
    )
    clock.now += 1
    new.record_crash('f', 'engine-2', clock.now)
    # The peers still have the record of the run before.
    table.apply(list(old_table.select('crash/')))
    assert new.count_crashes('f') == 3
    old_table.apply(list(table.select('crash/')))
    assert old.count_crashes('f') == 3


def test_crashes_that_no_longer_count_are_forgotten(clock):
    first, second = make_trackers(clock, 'a', 'b')
    for _ in range(2):
        clock.now += 1
        first.record_crash('f', 'engine-1', clock.now)
    clock.now += 3601
    first.forget_expired()
    assert second.summarize() == first.summarize() == {}
    for index in range(1100):
        clock.now += 0.01
        first.record_crash(f'f{index}', 'engine-1', clock.now)
    assert len(first.summarize()) == len(second.summarize()) == 1024


def test_suspicion_expires(clock):
    (suspects,) = make_trackers(clock, 'a')
    suspects.record_crash('f', 'engine-1', clock.now)
    clock.now += 61
    assert not suspects.must_isolate('f')


def test_fingerprints_of_different_parts_differ():
    assert requests.make_fingerprint('ab', 'c') != requests.make_fingerprint(
        'a', 'bc'
    )
