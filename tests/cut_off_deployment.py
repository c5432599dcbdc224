"""VMs in one process that can be cut off from all backend servers."""

import contextvars

import anyio

from soak import links
from swiftjunction import standins
from tests import platform_deployment

VMS = ('vm-1', 'vm-2', 'vm-3')
# The VM whose task opens a connection.
_current_vm = contextvars.ContextVar('current_vm', default='')


class Cut:
    """How a VM is cut off from all servers.

    Attributes
    ----------
    refuses : bool
        Whether new connections are refused; otherwise they hang.
    resets : bool
        Whether open connections are reset.
    lives_on : bool
        Whether open connections work on; otherwise they hang.
    """

    def __init__(self, refuses=False, resets=False, lives_on=False):
        self.refuses = refuses
        self.resets = resets
        self.lives_on = lives_on


HANGING = Cut()
RESET = Cut(resets=True)
REFUSED = Cut(refuses=True, resets=True)
LIVING_ON = Cut(refuses=True, lives_on=True)


class CutOffDeployment(platform_deployment.PlatformDeployment):
    """A deployment with a link from each VM to each server.

    Parameters
    ----------
    monkeypatch : MonkeyPatch
        Sends the connections of each VM through its links.
    """

    def __init__(self, folder, monkeypatch):
        super().__init__(folder)
        self._links = {}
        self._cuts = {}
        self._connect_tcp = anyio.connect_tcp
        monkeypatch.setattr(anyio, 'connect_tcp', self._connect)

    async def _connect(self, remote_host, remote_port, **options):
        vm = _current_vm.get()
        address = f'{remote_host}:{remote_port}'
        if vm and address in self.addresses.values():
            cut = self._cuts.get(vm)
            if cut is not None and cut.refuses:
                raise ConnectionRefusedError('cut off')
            if cut is not None:
                await anyio.sleep_forever()
            remote_host, _, port = self._get_link(vm, address).rpartition(':')
            remote_port = int(port)
        return await self._connect_tcp(remote_host, remote_port, **options)

    def _get_link(self, vm, address):
        link = self._links.get((vm, address))
        if link is None:
            link = self._links[vm, address] = links.LinkProxy(address)
            self._tasks.start_soon(self._run_link, link)
        return link.address

    async def _run_link(self, link):
        # Its own connections are those of no VM.
        _current_vm.set('')
        await link.run()

    async def _run_vm(self, program, scope):
        _current_vm.set(program._settings.name)
        await super()._run_vm(program, scope)

    def cut(self, vm, cut):
        """Cut a VM off from all servers."""
        self._cuts[vm] = cut
        for (name, _), link in self._links.items():
            if name != vm:
                continue
            if cut.resets:
                link.reset()
            elif not cut.lives_on:
                link.mode = links.LinkMode.SILENT

    def heal(self, vm):
        """End the cut of a VM."""
        self._cuts.pop(vm, None)
        for (name, _), link in self._links.items():
            if name == vm:
                link.mode = links.LinkMode.OPEN

    async def wait_for_coordinator(self, seconds=5):
        """Return the name of the VM that coordinates."""
        with anyio.fail_after(seconds):
            while True:
                name = self.find_coordinator()
                if name is not None:
                    return name
                await anyio.sleep(0.05)

    def find_coordinator(self):
        """Return the VM that coordinates now, or None."""
        for name, program in self.programs.items():
            if program._is_coordinator():
                return name
        return None

    def set_up_engines(self, event_seconds):
        """Use engines that generate slowly; call before :meth:`run`."""
        self.engines = {
            name: standins.PlatformEngineStandin(
                name, {platform_deployment.MODEL: 1}, event_seconds
            )
            for name in ('e1', 'e2')
        }
