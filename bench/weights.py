"""Measures rollouts of new weights to many engine stand-ins.

The conductor runs in this process; the engines and the stand-ins for the
platform run in two others. Prints for each version the time until the last
engine staged it, the duration of the wave (from the first activation to the
last), the number of fetches from the weight store, and the processor time of
the conductor.
"""

import argparse
import json
import subprocess
import sys
import time

import anyio
import anyio.abc
import httpx
import msgspec

from swiftjunction import configuration
from swiftjunction import daemons
from swiftjunction import objectstore
from swiftjunction import settings
from swiftjunction import standins
from swiftjunction import web
from swiftjunction import weights

STANDIN_PROCESSES = 2
SLOW_FACTOR = 20.0
# Shorter than the minute that a run may take.
VERSION_TIMEOUT_SECONDS = 45.0
WAVE_TARGET_SECONDS = 2.0
FETCH_SECONDS = 0.02
MAX_CONCURRENT_FETCHES = 4


class Layout(msgspec.Struct):
    """Ports of the stand-ins."""

    objects: int
    vms: int
    weights: int
    engines: list[int]


class CountingStore(standins.WeightStoreStandin):
    """Weight store that counts the fetches in its process."""

    fetches = 0

    async def _fetch(self, request):
        CountingStore.fetches += 1
        return await super()._fetch(request)


class TimedEngine(standins.EngineStandin):
    """Engine that prints an event whenever a version is staged or active."""

    def describe_status(self):
        status = super().describe_status()
        versions = (status.staged_version, status.weight_version)
        if versions != getattr(self, 'printed_versions', None):
            self.printed_versions = versions
            print_event(
                name=self.name,
                staged=versions[0],
                active=versions[1],
                time=time.monotonic(),
                fetches=CountingStore.fetches,
            )
        return status


def print_event(**fields):
    """Write an event for the measuring process to the standard output."""
    print(json.dumps(fields), flush=True)


async def serve(layout: Layout, part: int) -> None:
    """Serve the stand-ins of process number `part`."""
    client = web.create_client(f'http://127.0.0.1:{layout.weights}')
    async with anyio.create_task_group() as tasks:

        def start(port, standin):
            listener = web.open_listener('127.0.0.1', port)
            tasks.start_soon(standins.serve, listener, standin)

        vms = standins.VmListStandin()
        for number, port in enumerate(layout.engines):
            name = f'engine-{number}'
            vms.put(objectstore.Vm(name, f'127.0.0.1:{port}', 'fit', 'dc-1'))
            if number % STANDIN_PROCESSES == part:
                engine = TimedEngine(name, 'fit', client)
                engine.faults.set('slow_factor', SLOW_FACTOR)
                start(port, engine)
                tasks.start_soon(engine.run)
        if part == 0:
            start(layout.objects, standins.ObjectStoreStandin())
            start(layout.vms, vms)
            start(
                layout.weights,
                CountingStore(FETCH_SECONDS, MAX_CONCURRENT_FETCHES),
            )


class EngineEvents:
    """Events of all engines.

    Attributes
    ----------
    count : int
        Number of engines.
    staged, active : dict
        Time of the first event of each engine and version.
    fetches : int
        Number of fetches from the weight store.
    """

    def __init__(self, count):
        self.count = count
        self.staged = {}
        self.active = {}
        self.fetches = 0

    async def read(self, process):
        """Record the events that a process prints."""
        buffer = b''
        async for chunk in process.stdout:
            *lines, buffer = (buffer + chunk).split(b'\n')
            for line in lines:
                self.record(json.loads(line))

    def record(self, event):
        """Record one event."""
        name = event['name']
        self.fetches = max(self.fetches, event['fetches'])
        self.staged.setdefault((name, event['staged']), event['time'])
        self.active.setdefault((name, event['active']), event['time'])

    def list_times(self, events, version):
        """Return the sorted times of the events of `version`."""
        return sorted(t for (_, v), t in events.items() if v == version)

    async def wait(self, version):
        """Wait until all engines serve `version`."""
        with anyio.fail_after(VERSION_TIMEOUT_SECONDS):
            while len(self.list_times(self.active, version)) < self.count:
                await anyio.sleep(0.02)


async def measure(layout: Layout, versions: int) -> int:
    """Roll out `versions` versions and return the exit status."""
    engines = EngineEvents(len(layout.engines))
    worst_seconds = 0.0
    async with anyio.create_task_group() as tasks:
        for part in range(STANDIN_PROCESSES):
            process = await anyio.open_process(
                [sys.executable, __file__, '--part', str(part)]
                + ['--layout', msgspec.json.encode(layout).decode()],
                stderr=subprocess.DEVNULL,
            )
            tasks.start_soon(engines.read, process)
            tasks.start_soon(kill_on_cancel, process)
        conductor = await start_conductor(tasks, layout)
        store = objectstore.HttpObjectStore(conductor.platform_client)
        await wait_for_engines(conductor, engines.count)
        for version in range(1, versions + 1):
            cpu_started, started_at = time.process_time(), time.monotonic()
            fetches = engines.fetches
            await weights.Publisher(store).publish('fit')
            await engines.wait(version)
            staged = engines.list_times(engines.staged, version)
            active = engines.list_times(engines.active, version)
            wave_seconds = active[-1] - active[0]
            worst_seconds = max(worst_seconds, wave_seconds)
            print(
                f'version {version}: {engines.count} engines, staged in '
                f'{staged[-1] - started_at:.2f} s with '
                f'{engines.fetches - fetches} fetches; first activation '
                f'{active[0] - staged[-1]:.2f} s after the last staging; wave '
                f'{wave_seconds:.2f} s; conductor CPU '
                f'{time.process_time() - cpu_started:.2f} s'
            )
        started_at, cpu_started = time.monotonic(), time.process_time()
        await anyio.sleep(3)
        share = (time.process_time() - cpu_started) / (
            time.monotonic() - started_at
        )
        print(f'idle: conductor CPU {100 * share:.1f} % of a core')
        tasks.cancel_scope.cancel()
    print(f'slowest wave {worst_seconds:.2f} s, at most {WAVE_TARGET_SECONDS}')
    return int(worst_seconds > WAVE_TARGET_SECONDS)


async def kill_on_cancel(process):
    """Wait until the task is cancelled, then kill the process."""
    try:
        await anyio.sleep_forever()
    finally:
        process.kill()


async def start_conductor(tasks, layout):
    """Start a conductor and configure the path of the model."""
    format_url = 'http://127.0.0.1:{}'.format
    ports = standins.reserve_ports(2)
    config = settings.Settings(
        vm=settings.VmSettings('entry-0', '127.0.0.1', 'dc-1', 'loopback'),
        platform=settings.PlatformSettings(
            format_url(layout.objects),
            format_url(layout.vms),
            format_url(layout.weights),
        ),
        conductor=settings.ConductorSettings(*ports),
    )
    await wait_listening(format_url(layout.vms))
    conductor = daemons.ConductorDaemon(config)
    tasks.start_soon(conductor.run)
    paths = {'demo/fit': configuration.PathSettings(model='fit')}
    editor = configuration.Editor(
        objectstore.HttpObjectStore(conductor.platform_client)
    )
    await editor.apply('demo', paths, author='bench', version=0)
    return conductor


async def wait_listening(url):
    """Wait until the stand-in for the VM list serves requests."""
    async with httpx.AsyncClient() as client:
        with anyio.fail_after(30):
            while True:
                try:
                    await client.get(f'{url}/vms')
                    return
                except httpx.HTTPError:
                    await anyio.sleep(0.1)


async def wait_for_engines(conductor, count):
    """Wait until the conductor has a report of every engine."""
    with anyio.fail_after(30):
        while len(list(conductor.directory.select('fit'))) < count:
            await anyio.sleep(0.1)


def main() -> None:
    """Measure rollouts, or serve the stand-ins of one process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=200)
    parser.add_argument('--versions', type=int, default=3)
    parser.add_argument('--part', type=int, help=argparse.SUPPRESS)
    parser.add_argument('--layout', help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.part is not None:
        layout = msgspec.json.decode(options.layout, type=Layout)
        anyio.run(serve, layout, options.part)
        return
    ports = standins.reserve_ports(options.engines + 3)
    layout = Layout(*ports[:3], engines=ports[3:])
    sys.exit(anyio.run(measure, layout, options.versions))


if __name__ == '__main__':
    main()
