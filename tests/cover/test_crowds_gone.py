"""Clients that send requests ahead and leave before they are answered."""

import functools

import anyio
import pytest

from tests.cover import test_crowds_unread
from tests import crowds

pytestmark = pytest.mark.anyio

CONNECTIONS = 8
REQUESTS = 2000
ANSWER_BYTES = 2 * 1024 * 1024
CROWD_SECONDS = 3.0
# By then, requests that were sent to a server before have begun.
SETTLE_SECONDS = 1.0
AFTER_SECONDS = 8.0


async def test_what_was_sent_ahead_is_not_run_for_callers_that_left(tmp_path):
    deployment = test_crowds_unread.make_deployment(tmp_path)
    deployment.plain = crowds.make_large_servers(ANSWER_BYTES)
    try:
        async with deployment.run():
            process = deployment.processes['vm-1']
            address = (deployment.vm_ip, deployment.ports['vm-1']['front'])
            send = functools.partial(
                crowds.send_ahead_at_once,
                address,
                '/plain/a',
                b'',
                REQUESTS,
            )
            async with crowds.run([send] * CONNECTIONS, CROWD_SECONDS):
                pass
            await anyio.sleep(SETTLE_SECONDS)
            runs_before = crowds.count_runs(deployment)
            await anyio.sleep(AFTER_SECONDS)
            runs_after = crowds.count_runs(deployment)
            lives = process.poll() is None
            peak_bytes = crowds.read_peak_bytes(process.pid)
            is_answered = await test_crowds_unread.send_ordinary_request(
                deployment
            )
    finally:
        deployment.close()
    assert lives
    assert runs_after == runs_before
    assert peak_bytes <= test_crowds_unread.MEMORY_MB * 1024 * 1024
    assert is_answered
