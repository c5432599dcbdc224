"""Connections that callers leave open when a VM process is to stop."""

import signal
import time

import anyio
import pytest

from tests.cover import test_platform_processes
from tests import platform_deployment

# The setting bounds.grace_s; the platform kills the process after it.
GRACE_SECONDS = 3.0
# What has begun an HTTP/2 connection, without a request.
HTTP_2_PREFACE = (
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00'
)
# More than the buffers of the system hold.
BODY = bytes(1_000_000)
UNREAD_REQUEST = (
    b'POST /plain/a HTTP/1.1\r\nHost: %s\r\n'
    b'Swiftjunction-Attempt-Id: r%%d\r\nContent-Length: %d\r\n\r\n'
    % (platform_deployment.HOST.encode(), len(BODY))
)


async def stop_with_connection(folder, data):
    """Return the exit code and the seconds of a stop with a connection."""
    deployment = test_platform_processes.ProcessDeployment(folder)
    try:
        async with deployment.run():
            process = deployment.processes['vm-1']
            port = deployment.ports['vm-1']['front']
            async with await anyio.connect_tcp(
                deployment.vm_ip, port
            ) as stream:
                with anyio.move_on_after(1):
                    for part in data:
                        await stream.send(part)
                    await anyio.sleep_forever()
                process.send_signal(signal.SIGTERM)
                began = time.monotonic()
                with anyio.move_on_after(2 * GRACE_SECONDS):
                    while process.poll() is None:
                        await anyio.sleep(0.02)
                return process.poll(), time.monotonic() - began
    finally:
        deployment.close()


@pytest.mark.anyio
async def test_an_idle_http_2_connection_does_not_delay_the_end(tmp_path):
    code, seconds = await stop_with_connection(tmp_path, [HTTP_2_PREFACE])
    assert code == 0
    assert seconds < GRACE_SECONDS


@pytest.mark.anyio
async def test_responses_that_nobody_reads_do_not_delay_the_end(tmp_path):
    data = [
        part for number in range(8) for part in (UNREAD_REQUEST % number, BODY)
    ]
    code, seconds = await stop_with_connection(tmp_path, data)
    assert code == 0
    assert seconds < GRACE_SECONDS
