"""A short run of the complete soak test."""

import anyio
import pytest

from soak import runs

SECONDS = 6.0


@pytest.mark.anyio
async def test_a_short_soak_violates_no_invariant(tmp_path):
    with anyio.fail_after(90):
        report = await runs.run(1, SECONDS, 3, tmp_path)
    assert report.broken == []
    assert report.answered > 0
    assert report.steps > 0
    assert len(report.faults) >= 3


def test_two_runs_of_one_seed_use_different_loopback_networks():
    # Guards against requests of one run that reach servers of the other.
    first, first_reservation = runs.reserve_network(1)
    second, second_reservation = runs.reserve_network(1)
    assert first != second
    first_reservation.close()
    third, third_reservation = runs.reserve_network(1)
    assert third == first
    second_reservation.close()
    third_reservation.close()
