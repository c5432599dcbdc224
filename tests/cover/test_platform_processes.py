"""The roles of ``deploy/system.toml`` as processes, before stand-ins."""

import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib

import anyio
import httpx
import pytest

from tests import platformworld

ROOT = pathlib.Path(__file__).parents[2]
END_SECONDS = 10
START_SECONDS = 0.5


def read_command(role):
    """Return the command of a role, with this interpreter."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    _, *arguments = deploy['roles'][role]['run'].split(' ')
    return [sys.executable, *arguments]


class ProcessDeployment(platformworld.PlatformDeployment):
    """A deployment whose VMs are processes."""

    def __init__(self, folder):
        super().__init__(folder)
        self.processes = {}
        self.logs = folder

    def start_vm(self, name):
        path = self.write_settings(name)
        with (self.logs / f'{name}.log').open('wb') as log:
            self.processes[name] = subprocess.Popen(
                read_command('edge'),
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'src'),
                    'SWIFTJUNCTION_NODE_FILE': str(path),
                },
            )

    async def stop_vm(self, name):
        """Stop a VM gracefully and return its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(END_SECONDS):
            while process.poll() is None:
                await anyio.sleep(0.05)
        return process.returncode


@pytest.mark.anyio
async def test_a_lookup_and_a_batch_are_served(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    try:
        async with deployment.run():
            answer = await deployment.send_request(
                'vm-1',
                'POST',
                '/plain/a',
                headers={'swiftjunction-attempt-id': 'r1'},
            )
            accepted = await deployment.submit(
                'vm-1', 'b1', platformworld.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
            async with httpx.AsyncClient(trust_env=False) as client:
                metrics = await client.get('http://127.0.0.1:9464/metrics')
            deployment.processes['vm-1'].send_signal(signal.SIGHUP)
            code = await deployment.stop_vm('vm-1')
    finally:
        for process in deployment.processes.values():
            process.kill()
    assert answer.status_code == 200
    assert accepted.status_code == 202
    assert {result['state'] for result in results} == {'completed'}
    assert 'swiftjunction_answers_total' in metrics.text
    assert code == 0
    log = (tmp_path / 'vm-1.log').read_text()
    for message in ('started', 'ready', 'settings reloaded', 'stopped'):
        assert f'"message": "{message}"' in log
    assert '"request_id": "r1"' in log


def test_wrong_settings_are_named(tmp_path):
    path = tmp_path / 'vm.conf'
    path.write_text('node_name=a\nip=127.0.0.1\nbounds.grace_s=soon\n')
    ended = subprocess.run(
        read_command('edge'),
        cwd=ROOT,
        capture_output=True,
        timeout=END_SECONDS,
        env={
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(ROOT / 'src'),
            'SWIFTJUNCTION_NODE_FILE': str(path),
        },
    )
    lines = ended.stderr.decode().splitlines()
    assert ended.returncode == 2
    assert f'{path}: zone is missing' in lines
    assert f"{path}: bounds.grace_s = 'soon' must be a number" in lines


def test_a_storage_process_ends_at_sigterm_and_not_at_sighup():
    # mix --seed 727036544575 of diurna-turneu: four ended at a SIGHUP.
    process = subprocess.Popen(read_command('storage'), cwd=ROOT)
    time.sleep(START_SECONDS)
    process.send_signal(signal.SIGHUP)
    time.sleep(START_SECONDS)
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    assert process.wait(END_SECONDS) == 0


def test_a_reload_while_a_process_starts_does_not_end_it():
    # Soak, seed 51: SIGHUP 0.4 s after a start ended a VM's process.
    check = (
        'import signal, sys\n'
        'from swiftjunction.platform import __main__\n'
        'assert "swiftjunction.platform._program" not in sys.modules\n'
        '__main__.ignore_reloads()\n'
        'signal.raise_signal(signal.SIGHUP)\n'
    )
    ended = subprocess.run(
        [sys.executable, '-c', check],
        cwd=ROOT,
        timeout=END_SECONDS,
        env={'PYTHONPATH': str(ROOT / 'src')},
    )
    assert ended.returncode == 0
