"""The HTTP clients and listeners in a process whose environment is odd."""

import os
import pathlib
import subprocess
import sys

from soak import testbed

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_SECONDS = 30

SEND_A_REQUEST = """
import anyio
from swiftjunction import web

async def main():
    clients = web.PeerClients()
    try:
        await clients.get_direct('127.0.0.1:9').fetch('GET', '/')
    except web.UNSENT_ERRORS:
        print('refused')

anyio.run(main)
"""


def run_script(script, **variables):
    """Return what a script prints in a process of its own."""
    result = subprocess.run(
        [sys.executable, '-c', script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        env={
            'PATH': os.environ['PATH'],
            'PYTHONPATH': testbed.MODULE_PATH,
            **variables,
        },
    )
    assert result.returncode == 0, result.stderr
    return result.stdout


def test_a_file_for_tls_keys_that_cannot_be_written_stops_no_request(tmp_path):
    path = tmp_path / 'missing' / 'keys'
    assert run_script(SEND_A_REQUEST, SSLKEYLOGFILE=str(path)) == 'refused\n'
