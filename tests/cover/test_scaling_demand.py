"""How many servers open batches need, and which servers there are."""

import pytest

from swiftjunction import scaling
from swiftjunction.scaling import _demand

PACE = 0.004


def make_batch(deadline, waiting=0, running=0, batch_id='b', tokens=1000.0):
    samples = [
        scaling.SampleWork(f'{batch_id}-w{index}', tokens)
        for index in range(waiting)
    ] + [
        scaling.SampleWork(f'{batch_id}-r{index}', tokens, 1.0)
        for index in range(running)
    ]
    return scaling.BatchWork(batch_id, deadline, samples)


@pytest.mark.parametrize(
    ('batches', 'slots'),
    [
        # 10 samples of 4 s in 10 s, of which the last one takes 2 on average.
        ([make_batch(10.0, waiting=10)], 5.0),
        # Running ones have a second less each.
        ([make_batch(10.0, running=10)], 3.0),
        # Overdue: all at once, and no more than that.
        ([make_batch(-5.0, waiting=10)], 10.0),
        # Work that is due later does not add to what is due first.
        ([make_batch(10.0, waiting=10), make_batch(100.0, waiting=10)], 5.0),
        # But what is due first goes before what is due later.
        ([make_batch(10.0, waiting=10), make_batch(12.0, waiting=10)], 8.0),
        ([], 0.0),
    ],
)
def test_slots_are_as_many_as_finish_by_each_deadline(batches, slots):
    assert _demand.compute_slots(batches, PACE, 0.0) == pytest.approx(slots)


def test_the_pace_is_that_of_samples_that_completed():
    pace = _demand.PaceEstimator()
    for index in range(_demand.MIN_OBSERVATIONS):
        name = f'b{index}'
        now = 10.0 * index
        running = scaling.SampleWork(name, 1000.0, 3.5)
        pace.update([scaling.BatchWork(name, 0.0, [running])], now)
        assert pace.seconds_per_token is None
        pace.update([scaling.BatchWork(name, 0.0, [])], now + 1)
    assert pace.seconds_per_token == pytest.approx(0.004)


def test_samples_of_a_batch_that_ended_say_nothing_of_the_pace():
    pace = _demand.PaceEstimator()
    for index in range(2 * _demand.MIN_OBSERVATIONS):
        running = scaling.SampleWork(f's{index}', 1000.0, 3.5)
        pace.update([scaling.BatchWork(f'b{index}', 0.0, [running])], index)
    assert pace.seconds_per_token is None


def test_the_lasting_need_is_known_only_after_its_time():
    tracker = _demand.DemandTracker()
    early = tracker.update([make_batch(9.0, running=8)], 4, 0.0)
    assert (early.servers, early.lasting_servers) == (2, None)
    later = tracker.update([], 4, 60.0)
    assert (later.servers, later.lasting_servers) == (0, 2)
    assert tracker.update([], 4, 61.0).lasting_servers == 0


def view(name, is_live=True, is_taken=False, is_spot=False):
    subject = scaling.Subject('dc-1', is_spot)
    return scaling.ServerView(name, subject, is_live, is_taken)


def test_a_server_that_went_missing_counts_until_it_can_not_return():
    tracker = scaling.SupplyTracker({}, 0.0)
    subject = scaling.Subject('dc-1')
    tracker.update([view('a'), view('b')], 0.0)
    gone = tracker.update([view('a')], 5.0)
    assert (gone.live[subject], gone.present[subject]) == (1, 2)
    assert tracker.update([view('a')], 9.0).present[subject] == 1
    # An order that adds a server counts from what the platform counts.
    assert tracker.update([view('a')], 30.0).standing[subject] == 2
    assert tracker.update([view('a')], 70.0).standing[subject] == 1


def test_servers_that_are_taken_away_no_longer_count_at_once():
    tracker = scaling.SupplyTracker({}, 0.0)
    subject = scaling.Subject('dc-1', True)
    tracker.update([view('a', is_spot=True)], 0.0)
    taken = tracker.update([view('a', False, True, is_spot=True)], 1.0)
    assert taken.present.get(subject, 0) == 0
    assert taken.standing.get(subject, 0) == 0
    assert taken.taken_at == {subject: 1.0}


def test_what_is_there_counts_as_settled_after_some_time():
    tracker = scaling.SupplyTracker({}, 0.0)
    assert tracker.update([view('a')], 0.0).settled == 0
    assert tracker.update([view('a'), view('b')], 9.0).settled == 0
    assert tracker.update([view('a'), view('b')], 10.0).settled == 1
    assert tracker.update([view('a'), view('b')], 19.5).settled == 2
