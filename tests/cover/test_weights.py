import msgspec
import pytest

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import weights


def make_board(clock, *times):
    table = membership.RecordTable()
    history = weights.History('fit')
    for time in times:
        history.add(time)
    table.put('weights/fit', msgspec.json.encode(history))
    return weights.Board(table, clock)


def test_a_version_behind_the_bound_is_stale(clock):
    board = make_board(clock, 0, 1, 2)
    board.check('fit', 2, weights.Bound(versions=1))
    with pytest.raises(errors.StaleWeights, match='older than 2'):
        board.check('fit', 1, weights.Bound(versions=1))


def test_an_age_bound_counts_the_clock_error_against_the_version(clock):
    board = make_board(clock, 900, 990)
    assert board.find_oldest('fit', weights.Bound(seconds=20)) == 2
    clock.now = 1009.4
    board.check('fit', 2, weights.Bound(seconds=20))
    clock.now = 1009.6
    with pytest.raises(errors.StaleWeights, match='newest, was published'):
        board.check('fit', 2, weights.Bound(seconds=20))


def test_an_answer_whose_engine_named_no_version_is_refused(clock):
    board = make_board(clock, 0)
    with pytest.raises(errors.StaleWeights, match='did not name'):
        board.check('fit', 0, weights.Bound())


@pytest.mark.anyio
async def test_publishing_adds_versions_in_order(store):
    publisher = weights.Publisher(store)
    assert await publisher.publish('fit') == 1
    assert await publisher.publish('fit') == 2


@pytest.mark.parametrize(
    ('bound', 'refused'),
    [
        (weights.Bound(versions=1), True),
        (weights.Bound(seconds=60), True),
        (weights.Bound(), False),
    ],
)
def test_nothing_is_fresh_before_any_version_is_known(bound, refused):
    """As on a process that has just started and knows engines already."""
    board = weights.Board(membership.RecordTable())
    if not refused:
        board.check('fit', 7, bound)
        return
    with pytest.raises(errors.StaleWeights):
        board.check('fit', 7, bound)
