"""Clients that make a VM hold what it has received, or open connections."""

import contextlib
import functools

import anyio
import pytest

from tests.cover import test_crowds_unread
from tests import crowds

pytestmark = pytest.mark.anyio

ANSWER_BYTES = 2 * 1024 * 1024
BODY_BYTES = 4_000_000
PARTIAL_HEAD = b'GET /plain/a HTTP/1.1\r\nx-a: '
PARTIAL_HEAD_BYTES = 16_000


async def hold_open(address, data):
    """Send bytes on a connection and keep it open."""
    with contextlib.suppress(*crowds.CLOSED_ERRORS, OSError):
        async with await anyio.connect_tcp(*address) as stream:
            if data:
                await stream.send(data)
            await anyio.sleep_forever()


async def run_crowd(folder, client, connections, deployment=None, offset=None):
    """Run clients; check the VM and an ordinary request beside them.

    Parameters
    ----------
    offset : int, optional
        The clients connect to the port for other VMs and so many more; by
        default, to the one for callers.
    """
    deployment = deployment or test_crowds_unread.make_deployment(folder)
    try:
        async with deployment.run():
            process = deployment.processes['vm-1']
            ports = deployment.ports['vm-1']
            port = ports['front'] if offset is None else ports['peer'] + offset
            send = functools.partial(client, (deployment.vm_ip, port))
            seconds = test_crowds_unread.CROWD_SECONDS
            async with (
                crowds.follow_descriptors(process.pid) as counts,
                crowds.run([send] * connections, seconds),
            ):
                lives = process.poll() is None
                is_answered = await test_crowds_unread.send_ordinary_request(
                    deployment
                )
                peak_bytes = crowds.read_peak_bytes(process.pid)
                is_ready = await deployment.send_request(
                    'vm-1', 'GET', '/ready', port='readiness'
                )
    finally:
        deployment.close()
    assert lives
    assert peak_bytes <= test_crowds_unread.MEMORY_MB * 1024 * 1024
    assert max(counts) <= test_crowds_unread.MAX_DESCRIPTORS
    assert is_answered
    assert is_ready.status_code == 200


async def test_large_answers_that_are_left_unread(tmp_path):
    deployment = test_crowds_unread.make_deployment(tmp_path)
    deployment.plain = crowds.make_large_servers(ANSWER_BYTES)

    async def send(address):
        await crowds.send_ahead_at_once(address, '/plain/a', b'', 2000)

    await run_crowd(tmp_path, send, 32, deployment)


async def test_small_requests_that_are_sent_ahead(tmp_path):
    async def send(address):
        await crowds.send_ahead_at_once(address, '/plain/a', b'', 10_000)

    await run_crowd(tmp_path, send, 350)


@pytest.mark.parametrize('path', ['/plain/a', '/samples/new'])
async def test_bodies_without_their_last_byte(tmp_path, path):
    data = crowds.make_request(path, bytes(BODY_BYTES))[:-1]
    await run_crowd(tmp_path, functools.partial(hold_open, data=data), 40)


async def test_connections_without_a_byte(tmp_path):
    await run_crowd(tmp_path, functools.partial(hold_open, data=b''), 1000)


async def test_heads_without_an_end(tmp_path):
    data = PARTIAL_HEAD + b'y' * PARTIAL_HEAD_BYTES
    await run_crowd(tmp_path, functools.partial(hold_open, data=data), 1000)


@pytest.mark.parametrize('offset', [0, 1])
async def test_connections_to_the_ports_for_other_vms(tmp_path, offset):
    client = functools.partial(hold_open, data=b'')
    await run_crowd(tmp_path, client, 1000, offset=offset)


async def test_bodies_without_their_last_byte_to_the_port_for_other_vms(
    tmp_path,
):
    data = crowds.make_request('/peer/store', bytes(BODY_BYTES))[:-1]
    client = functools.partial(hold_open, data=data)
    await run_crowd(tmp_path, client, 60, offset=0)
