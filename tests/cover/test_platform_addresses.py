"""Addresses of a VM that another process has as the VM starts."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import time

import anyio
import httpx
import pytest

from swiftjunction.platform import _components
from swiftjunction.platform import _listening
from tests.cover import test_platform_processes

# An address is held so long after the VM has found it in use.
HOLD_SECONDS = 1.0
MAX_START_SECONDS = 10.0
FOUND_IN_USE = ('waiting for an address', 'no metrics until')


def hold(ip, port, kind=socket.SOCK_STREAM):
    """Return a socket that has an address, as another process would."""
    held = socket.socket(socket.AF_INET, kind)
    held.bind((ip, port))
    if kind == socket.SOCK_STREAM:
        held.listen()
    return held


class HeldDeployment(test_platform_processes.ProcessDeployment):
    """A deployment whose VM finds one of its addresses in use."""

    def __init__(self, folder, port_name, kind=socket.SOCK_STREAM):
        super().__init__(folder)
        self._port_name = port_name
        self._kind = kind
        self.held = contextlib.ExitStack()

    def start_process(self, path, name):
        ports = {'metrics': _components.METRICS_PORT, **self.ports[name]}
        port = ports[self._port_name]
        self.held.enter_context(hold(self.vm_ip, port, self._kind))
        self._tasks.start_soon(self._release, self._folder / f'{name}.log')
        return super().start_process(path, name)

    async def _release(self, log_path):
        with anyio.fail_after(MAX_START_SECONDS):
            while not self._is_found_in_use(log_path):
                await anyio.sleep(0.02)
        await anyio.sleep(HOLD_SECONDS)
        self.held.close()

    def _is_found_in_use(self, log_path):
        if not log_path.exists():
            return False
        log = log_path.read_text()
        return any(message in log for message in FOUND_IN_USE)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('port_name', 'kind'),
    [
        ('front', socket.SOCK_STREAM),
        ('readiness', socket.SOCK_STREAM),
        ('peer', socket.SOCK_STREAM),
        ('peer', socket.SOCK_DGRAM),
    ],
)
async def test_a_vm_waits_for_an_address_of_the_process_before_it(
    tmp_path, port_name, kind
):
    deployment = HeldDeployment(tmp_path, port_name, kind)
    try:
        async with deployment.run():
            code = await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    log = (tmp_path / 'vm-1.log').read_text()
    assert code == 0
    assert log.count('waiting for an address') == 1


@pytest.mark.anyio
async def test_a_vm_serves_without_its_metrics_port_until_that_is_free(
    tmp_path,
):
    deployment = HeldDeployment(tmp_path, 'metrics')
    url = f'http://{deployment.vm_ip}:{_components.METRICS_PORT}/metrics'
    try:
        async with deployment.run():
            response = await deployment.send_request(
                'vm-1',
                'POST',
                '/plain/a',
                headers={'swiftjunction-attempt-id': 'r1'},
            )
            async with httpx.AsyncClient(trust_env=False) as client:
                with anyio.fail_after(
                    HOLD_SECONDS + 2 * _listening.METRICS_RETRY_SECONDS
                ):
                    while True:
                        with contextlib.suppress(httpx.TransportError):
                            metrics = await client.get(url)
                            break
                        await anyio.sleep(0.1)
            code = await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    assert (response.status_code, code) == (200, 0)
    assert 'swiftjunction_answers_total' in metrics.text
    log = (tmp_path / 'vm-1.log').read_text()
    assert log.count('no metrics until their port is free') == 1


@pytest.fixture
def held_vm(tmp_path):
    """Yield a process whose address stays in use."""
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    deployment.store_address = '127.0.0.1:1'
    path = deployment.write_settings('vm-1')
    with hold(deployment.vm_ip, deployment.ports['vm-1']['front']):
        process = subprocess.Popen(
            test_platform_processes.read_command('edge'),
            cwd=test_platform_processes.ROOT,
            env=test_platform_processes.make_environment(path),
            stdout=(tmp_path / 'log').open('wb'),
            stderr=subprocess.PIPE,
        )
        yield process
        process.kill()
        process.wait()
    deployment.close()


def wait_for_line(path: pathlib.Path, text):
    give_up_at = time.monotonic() + 10
    while text not in path.read_text():
        assert time.monotonic() < give_up_at
        time.sleep(0.05)


def test_the_wait_for_an_address_is_bounded(held_vm):
    _, error = held_vm.communicate(
        timeout=_listening.MAX_ADDRESS_WAIT_SECONDS + 10
    )
    assert held_vm.returncode == 2
    assert error.startswith(b'cannot listen on ')
    assert b'Traceback' not in error


def test_a_vm_that_waits_for_an_address_stops_at_once(held_vm, tmp_path):
    wait_for_line(tmp_path / 'log', 'waiting for an address')
    held_vm.send_signal(signal.SIGHUP)
    held_vm.send_signal(signal.SIGTERM)
    assert held_vm.wait(2) == -signal.SIGTERM
