import pytest

from swiftjunction.backends import _lateness
from swiftjunction.backends import _limit


def fill_windows(limit, latencies, *, distorted=False):
    for seconds in latencies:
        for _ in range(_limit.WINDOW_LATENCIES):
            limit.record_latency(seconds, limit.requests, 0.0, distorted)


def test_a_rise_in_latency_lowers_the_limit():
    limit = _limit.ConcurrencyLimit()
    fill_windows(limit, [0.03, 0.03, 0.3])
    assert limit.requests == 6


def test_a_latency_distorted_by_loop_lag_does_not_lower_the_limit():
    limit = _limit.ConcurrencyLimit()
    fill_windows(limit, [0.03, 0.03])
    fill_windows(limit, [0.3], distorted=True)
    assert limit.requests == 16


@pytest.mark.parametrize(
    ('lag_seconds', 'latency_seconds', 'distorted'),
    [(0.0005, 0.03, False), (0.01, 0.1, True), (0.01, 0.5, False)],
)
def test_loop_lag_distorts_short_latencies(
    lag_seconds, latency_seconds, distorted
):
    loop_lag = _lateness.LoopLag()
    loop_lag.average_seconds = lag_seconds
    assert loop_lag.distorts(latency_seconds) is distorted
