import pytest

from swiftjunction.steps import _delivery


@pytest.mark.parametrize(
    ('calls', 'seconds'), [(0, 1.0), (1, 1.0), (2, 2.0), (40, 2.0)]
)
def test_failed_calls_during_an_outage_do_not_delay_later_commits(
    calls, seconds
):
    assert _delivery.compute_commit_delay_seconds(calls) == seconds
