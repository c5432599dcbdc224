"""Streams that are taken up at a VM that stood still or was cut off."""

import collections
import contextlib
import contextvars
import signal
import socket

import anyio
import anyio.abc
import httpx
import pytest

from swiftjunction import coordination
from swiftjunction import standins
from tests.cover import test_platform_processes
from tests.cover import test_platform_versions
from tests import platform_deployment

pytestmark = pytest.mark.anyio

VMS = test_platform_versions.VMS
OUT_OF_STEP = 'vm-3'
IN_TOUCH = ('vm-1', 'vm-2')
# VMs that start have heard of each other within this time.
MEMBERS_SECONDS = 1.5
# Streams are taken up so long after a change, or later if the VMs in touch
# with the store do not know it by then.
CHANGED_SECONDS = 1.5
# A VM knows within this time that it is cut off from the list of servers.
KNOWN_STALE_SECONDS = 3.0
# Requests that arrive at a VM that stands still wait for it.
ARRIVAL_SECONDS = 0.2
STREAM_COUNT = 24
# With one stream in six at engines that joined, fewer than MIN_STREAM_COUNT of
# so many are there once in a hundred million times.
MAX_STREAM_COUNT = 120
MIN_STREAM_COUNT = 2


class Release(platform_deployment.PlatformDeployment):
    """Engines of several software versions, which join and restart."""

    def add_engines(self, software, *names):
        for name in names:
            self.engines[name] = standins.PlatformEngineStandin(
                name, {platform_deployment.MODEL: 1}, software=software
            )

    def start_engines(self, software, *names):
        """Let engines of a software version join."""
        self.add_engines(software, *names)
        for name in names:
            self.start_server(name, self.engines[name])

    def restart_engines(self, software, *names):
        """Let engines start again under their ids with other software."""
        for name in names:
            engine = self.engines[name]
            engine.software = software
            engine.server_runs.count = 2
            self.register_server(name, engine, born=2)

    def make_streams(self, count=STREAM_COUNT):
        return [
            test_platform_versions.Stream(self, f's{number}')
            for number in range(count)
        ]

    async def begin(self, streams):
        for number, stream in enumerate(streams):
            await self._begin_one(number, stream)

    async def _begin_one(self, number, stream):
        assert await stream.run(VMS[number % 2], 2) == 200

    async def begin_at_each(self, *versions):
        """Return streams of which several have begun at each version.

        An engine that joined gets less than the others at first: of two idle
        ones that are drawn, the one that joined is not chosen.
        """
        begun = []
        for number, stream in enumerate(self.make_streams(MAX_STREAM_COUNT)):
            await self._begin_one(number, stream)
            begun.append(stream)
            counts = collections.Counter(
                version for s in begun for version in s.software
            )
            if len(begun) >= STREAM_COUNT and all(
                counts[version] >= MIN_STREAM_COUNT for version in versions
            ):
                break
        assert set(counts) == set(versions)
        assert min(counts.values()) >= MIN_STREAM_COUNT
        return begun

    async def wait_for_change(self, **software):
        """Wait until the VMs in touch with the store know these engines."""
        changed_at = anyio.current_time()
        await test_platform_versions.wait_for_engines(self, software, IN_TOUCH)
        await anyio.sleep_until(changed_at + CHANGED_SECONDS)

    async def take_up(self, streams):
        """Return the outcome of each stream at the VM out of step."""
        outcomes = {}

        async def run(stream):
            try:
                outcomes[stream] = await stream.run(OUT_OF_STEP)
            except httpx.RemoteProtocolError:
                outcomes[stream] = 'incomplete'

        async with anyio.create_task_group() as tasks:
            for stream in streams:
                tasks.start_soon(run, stream)
        return outcomes


class SuspendableDeployment(
    Release, test_platform_processes.ProcessDeployment
):
    """VMs in processes, which can be suspended."""

    def __init__(self, folder):
        super().__init__(folder)
        self.engines = {}
        self.add_engines('v1', 'e1', 'e2')

    def get_ip(self, name):
        """Return an address of its own, as the metrics port is fixed."""
        network = self.vm_ip.rpartition('.')[0]
        return f'{network}.{VMS.index(name) + 1}'

    @contextlib.contextmanager
    def suspend(self, vm):
        self.processes[vm].send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.processes[vm].send_signal(signal.SIGCONT)


# The VM whose task opens a connection or sends a datagram.
_current_vm = contextvars.ContextVar('current_vm', default='')


class CuttableDeployment(Release):
    """VMs in one process; one can be cut off from the store and its peers.

    Parameters
    ----------
    monkeypatch : MonkeyPatch
        Takes what the VMs send through this deployment.
    """

    def __init__(self, folder, monkeypatch):
        super().__init__(folder)
        self.engines = {}
        self.add_engines('v1', 'e1', 'e2')
        self._is_cut_off = False
        self._streams = []
        self._connect_tcp = anyio.connect_tcp
        self._send_datagram = coordination.PeerDatagrams.send
        deployment = self

        async def send(datagrams, message, address):
            port = int(address.rpartition(':')[2])
            if not deployment._is_blocked(_current_vm.get(), port):
                await deployment._send_datagram(datagrams, message, address)

        monkeypatch.setattr(anyio, 'connect_tcp', self._connect)
        monkeypatch.setattr(coordination.PeerDatagrams, 'send', send)

    async def _connect(self, remote_host, remote_port, **options):
        vm = _current_vm.get()
        if self._is_blocked(vm, int(remote_port)):
            raise ConnectionRefusedError('cut off')
        stream = await self._connect_tcp(remote_host, remote_port, **options)
        self._streams.append((vm, int(remote_port), stream))
        return stream

    async def _run_vm(self, program, scope):
        _current_vm.set(program._settings.name)
        await super()._run_vm(program, scope)

    def _is_blocked(self, vm, port):
        if not self._is_cut_off or not vm:
            return False
        store_port = int(self.store_address.rpartition(':')[2])
        return (
            port in self._list_ports(*(VMS if vm == OUT_OF_STEP else ()))
            or port in self._list_ports(OUT_OF_STEP)
            or (vm == OUT_OF_STEP and port == store_port)
        )

    def _list_ports(self, *vms):
        return {
            port
            for vm in vms
            for port in (
                self.ports[vm]['peer'],
                self.ports[vm]['peer'] + 1,
                self.ports[vm]['directory'],
            )
        }

    def cut(self):
        """Cut the VM off, also on open connections."""
        self._is_cut_off = True
        for vm, port, stream in self._streams:
            if self._is_blocked(vm, port):
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                with contextlib.suppress(OSError):
                    raw.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def deployment(tmp_path):
    deployment = SuspendableDeployment(tmp_path)
    yield deployment
    deployment.close()


@pytest.fixture
def cuttable(tmp_path, monkeypatch):
    return CuttableDeployment(tmp_path, monkeypatch)


def check(outcomes):
    """Check that each stream goes on, or is not run, or is incomplete."""
    assert [s.data for s in outcomes if len(s.software) != 1] == []
    assert set(outcomes.values()) <= {200, 503, 'incomplete'}
    for stream, outcome in outcomes.items():
        assert stream.is_complete() == (outcome == 200)


@pytest.mark.parametrize('leaving', [(), ('e1', 'e2')])
async def test_streams_of_engines_that_joined_do_not_go_on_at_others(
    deployment, leaving
):
    async with deployment.run(VMS):
        await anyio.sleep(MEMBERS_SECONDS)
        with deployment.suspend(OUT_OF_STEP):
            deployment.start_engines('v2', 'e3', 'e4')
            await deployment.wait_for_change(
                e1='v1', e2='v1', e3='v2', e4='v2'
            )
            streams = await deployment.begin_at_each('v1', 'v2')
            for name in leaving:
                deployment.store.remove('servers', name)
            outcomes = {}
            async with anyio.create_task_group() as tasks:

                async def take_up():
                    outcomes.update(await deployment.take_up(streams))

                tasks.start_soon(take_up)
                await anyio.sleep(ARRIVAL_SECONDS)
                deployment.processes[OUT_OF_STEP].send_signal(signal.SIGCONT)
    check(outcomes)


async def test_streams_do_not_go_on_at_engines_that_restarted_meanwhile(
    deployment,
):
    deployment.add_engines('v2', 'e3', 'e4')
    async with deployment.run(VMS):
        await anyio.sleep(MEMBERS_SECONDS)
        streams = deployment.make_streams()
        await deployment.begin(streams)
        outcomes = {}
        with deployment.suspend(OUT_OF_STEP):
            deployment.restart_engines('v3', 'e1', 'e2')
            await deployment.wait_for_change(
                e1='v3', e2='v3', e3='v2', e4='v2'
            )
            async with anyio.create_task_group() as tasks:

                async def take_up():
                    outcomes.update(await deployment.take_up(streams))

                tasks.start_soon(take_up)
                await anyio.sleep(ARRIVAL_SECONDS)
                deployment.processes[OUT_OF_STEP].send_signal(signal.SIGCONT)
    check(outcomes)


async def test_streams_do_not_go_on_at_engines_that_restarted_during_a_cut(
    cuttable,
):
    cuttable.add_engines('v2', 'e3', 'e4')
    async with cuttable.run(VMS):
        await anyio.sleep(MEMBERS_SECONDS)
        # Both peers of the VM that begins a stream have its origin.
        streams = cuttable.make_streams()
        await cuttable.begin(streams)
        cuttable.cut()
        cuttable.restart_engines('v3', 'e1', 'e2')
        await cuttable.wait_for_change(e1='v3', e2='v3', e3='v2', e4='v2')
        assert await test_platform_versions.list_engines(
            cuttable, OUT_OF_STEP
        ) == {'e1': 'v1', 'e2': 'v1', 'e3': 'v2', 'e4': 'v2'}
        outcomes = await cuttable.take_up(streams)
    check(outcomes)
    for stream, outcome in outcomes.items():
        assert outcome == (503 if stream.software == {'v1'} else 200)


async def test_streams_of_engines_that_joined_during_a_cut_are_not_run(
    cuttable,
):
    async with cuttable.run(VMS):
        await anyio.sleep(MEMBERS_SECONDS)
        cuttable.cut()
        cuttable.start_engines('v2', 'e3', 'e4')
        await cuttable.wait_for_change(e1='v1', e2='v1', e3='v2', e4='v2')
        assert await test_platform_versions.list_engines(
            cuttable, OUT_OF_STEP
        ) == {'e1': 'v1', 'e2': 'v1'}
        streams = await cuttable.begin_at_each('v1', 'v2')
        outcomes = await cuttable.take_up(streams)
    check(outcomes)
    assert set(outcomes.values()) == {503}


async def test_streams_that_begin_at_a_restarted_engine_do_not_go_on_at_others(
    cuttable,
):
    async with cuttable.run(VMS):
        await anyio.sleep(MEMBERS_SECONDS)
        cuttable.cut()
        # Listed with the software of the other engine, for this VM.
        cuttable.restart_engines('v3', 'e1')
        await anyio.sleep(KNOWN_STALE_SECONDS)
        cuttable.engines['e1'].faults.set('cut', 1000)
        streams = cuttable.make_streams()
        outcomes = await cuttable.take_up(streams)
    check(outcomes)
    assert set(outcomes.values()) == {200, 'incomplete'}
