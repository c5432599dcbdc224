"""Clients that send many requests ahead and leave the answers unread."""

import functools

import anyio
import httpx
import pytest

from tests.cover import test_platform_processes
from tests import crowds
from tests import platform_deployment

pytestmark = pytest.mark.anyio

# The memory and the descriptors of the VM.
MEMORY_MB = 128
MAX_DESCRIPTORS = 400
MAX_BODY_BYTES = 4 * 1024 * 1024
SETTINGS = (
    f'limits.memory_mb={MEMORY_MB}',
    f'limits.max_fds={MAX_DESCRIPTORS}',
)
CROWD_SECONDS = 6.0
# An ordinary caller comes again after a refusal.
MAX_ATTEMPTS = 20
RETRY_SECONDS = 0.5

# The client, the number of its connections, the requests sent ahead on each
# and the size of their bodies, which the servers send back.
CROWDS = {
    'http_1': (crowds.send_ahead, 8, 10, 4_000_000),
    'http_2': (crowds.send_ahead_http_2, 4, 90, 250_000),
}


def make_deployment(folder):
    config = platform_deployment.make_config()
    config['limits']['max_body_bytes'] = MAX_BODY_BYTES
    return test_platform_processes.ProcessDeployment(
        folder, settings=SETTINGS, config=config
    )


async def send_ordinary_request(deployment):
    """Return whether a caller that retries gets an answer."""
    for number in range(MAX_ATTEMPTS):
        try:
            response = await deployment.send_request(
                'vm-1',
                'POST',
                '/plain/a',
                headers={'swiftjunction-attempt-id': f'ordinary-{number}'},
            )
        except httpx.HTTPError:
            response = None
        if response is not None and response.status_code == 200:
            return True
        await anyio.sleep(RETRY_SECONDS)
    return False


@pytest.mark.parametrize('name', CROWDS)
async def test_unread_answers_stay_within_the_memory_of_the_vm(tmp_path, name):
    client, connections, count, size = CROWDS[name]
    deployment = make_deployment(tmp_path)
    try:
        async with deployment.run():
            process = deployment.processes['vm-1']
            address = (deployment.vm_ip, deployment.ports['vm-1']['front'])
            send = functools.partial(
                client, address, '/plain/a', b'x' * size, count
            )
            async with crowds.run([send] * connections, CROWD_SECONDS):
                lives = process.poll() is None
                is_answered = await send_ordinary_request(deployment)
                peak_bytes = crowds.read_peak_bytes(process.pid)
                descriptors = crowds.count_descriptors(process.pid)
    finally:
        deployment.close()
    assert lives
    assert peak_bytes <= MEMORY_MB * 1024 * 1024
    assert descriptors <= MAX_DESCRIPTORS
    assert is_answered
