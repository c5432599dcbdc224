"""Measures how new weights come onto many engine stand-ins.

One conductor in this process, the engines and the platform in two others.
Prints for each version: when the last engine had its files, how long the wave
took from its first activation to its last, the fetches at the weight store,
and the conductor's processor time.
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
from swiftjunction.demo import _fleet
from swiftjunction import objectstore
from swiftjunction import settings
from swiftjunction import standins
from swiftjunction import web
from swiftjunction import weights

PROCESSES = 2
SLOW_TICKS = 20.0
# At most this of a run, which is within a minute.
VERSION_TIMEOUT_SECONDS = 45.0
WAVE_TARGET_SECONDS = 2.0
FETCH_SECONDS = 0.02
MAX_FETCHES = 4


class Layout(msgspec.Struct):
    """Which stand-in serves on which port."""

    objects: int
    vms: int
    weights: int
    engines: list[int]


class CountingStore(standins.WeightStoreStandin):
    """Counts its fetches."""

    fetches = 0

    async def _fetch(self, request):
        CountingStore.fetches += 1
        return await super()._fetch(request)


class TimedEngine(standins.EngineStandin):
    """Says when it has staged and when it serves a version."""

    def describe_status(self):
        status = super().describe_status()
        seen = (status.staged_version, status.weight_version)
        if seen != getattr(self, 'said', None):
            self.said = seen
            say(
                name=self.name,
                staged=seen[0],
                active=seen[1],
                time=time.monotonic(),
                fetches=CountingStore.fetches,
            )
        return status


def say(**fields):
    """Tell the process that measures."""
    print(json.dumps(fields), flush=True)


async def serve(layout: Layout, part: int) -> None:
    """Run one part of the stand-ins."""
    client = web.create_client(f'http://127.0.0.1:{layout.weights}')
    async with anyio.create_task_group() as tasks:

        def start(port, standin):
            listener = web.open_listener('127.0.0.1', port)
            tasks.start_soon(standins.serve, listener, standin)

        vms = standins.VmListStandin()
        for number, port in enumerate(layout.engines):
            name = f'engine-{number}'
            vms.put(objectstore.Vm(name, f'127.0.0.1:{port}', 'fit', 'dc-1'))
            if number % PROCESSES == part:
                engine = TimedEngine(name, 'fit', client)
                engine.faults.set('slow_factor', SLOW_TICKS)
                start(port, engine)
                tasks.start_soon(engine.run)
        if part == 0:
            start(layout.objects, standins.ObjectStoreStandin())
            start(layout.vms, vms)
            start(layout.weights, CountingStore(FETCH_SECONDS, MAX_FETCHES))


class Engines:
    """What the engines said."""

    def __init__(self, count):
        self.count = count
        self.staged = {}
        self.active = {}
        self.fetches = 0

    async def read(self, process):
        """Take in one process's lines."""
        buffer = b''
        async for part in process.stdout:
            *lines, buffer = (buffer + part).split(b'\n')
            for line in lines:
                self.note(json.loads(line))

    def note(self, said):
        """Take in one line."""
        name = said['name']
        self.fetches = max(self.fetches, said['fetches'])
        self.staged.setdefault((name, said['staged']), said['time'])
        self.active.setdefault((name, said['active']), said['time'])

    def times(self, table, version):
        """Return when each engine came to `version`."""
        return sorted(t for (_, v), t in table.items() if v == version)

    async def wait(self, version):
        """Wait until all engines serve `version`."""
        with anyio.fail_after(VERSION_TIMEOUT_SECONDS):
            while len(self.times(self.active, version)) < self.count:
                await anyio.sleep(0.02)


async def measure(layout: Layout, versions: int) -> int:
    """Roll out versions; return the exit status."""
    engines = Engines(len(layout.engines))
    worst_seconds = 0.0
    async with anyio.create_task_group() as tasks:
        for part in range(PROCESSES):
            process = await anyio.open_process(
                [sys.executable, __file__, '--part', str(part)]
                + ['--layout', msgspec.json.encode(layout).decode()],
                stderr=subprocess.DEVNULL,
            )
            tasks.start_soon(engines.read, process)
            tasks.start_soon(end_with, process)
        conductor = await start_conductor(tasks, layout)
        store = objectstore.HttpObjectStore(conductor.platform_client)
        await wait_watched(conductor, engines.count)
        for version in range(1, versions + 1):
            cpu, began = time.process_time(), time.monotonic()
            fetches = engines.fetches
            await weights.Publisher(store).publish('fit')
            await engines.wait(version)
            staged = engines.times(engines.staged, version)
            active = engines.times(engines.active, version)
            wave_seconds = active[-1] - active[0]
            worst_seconds = max(worst_seconds, wave_seconds)
            print(
                f'version {version}: {engines.count} engines, staged in '
                f'{staged[-1] - began:.2f} s with '
                f'{engines.fetches - fetches} fetches; first activation '
                f'{active[0] - staged[-1]:.2f} s after the last staging; wave '
                f'{wave_seconds:.2f} s; conductor CPU '
                f'{time.process_time() - cpu:.2f} s'
            )
        began, cpu = time.monotonic(), time.process_time()
        await anyio.sleep(3)
        share = (time.process_time() - cpu) / (time.monotonic() - began)
        print(f'idle: conductor CPU {100 * share:.1f} % of a core')
        tasks.cancel_scope.cancel()
    print(f'slowest wave {worst_seconds:.2f} s, at most {WAVE_TARGET_SECONDS}')
    return int(worst_seconds > WAVE_TARGET_SECONDS)


async def end_with(process):
    """End the process with the task that calls this."""
    try:
        await anyio.sleep_forever()
    finally:
        process.kill()


async def start_conductor(tasks, layout):
    """Start a conductor and set its path."""
    url = 'http://127.0.0.1:{}'.format
    ports = _fleet.find_free_ports(2)
    config = settings.Settings(
        vm=settings.VmSettings('entry-0', '127.0.0.1', 'dc-1', 'loopback'),
        platform=settings.PlatformSettings(
            url(layout.objects), url(layout.vms), url(layout.weights)
        ),
        conductor=settings.ConductorSettings(*ports),
    )
    await wait_listening(url(layout.vms))
    conductor = daemons.ConductorDaemon(config)
    tasks.start_soon(conductor.run)
    paths = {'demo/fit': configuration.PathSettings(model='fit')}
    editor = configuration.Editor(
        objectstore.HttpObjectStore(conductor.platform_client)
    )
    await editor.apply('demo', paths, author='bench', version=0)
    return conductor


async def wait_listening(url):
    """Wait until the platform stand-ins serve."""
    async with httpx.AsyncClient() as client:
        with anyio.fail_after(30):
            while True:
                try:
                    await client.get(f'{url}/vms')
                    return
                except httpx.HTTPError:
                    await anyio.sleep(0.1)


async def wait_watched(conductor, count):
    """Wait until the conductor has a report of every engine."""
    with anyio.fail_after(30):
        while len(list(conductor.directory.select('fit'))) < count:
            await anyio.sleep(0.1)


def main() -> None:
    """Measure, or serve one part of the stand-ins."""
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
    ports = _fleet.find_free_ports(options.engines + 3)
    layout = Layout(*ports[:3], engines=ports[3:])
    sys.exit(anyio.run(measure, layout, options.versions))


if __name__ == '__main__':
    main()
