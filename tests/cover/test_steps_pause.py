import pytest

from swiftjunction.steps import _delivery


@pytest.mark.parametrize(
    ('calls', 'seconds'), [(0, 1.0), (1, 1.0), (2, 2.0), (40, 2.0)]
)
def test_calls_that_an_outage_refused_do_not_hold_up_a_step(calls, seconds):
    assert _delivery.choose_pause_seconds(calls) == seconds
