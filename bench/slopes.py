"""Measures how the control cost of a daemon grows with the fleet.

A few worker processes run the control tasks of many daemons with real sockets
on loopback; the stand-ins for the platform run in the measuring process. For
comparison, the baseline is a fleet in which each daemon watches the platform
itself and broadcasts to every peer. One call measures one size;
``make slopes`` calls it for every size and prints the slopes, extrapolated to
380 daemons.
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
# Larger baselines need more processor time than the machine has.
BASELINE_MAX_DAEMONS = 64

Report = dict[str, typing.Any]


class Worker:
    """Process that runs the control tasks of some daemons."""

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
        """Wait until the process has loaded the records of its daemons."""
        assert self._process.stdout is not None
        self._process.stdout.readline()

    def send_command(self, line: str) -> None:
        """Write a line to the standard input of the process."""
        assert self._process.stdin is not None
        self._process.stdin.write(line + '\n')
        self._process.stdin.flush()

    def request_report(self) -> Report:
        """Return a report of the current state of the daemons."""
        self.send_command('report')
        assert self._process.stdout is not None
        return json.loads(self._process.stdout.readline())

    def close(self) -> None:
        """Stop the process; kill it if it does not end within 5 s."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(5)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


async def request_reports(workers: list[Worker]) -> list[Report]:
    """Return a report of each worker."""
    return [await anyio.to_thread.run_sync(w.request_report) for w in workers]


async def change_team(
    store: objectstore.ObjectStore, accepted: dict[int, float], team: int
) -> None:
    """Change the paths of one team and record the time of acceptance."""
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
    """Measure a fleet of one kind and size for `seconds`."""
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
            await change_team(store, {}, team)
        worker_count = max(2, size // DAEMONS_PER_WORKER)
        workers = [
            Worker(
                kind,
                range(
                    size * n // worker_count, size * (n + 1) // worker_count
                ),
                size,
                addresses,
            )
            for n in range(worker_count)
        ]
        try:
            result = await _run_scenario(
                workers, store, accepted, size, seconds
            )
        finally:
            for worker in workers:
                await anyio.to_thread.run_sync(worker.close)
        tasks.cancel_scope.cancel()
    return {'kind': kind, 'size': size, **result}


async def _wait_until_converged(workers: list[Worker], size: int) -> bool:
    """Wait until each daemon has all records.

    Returns
    -------
    bool
        False on a timeout; the baseline may lose records.
    """
    expected_records = size * (slopes_nodes.SERVERS_PER_DAEMON + 1)
    with anyio.move_on_after(12):
        while True:
            reports = await request_reports(workers)
            if all(
                live == size for report in reports for live in report['live']
            ) and all(
                records >= expected_records
                for report in reports
                for records in report['records']
            ):
                return True
            await anyio.sleep(0.5)
    return False


async def _run_scenario(
    workers: list[Worker],
    store: objectstore.ObjectStore,
    accepted: dict[int, float],
    size: int,
    seconds: float,
) -> Report:
    for worker in workers:
        await anyio.to_thread.run_sync(worker.wait_ready)
    for worker in workers:
        worker.send_command('start')
    converged = await _wait_until_converged(workers, size)
    await anyio.sleep(5.0)
    before = await request_reports(workers)
    end = anyio.current_time() + seconds
    number = 0
    while anyio.current_time() < end:
        number += 1
        await change_team(store, accepted, number)
        await anyio.sleep(1 / CHANGES_PER_SECOND)
    after = await request_reports(workers)
    burst: dict[int, float] = {}
    async with anyio.create_task_group() as tasks:
        for team in range(TEAMS):
            tasks.start_soon(_change_repeatedly, store, burst, team)
    await anyio.sleep(4.0)
    killed = size - 1
    killed_at = time.monotonic()
    for worker in workers:
        worker.send_command(f'kill {killed}')
    await anyio.sleep(6.0)
    last = await request_reports(workers)
    return {
        'settled': converged,
        **slopes_report.summarize_cost(before, after),
        **slopes_report.summarize_propagation(accepted, last, 'steady'),
        **slopes_report.summarize_propagation(burst, last, 'burst'),
        **slopes_report.summarize_death(last, f'vm-{killed}', killed_at),
    }


async def _change_repeatedly(
    store: objectstore.ObjectStore, accepted: dict[int, float], team: int
) -> None:
    for number in range(team, BURST_CHANGES, TEAMS):
        await change_team(store, accepted, number)


def main() -> None:
    """Measure one size, or print the slopes of earlier measurements."""
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
