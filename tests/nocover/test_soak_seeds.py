"""Seeds of the soak that once broke a promise; each with its cause."""

import anyio
import pytest

from soak import runs

SECONDS = 12.0
VMS = 4
SEEDS = {
    9: 'SIGTERM before a process has begun to serve ended it with -15',
    12: 'a line that had ended refused scoring calls for seconds',
    13: 'as seed 12',
    58: 'the check knew only the last run of a sample that ran twice',
    51: 'SIGHUP while a process starts ended it',
}


@pytest.mark.anyio
@pytest.mark.parametrize('seed', SEEDS)
async def test_a_seed_that_failed_once_breaks_no_promise(tmp_path, seed):
    with anyio.fail_after(150):
        report = await runs.run(seed, SECONDS, VMS, tmp_path)
    assert report.broken == []
