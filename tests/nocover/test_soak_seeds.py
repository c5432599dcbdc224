"""Regression seeds of the soak test, each with the cause of its failure."""

import anyio
import pytest

from soak import runs

SECONDS = 12.0
VMS = 4
SEEDS = {
    9: 'SIGTERM before a process served made it exit with -15',
    12: 'the drain rate of an earlier queue refused scoring calls for seconds',
    13: 'as for seed 12',
    58: 'the check ignored all but the last run of a sample that ran twice',
    51: 'SIGHUP during its start ended a process',
}


@pytest.mark.anyio
@pytest.mark.parametrize('seed', SEEDS)
async def test_a_seed_that_once_failed_violates_no_invariant(tmp_path, seed):
    with anyio.fail_after(150):
        report = await runs.run(seed, SECONDS, VMS, tmp_path)
    assert report.broken == []
