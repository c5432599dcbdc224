import msgspec
import pytest

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import weights
from tests import conftest


def make_board(clock, *times):
    table = membership.RecordTable()
    history = weights.VersionHistory('fit')
    for time in times:
        history.add(time)
    table.put('weights/fit', msgspec.json.encode(history))
    return weights.VersionTracker(table, clock)


def test_a_version_behind_the_bound_is_stale(clock):
    board = make_board(clock, 0, 1, 2)
    board.check_freshness('fit', 2, weights.FreshnessBound(versions=1))
    with pytest.raises(errors.StaleWeights, match='older than 2'):
        board.check_freshness('fit', 1, weights.FreshnessBound(versions=1))


def test_an_age_bound_counts_the_clock_error_against_the_version(clock):
    board = make_board(clock, 900, 990)
    assert (
        board.find_oldest_fresh('fit', weights.FreshnessBound(seconds=20)) == 2
    )
    clock.now = 1009.4
    board.check_freshness('fit', 2, weights.FreshnessBound(seconds=20))
    clock.now = 1009.6
    with pytest.raises(errors.StaleWeights, match='newest, was published'):
        board.check_freshness('fit', 2, weights.FreshnessBound(seconds=20))


def test_an_answer_whose_engine_named_no_version_is_refused(clock):
    board = make_board(clock, 0)
    with pytest.raises(errors.StaleWeights, match='did not name'):
        board.check_freshness('fit', 0, weights.FreshnessBound())


@pytest.mark.anyio
async def test_publishing_adds_versions_in_order(store):
    publisher = weights.Publisher(store)
    assert await publisher.publish('fit') == 1
    assert await publisher.publish('fit') == 2


@pytest.mark.parametrize(
    ('bound', 'text'),
    [
        (weights.FreshnessBound(versions=1), 'bound of 1 versions'),
        (weights.FreshnessBound(versions=5, seconds=50), 'bound of 50 s'),
        (
            weights.FreshnessBound(versions=1, seconds=50),
            'bound of 1 versions',
        ),
    ],
)
def test_the_error_names_the_bound_that_is_broken(clock, bound, text):
    board = make_board(clock, 900, 990, 999)
    with pytest.raises(errors.StaleWeights, match=text):
        board.check_freshness('fit', 1, bound)


def test_a_wall_clock_that_steps_back_makes_no_version_fresh(clock):
    steady = conftest.Clock()
    table = membership.RecordTable()
    board = weights.VersionTracker(table, clock, steady)
    history = weights.VersionHistory('fit')
    history.add(clock.now)
    table.put('weights/fit', msgspec.json.encode(history))
    steady.now += 30
    clock.now -= 3600
    with pytest.raises(errors.StaleWeights, match='more than 20 s ago'):
        board.check_freshness('fit', 1, weights.FreshnessBound(seconds=20))


def test_a_later_version_does_not_renew_an_earlier_one(clock):
    steady = conftest.Clock()
    table = membership.RecordTable()
    board = weights.VersionTracker(table, clock, steady)
    history = weights.VersionHistory('fit')
    for _ in range(2):
        history.add(clock.now)
        table.put('weights/fit', msgspec.json.encode(history))
        steady.now += 15
    board.check_freshness('fit', 2, weights.FreshnessBound(seconds=20))
    with pytest.raises(errors.StaleWeights):
        board.check_freshness('fit', 1, weights.FreshnessBound(seconds=20))


@pytest.mark.parametrize(
    ('bound', 'refused'),
    [
        (weights.FreshnessBound(versions=1), True),
        (weights.FreshnessBound(seconds=60), True),
        (weights.FreshnessBound(), False),
    ],
)
def test_nothing_is_fresh_before_any_version_is_known(bound, refused):
    """As on a process that has just started and knows engines already."""
    board = weights.VersionTracker(membership.RecordTable())
    if not refused:
        board.check_freshness('fit', 7, bound)
        return
    with pytest.raises(errors.StaleWeights):
        board.check_freshness('fit', 7, bound)
