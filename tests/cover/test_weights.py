import msgspec
import pytest

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import weights
from tests import conftest


def make_tracker(clock, *times):
    table = membership.RecordTable()
    history = weights.VersionHistory('fit')
    for time in times:
        history.add(time)
    table.put('weights/fit', msgspec.json.encode(history))
    return weights.VersionTracker(table, clock)


def test_a_version_behind_the_bound_is_stale(clock):
    tracker = make_tracker(clock, 0, 1, 2)
    tracker.check_freshness('fit', 2, weights.FreshnessBound(versions=1))
    with pytest.raises(errors.StaleWeights, match='older than 2'):
        tracker.check_freshness('fit', 1, weights.FreshnessBound(versions=1))


def test_an_age_bound_counts_the_clock_error_against_the_version(clock):
    tracker = make_tracker(clock, 900, 990)
    assert (
        tracker.find_oldest_fresh('fit', weights.FreshnessBound(seconds=20))
        == 2
    )
    clock.now = 1009.4
    tracker.check_freshness('fit', 2, weights.FreshnessBound(seconds=20))
    clock.now = 1009.6
    with pytest.raises(errors.StaleWeights, match='newest, was published'):
        tracker.check_freshness('fit', 2, weights.FreshnessBound(seconds=20))


def test_an_engine_that_reports_no_version_is_stale(clock):
    tracker = make_tracker(clock, 0)
    with pytest.raises(errors.StaleWeights, match='did not report'):
        tracker.check_freshness('fit', 0, weights.FreshnessBound())


@pytest.mark.anyio
async def test_published_versions_are_consecutive(store):
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
def test_the_error_names_the_violated_bound(clock, bound, text):
    tracker = make_tracker(clock, 900, 990, 999)
    with pytest.raises(errors.StaleWeights, match=text):
        tracker.check_freshness('fit', 1, bound)


def test_a_backward_wall_clock_step_makes_no_version_fresh(clock):
    boot_clock = conftest.FakeClock()
    table = membership.RecordTable()
    tracker = weights.VersionTracker(table, clock, boot_clock)
    history = weights.VersionHistory('fit')
    history.add(clock.now)
    table.put('weights/fit', msgspec.json.encode(history))
    boot_clock.now += 30
    clock.now -= 3600
    with pytest.raises(errors.StaleWeights, match='more than 20 s ago'):
        tracker.check_freshness('fit', 1, weights.FreshnessBound(seconds=20))


def test_a_newer_version_does_not_reset_the_age_of_an_older_one(clock):
    boot_clock = conftest.FakeClock()
    table = membership.RecordTable()
    tracker = weights.VersionTracker(table, clock, boot_clock)
    history = weights.VersionHistory('fit')
    for _ in range(2):
        history.add(clock.now)
        table.put('weights/fit', msgspec.json.encode(history))
        boot_clock.now += 15
    tracker.check_freshness('fit', 2, weights.FreshnessBound(seconds=20))
    with pytest.raises(errors.StaleWeights):
        tracker.check_freshness('fit', 1, weights.FreshnessBound(seconds=20))


@pytest.mark.parametrize(
    ('bound', 'refused'),
    [
        (weights.FreshnessBound(versions=1), True),
        (weights.FreshnessBound(seconds=60), True),
        (weights.FreshnessBound(), False),
    ],
)
def test_nothing_is_fresh_before_any_version_is_known(bound, refused):
    """A process that has just started may know engines but no versions."""
    tracker = weights.VersionTracker(membership.RecordTable())
    if not refused:
        tracker.check_freshness('fit', 7, bound)
        return
    with pytest.raises(errors.StaleWeights):
        tracker.check_freshness('fit', 7, bound)
