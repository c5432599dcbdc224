import pytest

from swiftjunction.backends import _limit
from swiftjunction.backends import _loop_lag


def fill_windows(limit, latencies, *, distorted=False):
    for seconds in latencies:
        for _ in range(_limit.WINDOW_ANSWERS):
            limit.record_latency(seconds, limit.requests, 0.0, distorted)


def test_a_latency_that_grows_lowers_the_limit():
    limit = _limit.ConcurrencyLimit()
    fill_windows(limit, [0.03, 0.03, 0.3])
    assert limit.requests == 6


def test_a_latency_of_a_late_loop_does_not():
    limit = _limit.ConcurrencyLimit()
    fill_windows(limit, [0.03, 0.03])
    fill_windows(limit, [0.3], distorted=True)
    assert limit.requests == 16


@pytest.mark.parametrize(
    ('late_seconds', 'latency_seconds', 'distorted'),
    [(0.0005, 0.03, False), (0.01, 0.1, True), (0.01, 0.5, False)],
)
def test_a_late_loop_blurs_short_latencies(
    late_seconds, latency_seconds, distorted
):
    loop_lag = _loop_lag.LoopLag()
    loop_lag.seconds = late_seconds
    assert loop_lag.distorts(latency_seconds) is distorted
