"""Measures the control cost of a daemon against the size of the fleet.

Control tasks of many daemons run in a few processes, with real sockets on
loopback and the platform's stand-ins in a process of their own. Beside them
runs a naive baseline, in which each daemon watches the platform and sends to
every peer. One call measures one size; ``make slopes`` calls it for each and
prints the slopes, extrapolated to 380 daemons.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import time
import typing

import anyio

from bench import slopes_nodes
from bench import slopes_report
from swiftjunction import configuration
from swiftjunction import objectstore
from swiftjunction import standins
from swiftjunction import web

DAEMONS_PER_WORKER = 25
CHANGES_PER_SECOND = 57_000 / 86_400
BURST_CHANGES = 50
TEAMS = 20
PATHS_PER_TEAM = 10
# Beyond this the baseline takes more than the processors of this test.
BASELINE_MAX_DAEMONS = 64

Report = dict[str, typing.Any]


class Worker:
    """A process with the control tasks of some daemons."""

    def __init__(
        self, kind: str, numbers: range, size: int, addresses: list[str]
    ) -> None:
        self._process = subprocess.Popen(
            [
                sys.executable,
                slopes_nodes.__file__,
                kind,
                str(numbers.start),
                str(numbers.stop),
                str(size),
                *addresses,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def wait_ready(self) -> None:
        """Wait until the daemons are loaded."""
        assert self._process.stdout is not None
        self._process.stdout.readline()

    def tell(self, line: str) -> None:
        """Send a line."""
        assert self._process.stdin is not None
        self._process.stdin.write(line + '\n')
        self._process.stdin.flush()

    def ask(self) -> Report:
        """Return what the process reports now."""
        self.tell('report')
        assert self._process.stdout is not None
        return json.loads(self._process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(5)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


async def ask_all(workers: list[Worker]) -> list[Report]:
    """Return the reports of all workers."""
    return [await anyio.to_thread.run_sync(w.ask) for w in workers]


async def change_teams(
    store: objectstore.ObjectStore, accepted: dict[int, float], team: int
) -> None:
    """Change one team's settings and note when that was accepted."""
    name = f'team-{team % TEAMS}'
    editor = configuration.Editor(store)
    _, version = await editor.read(name)
    paths = {
        f'{name}/path-{n}': configuration.PathSettings(
            model='fit', timeout_seconds=5.0 + n, share=1.0 + team % 900
        )
        for n in range(PATHS_PER_TEAM)
    }
    version = await editor.apply(name, paths, author='op', version=version)
    accepted[version] = time.monotonic()


async def measure(kind: str, size: int, seconds: float) -> Report:
    """Measure one kind of fleet of one size."""
    objects = standins.ObjectStoreStandin()
    vms = standins.VmListStandin()
    accepted: dict[int, float] = {}
    async with anyio.create_task_group() as tasks:
        addresses = []
        for standin in (objects, vms):
            listener = web.open_listener('127.0.0.1', 0)
            addresses.append(listener.address)
            tasks.start_soon(standins.serve, listener, standin)
        for number in range(size):
            process = slopes_nodes.make_process(number)
            vms.put(
                objectstore.Vm(
                    process.vm,
                    process.link,
                    'swiftjunction',
                    process.data_center,
                )
            )
        store = objectstore.HttpObjectStore(
            web.create_client(f'http://{addresses[0]}')
        )
        for team in range(TEAMS):
            await change_teams(store, {}, team)
        count = max(2, size // DAEMONS_PER_WORKER)
        workers = [
            Worker(
                kind,
                range(size * n // count, size * (n + 1) // count),
                size,
                addresses,
            )
            for n in range(count)
        ]
        try:
            result = await _drive(workers, store, accepted, size, seconds)
        finally:
            for worker in workers:
                await anyio.to_thread.run_sync(worker.close)
        tasks.cancel_scope.cancel()
    return {'kind': kind, 'size': size, **result}


async def _settle(workers: list[Worker], size: int) -> bool:
    """Wait until each daemon knows all; the baseline may lose some."""
    wanted = size * (slopes_nodes.SERVERS_PER_DAEMON + 1)
    with anyio.move_on_after(12):
        while True:
            reports = await ask_all(workers)
            if all(
                live == size for found in reports for live in found['live']
            ) and all(
                records >= wanted
                for found in reports
                for records in found['records']
            ):
                return True
            await anyio.sleep(0.5)
    return False


async def _drive(
    workers: list[Worker],
    store: objectstore.ObjectStore,
    accepted: dict[int, float],
    size: int,
    seconds: float,
) -> Report:
    for worker in workers:
        await anyio.to_thread.run_sync(worker.wait_ready)
    for worker in workers:
        worker.tell('start')
    settled = await _settle(workers, size)
    await anyio.sleep(5.0)
    before = await ask_all(workers)
    end = anyio.current_time() + seconds
    number = 0
    while anyio.current_time() < end:
        number += 1
        await change_teams(store, accepted, number)
        await anyio.sleep(1 / CHANGES_PER_SECOND)
    after = await ask_all(workers)
    burst: dict[int, float] = {}
    async with anyio.create_task_group() as tasks:
        for team in range(TEAMS):
            tasks.start_soon(_change_often, store, burst, team)
    await anyio.sleep(4.0)
    killed = size - 1
    killed_at = time.monotonic()
    for worker in workers:
        worker.tell(f'kill {killed}')
    await anyio.sleep(6.0)
    last = await ask_all(workers)
    return {
        'settled': settled,
        **slopes_report.summarize_cost(before, after),
        **slopes_report.summarize_force(accepted, last, 'steady'),
        **slopes_report.summarize_force(burst, last, 'burst'),
        **slopes_report.summarize_death(last, f'vm-{killed}', killed_at),
    }


async def _change_often(
    store: objectstore.ObjectStore, accepted: dict[int, float], team: int
) -> None:
    for number in range(team, BURST_CHANGES, TEAMS):
        await change_teams(store, accepted, number)


def main() -> None:
    """Measure one size, or print the slopes of what was measured."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--size', type=int)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--output', type=pathlib.Path, required=True)
    parser.add_argument('--kind', choices=sorted(slopes_nodes.KINDS))
    parser.add_argument('--report', action='store_true')
    arguments = parser.parse_args()
    if arguments.report:
        slopes_report.print_slopes(arguments.output)
        return
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    kinds = [arguments.kind] if arguments.kind else ['product', 'baseline']
    for kind in kinds:
        if kind == 'baseline' and arguments.size > BASELINE_MAX_DAEMONS:
            continue
        result = anyio.run(measure, kind, arguments.size, arguments.seconds)
        line = json.dumps(result)
        print(line)
        with arguments.output.open('a') as output:
            output.write(line + '\n')


if __name__ == '__main__':
    main()
