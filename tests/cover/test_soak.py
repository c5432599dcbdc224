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
