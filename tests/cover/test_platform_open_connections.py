"""Connections that callers leave open when a VM process is to stop."""

import signal
import time

import anyio
import pytest

from tests.cover import test_platform_processes

# The setting bounds.grace_s; the platform kills the process after it.
GRACE_SECONDS = 3.0
# What has begun an HTTP/2 connection, without a request.
HTTP_2_PREFACE = (
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00'
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
    # The process went on until it was killed.
    code, seconds = await stop_with_connection(tmp_path, [HTTP_2_PREFACE])
    assert code == 0
    assert seconds < GRACE_SECONDS
