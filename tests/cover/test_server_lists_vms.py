"""The list of backend servers at VMs whose watching peers stop."""

import json
import os
import signal
import uuid

import anyio
import pytest

from tests.cover import test_platform_processes
from tests import platform_deployment

pytestmark = pytest.mark.anyio

VMS = ('vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5', 'vm-6')
SETTLE_SECONDS = 4.0
# Less than the 2 s that the platform allows.
LEARN_SECONDS = 1.8
ROUNDS = 3
REQUESTS_PER_VM = 8


class Deployment(test_platform_processes.ProcessDeployment):
    """VMs in processes of their own, each of which can be frozen."""

    def get_ip(self, name):
        # The metrics port is the same at each address.
        return f'{self.vm_ip.rpartition(".")[0]}.{1 + VMS.index(name)}'

    def find_watchers(self):
        """Return the VMs that watch the servers, as they log it."""
        return [name for name in VMS if self._is_watcher(name)]

    def _is_watcher(self, name):
        is_watching = False
        for line in (self.logs / f'{name}.log').read_text().splitlines():
            entry = json.loads(line)
            if entry.get('prefix') == 'servers/':
                if entry['message'].startswith('started watching'):
                    is_watching = True
                elif entry['message'].startswith('stopped watching'):
                    is_watching = False
        return is_watching

    def signal_vms(self, names, number):
        for name in names:
            os.kill(self.processes[name].pid, number)

    async def send_to(self, name, count):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._send, name, uuid.uuid4().hex)

    async def _send(self, name, request_id):
        response = await self.send_request(
            name,
            'POST',
            '/plain/a',
            headers={'swiftjunction-attempt-id': request_id},
        )
        assert response.status_code == 200


async def play_round(deployment, number):
    """Let p1 leave as the VMs that watch the servers stop.

    Returns
    -------
    list of (str, str)
        The requests that reached p1 later.
    """
    leaving = deployment.plain['p1']
    deployment.register_server('p1', leaving, state='ready')
    await anyio.sleep(SETTLE_SECONDS)
    stopped = deployment.find_watchers()
    others = [name for name in VMS if name not in stopped]
    assert stopped
    assert others
    deployment.signal_vms(stopped, number)
    deployment.register_server('p1', leaving, state='draining')
    await anyio.sleep(LEARN_SECONDS)
    known = len(leaving.runs)
    async with anyio.create_task_group() as tasks:
        for name in others:
            tasks.start_soon(deployment.send_to, name, REQUESTS_PER_VM)
    return leaving.runs[known:]


async def test_no_vm_sends_to_a_leaving_server_once_its_watchers_freeze(
    tmp_path,
):
    deployment = Deployment(tmp_path)
    late = []
    try:
        async with deployment.run(VMS):
            for _ in range(ROUNDS):
                late += await play_round(deployment, signal.SIGSTOP)
                deployment.signal_vms(VMS, signal.SIGCONT)
    finally:
        deployment.close()
    assert not late


async def test_no_vm_sends_to_a_leaving_server_once_its_watchers_die(
    tmp_path,
):
    deployment = Deployment(tmp_path)
    try:
        async with deployment.run(VMS):
            assert not await play_round(deployment, signal.SIGKILL)
    finally:
        deployment.close()


async def test_few_calls_are_made_while_all_vms_hear_from_a_watcher(tmp_path):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    async with deployment.run(VMS[:3]):
        await anyio.sleep(SETTLE_SECONDS)
        assert all(
            program._refresher.asks == 0
            for program in deployment.programs.values()
        )
