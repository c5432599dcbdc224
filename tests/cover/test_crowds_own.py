"""Clients that make a process of an own deployment hold what they send."""

import functools
import os
import signal
import subprocess
import sys

import anyio
import httpx
import pytest

from soak import testbed
from swiftjunction import standins
from tests.cover import test_crowds_held
from tests.cover import test_crowds_unread
from tests import crowds

pytestmark = pytest.mark.anyio

CONNECTIONS = 1000
BODY_CONNECTIONS = 60
# Where nothing listens.
PLATFORM = 'http://127.0.0.1:9'
SETTINGS = """
[vm]
name = "vm-1"
ip = "127.0.0.1"
data_center = "dc-1"
region = "r-1"
memory_mb = {memory_mb}
max_descriptors = {descriptors}

[platform]
objects = "{platform}"
vms = "{platform}"
weights = "{platform}"

[{kind}]
port = {port}
link_port = {link_port}
"""
START_SECONDS = 20
STOP_SECONDS = 10
# What each kind of process serves with a body.
PATHS = {
    'entry': '/v1/completions',
    'rollout': '/v1/steps',
    'conductor': '/v1/configuration/team',
}


def start_process(folder, kind, port, link_port):
    path = folder / 'vm.toml'
    path.write_text(
        SETTINGS.format(
            memory_mb=test_crowds_unread.MEMORY_MB,
            descriptors=test_crowds_unread.MAX_DESCRIPTORS,
            platform=PLATFORM,
            kind=kind,
            port=port,
            link_port=link_port,
        )
    )
    code = f'from swiftjunction import commands; commands.run_{kind}()'
    with (folder / 'process.log').open('wb') as log:
        return subprocess.Popen(
            [sys.executable, '-c', code, '--config', str(path)],
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': testbed.MODULE_PATH,
            },
        )


async def ask_for_health(port):
    """Return whether the process answers, asked again if it is refused."""
    async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
        with anyio.move_on_after(START_SECONDS):
            while True:
                try:
                    response = await client.get(
                        f'http://127.0.0.1:{port}/health'
                    )
                    return response.status_code == 200
                except httpx.HTTPError:
                    await anyio.sleep(0.2)
    return False


async def run_crowd(folder, kind, client, connections):
    port, link_port = standins.reserve_ports(2)
    process = start_process(folder, kind, port, link_port)
    try:
        assert await ask_for_health(port)
        send = functools.partial(client, ('127.0.0.1', port))
        async with crowds.run(
            [send] * connections, test_crowds_unread.CROWD_SECONDS
        ):
            lives = process.poll() is None
            descriptors = crowds.count_descriptors(process.pid)
            is_answered = await ask_for_health(port)
            peak_bytes = crowds.read_peak_bytes(process.pid)
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait(STOP_SECONDS)
    assert lives
    assert peak_bytes <= test_crowds_unread.MEMORY_MB * 1024 * 1024
    assert descriptors <= test_crowds_unread.MAX_DESCRIPTORS
    assert is_answered


@pytest.mark.parametrize('kind', PATHS)
async def test_connections_without_a_byte(tmp_path, kind):
    client = functools.partial(test_crowds_held.hold_open, data=b'')
    await run_crowd(tmp_path, kind, client, CONNECTIONS)


@pytest.mark.parametrize('kind', PATHS)
async def test_bodies_without_their_last_byte(tmp_path, kind):
    data = crowds.make_request(
        PATHS[kind], bytes(test_crowds_held.BODY_BYTES)
    )[:-1]
    client = functools.partial(test_crowds_held.hold_open, data=data)
    await run_crowd(tmp_path, kind, client, BODY_CONNECTIONS)
