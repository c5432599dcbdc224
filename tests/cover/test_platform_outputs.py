"""Processes whose standard output or standard error nobody reads."""

import os
import select
import signal
import subprocess

import anyio
import pytest

from tests.cover import test_platform_processes
from tests import platform_deployment


class UnreadDeployment(test_platform_processes.ProcessDeployment):
    """A deployment whose VMs have the given standard output and error."""

    def __init__(self, folder, output, error):
        super().__init__(folder)
        self._output = output
        self._error = error

    def start_process(self, path, name):
        return subprocess.Popen(
            test_platform_processes.read_command('edge'),
            cwd=test_platform_processes.ROOT,
            stdout=self._output,
            stderr=self._error,
            env=test_platform_processes.make_environment(path),
        )


async def use_vm(deployment):
    """Let a VM log much, dump its state and stop; return its exit code."""
    async with deployment.run():
        await deployment.submit(
            'vm-1', 'b1', platform_deployment.make_batch(groups=4)
        )
        await deployment.wait_for_results('vm-1', 'b1', 8)
        for _ in range(20):
            deployment.processes['vm-1'].send_signal(signal.SIGHUP)
            await anyio.sleep(0.01)
        deployment.processes['vm-1'].send_signal(signal.SIGUSR1)
        response = await deployment.send_request(
            'vm-1',
            'POST',
            '/plain/a',
            headers={'swiftjunction-attempt-id': 'r1'},
        )
        assert response.status_code == 200
        return await deployment.stop_vm('vm-1')


@pytest.mark.anyio
async def test_a_vm_whose_output_nobody_reads_reports_no_line_of_it(tmp_path):
    reader, writer = os.pipe()
    os.close(reader)
    with (tmp_path / 'error').open('wb') as error:
        deployment = UnreadDeployment(tmp_path, writer, error)
        try:
            assert await use_vm(deployment) == 0
        finally:
            deployment.close()
            os.close(writer)
    text = (tmp_path / 'error').read_text()
    assert 'Traceback' not in text


@pytest.mark.anyio
async def test_a_vm_whose_standard_error_is_full_goes_on(tmp_path):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    while select.select([], [writer], [], 0)[1]:
        os.write(writer, b'x' * 4096)
    os.set_blocking(writer, True)
    deployment = UnreadDeployment(tmp_path, subprocess.DEVNULL, writer)
    try:
        assert await use_vm(deployment) == 0
    finally:
        deployment.close()
        os.close(reader)
        os.close(writer)
