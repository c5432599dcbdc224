"""A complete deployment as local processes on loopback addresses."""

import os
import pathlib
import socket

import anyio
import httpx
import msgspec

from bench import experiment_file
from bench import processes
from swiftjunction import standins
from swiftjunction import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMONS = ('conductor', 'entry', 'rollout')
READY_TIMEOUT_SECONDS = 60.0
DAEMON_PORTS = {'entry': 8080, 'rollout': 8090, 'conductor': 8070}


class Deployment:
    """Starts and stops the daemons and stand-ins of one run.

    Settings are copied from the example of the same name, with the addresses
    moved to a free loopback network so that runs can overlap.

    Parameters
    ----------
    experiment : Experiment
        Names the example and the number of VMs.
    folder : Path
        Folder for settings, logs and spools.

    Attributes
    ----------
    programs : dict of str to Program
        Daemons by ``VM/kind``, stand-ins by their names.
    client : httpx.AsyncClient
        Client for requests to daemons and stand-ins.
    standins : StandinSettings
        Settings of the stand-ins.
    """

    def __init__(
        self, experiment: experiment_file.Experiment, folder: pathlib.Path
    ) -> None:
        self.programs: dict[str, processes.Program] = {}
        self.client = web.create_client(timeout_seconds=5.0)
        self._experiment = experiment
        self._folder = folder
        self._examples_folder = ROOT / 'examples' / experiment.deployment
        self._network_prefix = find_free_network()
        self._example_network_prefix = (
            '127.0.1.'
            if experiment.deployment == 'association'
            else '127.0.2.'
        )
        for name in ('settings', 'logs', 'spool'):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.standins = standins.read_standin_settings(
            self._write_standin_settings()
        )
        self._create_programs()

    @property
    def model(self) -> str:
        """Return the model that the engines serve."""
        return self.standins.engines[0].model

    @property
    def service(self) -> str:
        """Return the name of the plain service."""
        return self.standins.services[0].service

    def list_vm_names(self) -> list[str]:
        """Return the names of the VMs that run daemons."""
        return [f'entry-{n + 1}' for n in range(self._experiment.vms)]

    def format_address(self, vm: str, kind: str) -> str:
        """Return the HTTP address of a daemon."""
        number = int(vm.rpartition('-')[2])
        return f'{self._network_prefix}{10 + number}:{DAEMON_PORTS[kind]}'

    def list_addresses(self, kind: str) -> list[str]:
        """Return the HTTP addresses of all daemons of a kind."""
        return [self.format_address(vm, kind) for vm in self.list_vm_names()]

    def list_standin_addresses(self) -> dict[str, str]:
        """Return the HTTP address of each stand-in by its name."""
        ports = {
            'objects': self.standins.objects_port,
            'vms': self.standins.vms_port,
            'weights': self.standins.weights_port,
        }
        for server in [*self.standins.engines, *self.standins.services]:
            ports[server.name] = server.port
        return {n: f'{self.standins.ip}:{p}' for n, p in ports.items()}

    def select_programs(self, target: str) -> list[processes.Program]:
        """Return all programs of a VM, or the one program with this name."""
        return [
            program
            for name, program in self.programs.items()
            if name == target or name.startswith(f'{target}/')
        ]

    async def start(self) -> None:
        """Start all programs and wait until each serves HTTP."""
        for program in self.programs.values():
            program.start()
        pending_addresses = [*self.list_standin_addresses().values()]
        for kind in DAEMONS:
            pending_addresses += self.list_addresses(kind)
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            for address in pending_addresses:
                await self._wait_until_healthy(address)

    async def _wait_until_healthy(self, address: str) -> None:
        while True:
            try:
                await self.client.get(f'http://{address}/health')
                return
            except httpx.HTTPError:
                await anyio.sleep(0.1)

    async def set_vm_listed(self, name: str, *, listed: bool) -> None:
        """Add a VM to the VM list that the stand-in serves, or remove it."""
        base = self.list_standin_addresses()['vms']
        url = f'http://{base}/vms/{name}'
        vm = next(v for v in self.standins.vms if v.name == name)
        if listed:
            await self.client.put(url, content=msgspec.json.encode(vm))
        else:
            await self.client.delete(url)

    def stop(self) -> None:
        """Kill every process."""
        for program in self.programs.values():
            program.kill()

    def _create_programs(self) -> None:
        arguments = ['--config', str(self._folder / 'settings/standins.toml')]
        for name in self.list_standin_addresses():
            self._add_program(
                name, 'run_standin', [*arguments, '--only', name]
            )
        for vm in self.list_vm_names():
            path, has_spool = self._write_vm_settings(vm)
            kinds = [*DAEMONS, 'spool'] if has_spool else DAEMONS
            for kind in kinds:
                self._add_program(
                    f'{vm}/{kind}', f'run_{kind}', ['--config', path]
                )

    def _add_program(
        self, name: str, entry_point: str, arguments: list[str]
    ) -> None:
        log = self._folder / 'logs' / f'{name.replace("/", ".")}.log'
        self.programs[name] = processes.Program(
            name, entry_point, arguments, str(log)
        )

    def _write_vm_settings(self, vm: str) -> tuple[str, bool]:
        text = (self._examples_folder / f'{vm}.toml').read_text()
        text = text.replace(self._example_network_prefix, self._network_prefix)
        text = text.replace('"data/', f'"{self._folder}/spool/')
        text += (
            '\n[entry]\naddress_lifetime_seconds = '
            f'{self._experiment.address_lifetime_seconds}\n'
        )
        path = self._folder / 'settings' / f'{vm}.toml'
        path.write_text(text)
        return str(path), '[spool]' in text

    def _write_standin_settings(self) -> str:
        text = (self._examples_folder / 'standins.toml').read_text()
        header, *vms = text.replace(
            self._example_network_prefix, self._network_prefix
        ).split('[[vms]]')
        kept_vms = vms[: self._experiment.vms]
        path = self._folder / 'settings' / 'standins.toml'
        path.write_text('[[vms]]'.join([header, *kept_vms]))
        return str(path)


def find_free_network() -> str:
    """Return the prefix of a loopback network that no other run uses.

    Raises
    ------
    RuntimeError
        If every candidate network is in use; wait for other runs to end.
    """
    for attempt in range(100):
        prefix = f'127.{64 + (os.getpid() + attempt) % 128}.7.'
        with socket.socket() as probe:
            try:
                probe.bind((f'{prefix}1', 9001))
            except OSError:
                continue
            return prefix
    raise RuntimeError('no free loopback network for the deployment')
