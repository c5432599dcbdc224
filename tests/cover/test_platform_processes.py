"""Runs the roles of ``deploy/system.toml`` as processes with stand-ins."""

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

from soak import runs
from soak import testbed
from swiftjunction import standins
from tests.cover import test_platform_versions
from tests import platform_deployment

ROOT = pathlib.Path(__file__).parents[2]
STOP_TIMEOUT_SECONDS = 10
START_DELAY_SECONDS = 0.5


def read_command(role):
    """Return the command line of a role, run by this interpreter."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    _, *arguments = deploy['roles'][role]['run'].split(' ')
    return [sys.executable, *arguments]


def make_environment(path):
    """Return the variables of a process with the settings file at `path`."""
    return {
        'PATH': os.environ['PATH'],
        'PYTHONPATH': testbed.MODULE_PATH,
        'SWIFTJUNCTION_NODE_FILE': str(path),
    }


class ProcessDeployment(platform_deployment.PlatformDeployment):
    """A deployment that runs each VM in its own process."""

    def __init__(self, folder, **options):
        # The metrics port is fixed, so each run has addresses of its own.
        network, self._reservation = runs.reserve_network(os.getpid())
        super().__init__(folder, f'127.{network}.0.1', **options)
        self.processes = {}
        self.logs = folder

    def start_vm(self, name):
        path = self.write_settings(name)
        self.processes[name] = self.start_process(path, name)

    def start_process(self, path, name):
        """Return a process of a VM with the settings file at `path`."""
        with (self.logs / f'{name}.log').open('wb') as log:
            return subprocess.Popen(
                read_command('edge'),
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=make_environment(path),
            )

    def close(self):
        """Kill all processes and release the addresses."""
        for process in self.processes.values():
            process.kill()
        self._reservation.close()

    async def stop_vm(self, name):
        """Stop a VM gracefully and return its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(STOP_TIMEOUT_SECONDS):
            while process.poll() is None:
                await anyio.sleep(0.05)
        return process.returncode


@pytest.mark.anyio
async def test_a_call_and_a_batch_are_served(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    try:
        async with deployment.run():
            response = await deployment.send_request(
                'vm-1',
                'POST',
                '/plain/a',
                headers={'swiftjunction-attempt-id': 'r1'},
            )
            accepted = await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
            async with httpx.AsyncClient(trust_env=False) as client:
                metrics = await client.get(
                    f'http://{deployment.vm_ip}:9464/metrics'
                )
            deployment.processes['vm-1'].send_signal(signal.SIGHUP)
            code = await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    assert response.status_code == 200
    assert accepted.status_code == 202
    assert {result['state'] for result in results} == {'completed'}
    assert 'swiftjunction_answers_total' in metrics.text
    assert code == 0
    log = (tmp_path / 'vm-1.log').read_text()
    for message in ('started', 'ready', 'settings reloaded', 'stopped'):
        assert f'"message": "{message}"' in log
    assert '"request_id": "r1"' in log


def test_invalid_settings_are_reported(tmp_path):
    path = tmp_path / 'vm.conf'
    path.write_text('node_name=a\nip=127.0.0.1\nbounds.grace_s=soon\n')
    result = subprocess.run(
        read_command('edge'),
        cwd=ROOT,
        capture_output=True,
        timeout=STOP_TIMEOUT_SECONDS,
        env={
            'PATH': os.environ['PATH'],
            'PYTHONPATH': testbed.MODULE_PATH,
            'SWIFTJUNCTION_NODE_FILE': str(path),
        },
    )
    lines = result.stderr.decode().splitlines()
    assert result.returncode == 2
    assert f'{path}: zone is missing' in lines
    assert (
        f"{path}: bounds.grace_s = 'soon' must be a number from 0 to 31536000"
    ) in lines


def test_a_storage_process_stops_at_sigterm_and_not_at_sighup():
    # SIGHUP terminated four storage processes, as its default action does
    # (mix --seed 727036544575 of diurna-turneu).
    process = subprocess.Popen(read_command('storage'), cwd=ROOT)
    time.sleep(START_DELAY_SECONDS)
    process.send_signal(signal.SIGHUP)
    time.sleep(START_DELAY_SECONDS)
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    assert process.wait(STOP_TIMEOUT_SECONDS) == 0


def test_a_reload_during_startup_does_not_terminate_the_process():
    # SIGHUP 0.4 s after the start terminated the edge process, which had not
    # installed its handler yet (soak, seed 51).
    check = (
        'import signal, sys\n'
        'from swiftjunction.platform import __main__\n'
        'assert "swiftjunction.platform._program" not in sys.modules\n'
        '__main__.replace_default_actions()\n'
        'signal.raise_signal(signal.SIGHUP)\n'
    )
    result = subprocess.run(
        [sys.executable, '-c', check],
        cwd=ROOT,
        timeout=STOP_TIMEOUT_SECONDS,
        env={'PYTHONPATH': testbed.MODULE_PATH},
    )
    assert result.returncode == 0


@pytest.mark.anyio
async def test_no_text_holds_events_of_two_software_versions(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    deployment.engines = {
        name: standins.PlatformEngineStandin(
            name, {platform_deployment.MODEL: 1}, software=software
        )
        for name, software in test_platform_versions.SOFTWARE.items()
    }
    try:
        async with deployment.run():
            for name in ('e1', 'e2'):
                deployment.engines[name].faults.set('cut', 6)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch(groups=6)
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 12)
            for name, count in (('e1', 100), ('e2', 0), ('e3', 100)):
                deployment.engines[name].faults.set('cut', count)
            streams = test_platform_versions.make_streams(deployment)
            for stream in streams:
                await stream.run('vm-1')
            await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    assert test_platform_versions.find_mixed(results) == []
    assert all(stream.is_complete() for stream in streams)
    assert [s.data for s in streams if len(s.software) != 1] == []


@pytest.mark.anyio
async def test_streams_of_any_form_arrive_whole(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    for engine in deployment.engines.values():
        engine.varies_streams = True
    try:
        async with deployment.run():
            bodies = {}
            for number in range(36):
                request_id = f'r{number}'
                path = ('/streams', '/streams-once')[number % 2]
                response = await deployment.send_request(
                    'vm-1',
                    'POST',
                    f'{path}/a',
                    headers={
                        'swiftjunction-attempt-id': request_id,
                        'swiftjunction-model': platform_deployment.MODEL,
                    },
                )
                bodies[request_id] = response.content
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch(groups=8)
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 16)
            await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    for request_id, body in bodies.items():
        expected = standins.make_platform_stream(request_id)
        assert standins.remove_additions(body) == expected
    joined = b''.join(bodies.values())
    for part in (b': ping\n', b': ping\r\n', b'[DONE]', b'event: end\r'):
        assert part in joined
    for result in results:
        assert result['text'] == standins.make_platform_text(result['id'])
