"""A deployment of the sizes of today, as processes on loopback."""

import os
import pathlib
import socket

import anyio
import httpx
import msgspec

from bench import plan
from bench import processes
from swiftjunction import standins
from swiftjunction import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMONS = ('conductor', 'entry', 'rollout')
READY_TIMEOUT_SECONDS = 60.0
PORTS = {'entry': 8080, 'rollout': 8090, 'conductor': 8070}


class Deployment:
    """The programs of one run and where they serve.

    Parameters
    ----------
    experiment : Experiment
        Its size.
    folder : Path
        Where settings, logs and spools go.
    """

    def __init__(
        self, experiment: plan.Experiment, folder: pathlib.Path
    ) -> None:
        self.programs: dict[str, processes.Program] = {}
        self.client = web.create_client(timeout_seconds=5.0)
        self._experiment = experiment
        self._folder = folder
        self._examples = ROOT / 'examples' / experiment.deployment
        self._net = choose_net()
        self._old_net = (
            '127.0.1.'
            if experiment.deployment == 'association'
            else '127.0.2.'
        )
        for name in ('settings', 'logs', 'spool'):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.standins = standins.read_standin_settings(self._write_standins())
        self._prepare()

    @property
    def model(self) -> str:
        """Return the model that the engines serve."""
        return self.standins.engines[0].model

    @property
    def service(self) -> str:
        """Return the plain service."""
        return self.standins.services[0].service

    def vm_names(self) -> list[str]:
        """Return this system's VMs."""
        return [f'entry-{n + 1}' for n in range(self._experiment.vms)]

    def address(self, vm: str, kind: str) -> str:
        """Return where a process serves HTTP."""
        number = int(vm.rpartition('-')[2])
        return f'{self._net}{10 + number}:{PORTS[kind]}'

    def addresses(self, kind: str) -> list[str]:
        """Return where all processes of a kind serve."""
        return [self.address(vm, kind) for vm in self.vm_names()]

    def standin_addresses(self) -> dict[str, str]:
        """Return where each stand-in serves."""
        ports = {
            'objects': self.standins.objects_port,
            'vms': self.standins.vms_port,
            'weights': self.standins.weights_port,
        }
        for server in [*self.standins.engines, *self.standins.services]:
            ports[server.name] = server.port
        return {n: f'{self.standins.ip}:{p}' for n, p in ports.items()}

    def select(self, target: str) -> list[processes.Program]:
        """Return the programs of a VM, or the one that is named."""
        return [
            program
            for name, program in self.programs.items()
            if name == target or name.startswith(f'{target}/')
        ]

    async def start(self) -> None:
        """Start everything and wait until it answers."""
        for program in self.programs.values():
            program.start()
        waited = [*self.standin_addresses().values()]
        for kind in DAEMONS:
            waited += self.addresses(kind)
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            for address in waited:
                await self._wait_answer(address)

    async def _wait_answer(self, address: str) -> None:
        while True:
            try:
                await self.client.get(f'http://{address}/health')
                return
            except httpx.HTTPError:
                await anyio.sleep(0.1)

    async def change_vm(self, name: str, *, listed: bool) -> None:
        """Take one of this system's VMs off the VM list, or put it back."""
        base = self.standin_addresses()['vms']
        url = f'http://{base}/vms/{name}'
        vm = next(v for v in self.standins.vms if v.name == name)
        if listed:
            await self.client.put(url, content=msgspec.json.encode(vm))
        else:
            await self.client.delete(url)

    def stop(self) -> None:
        """End every process."""
        for program in self.programs.values():
            program.kill()

    def _prepare(self) -> None:
        arguments = ['--config', str(self._folder / 'settings/standins.toml')]
        for name in self.standin_addresses():
            self._add(name, 'run_standin', [*arguments, '--only', name])
        for vm in self.vm_names():
            path, has_spool = self._write_vm(vm)
            kinds = [*DAEMONS, 'spool'] if has_spool else DAEMONS
            for kind in kinds:
                self._add(f'{vm}/{kind}', f'run_{kind}', ['--config', path])

    def _add(self, name: str, entry_point: str, arguments: list[str]) -> None:
        log = self._folder / 'logs' / f'{name.replace("/", ".")}.log'
        self.programs[name] = processes.Program(
            name, entry_point, arguments, str(log)
        )

    def _write_vm(self, vm: str) -> tuple[str, bool]:
        text = (self._examples / f'{vm}.toml').read_text()
        text = text.replace(self._old_net, self._net)
        text = text.replace('"data/', f'"{self._folder}/spool/')
        text += (
            '\n[entry]\naddress_lifetime_seconds = '
            f'{self._experiment.address_lifetime_seconds}\n'
        )
        path = self._folder / 'settings' / f'{vm}.toml'
        path.write_text(text)
        return str(path), '[spool]' in text

    def _write_standins(self) -> str:
        text = (self._examples / 'standins.toml').read_text()
        head, *vms = text.replace(self._old_net, self._net).split('[[vms]]')
        kept = vms[: self._experiment.vms]
        path = self._folder / 'settings' / 'standins.toml'
        path.write_text('[[vms]]'.join([head, *kept]))
        return str(path)


def choose_net() -> str:
    """Return a loopback network that no other run uses now."""
    for step in range(100):
        net = f'127.{64 + (os.getpid() + step) % 128}.7.'
        with socket.socket() as probe:
            try:
                probe.bind((f'{net}1', 9001))
            except OSError:
                continue
            return net
    raise RuntimeError('every loopback network is in use')
