"""Compares what callers were told with what the servers ran."""

import collections

import httpx

from bench import callers
from bench import deployment
from bench import disturbances
from bench import results

MAX_POISON_RUNS = 2


async def read_runs(
    fleet: deployment.Deployment,
) -> tuple[
    collections.Counter[str],
    collections.Counter[str],
    collections.Counter[str],
]:
    """Return the runs by request on services and engines, and by key."""
    services: collections.Counter[str] = collections.Counter()
    engines: collections.Counter[str] = collections.Counter()
    keys: collections.Counter[str] = collections.Counter()
    addresses = fleet.standin_addresses()
    for server in fleet.standins.services:
        found = await _read(fleet, addresses[server.name])
        services.update(found.get('runs', {}))
        keys.update(found.get('keys', {}))
    for engine in fleet.standins.engines:
        found = await _read(fleet, addresses[engine.name])
        for name, count in found.get('runs', {}).items():
            # The process numbers the attempts of one request.
            engines[name.rpartition('.')[0]] += count
    return services, engines, keys


async def _read(fleet: deployment.Deployment, address: str) -> dict:
    try:
        response = await fleet.client.get(f'http://{address}/runs')
        return response.json()
    except (httpx.HTTPError, ValueError):
        return {}


async def check_runs(
    fleet: deployment.Deployment,
    live: callers.Callers,
    recorder: results.Recorder,
) -> None:
    """Check "not run", and that actions ran at most once."""
    services, engines, keys = await read_runs(fleet)
    not_run = recorder.promises['"not run" is true']
    for request_id in live.not_run:
        runs = services[request_id] + engines[request_id]
        not_run.note(not runs, f'{request_id} ran {runs} times')
    once = recorder.promises['an action runs at most once']
    done = recorder.promises['an action that is answered ran']
    for action in live.actions:
        runs = services[action.request_id]
        if action.key:
            runs = max(runs, keys[action.key])
        once.note(runs <= 1, f'{action.request_id} ran {runs} times')
        if action.outcome == 'complete':
            done.note(runs >= 1, f'{action.request_id} did not run')
    poison: collections.Counter[str] = collections.Counter()
    for name, count in engines.items():
        if name.startswith('poison-'):
            poison[name.rpartition('-')[0]] += count
    for name, runs in poison.items():
        recorder.promises['a poison request is stopped'].note(
            runs <= MAX_POISON_RUNS, f'{name} crashed {runs} engines'
        )


def check_processes(
    fleet: deployment.Deployment,
    live: callers.Callers,
    faults: disturbances.Disturbances,
    recorder: results.Recorder,
) -> None:
    """Check that nothing ended by itself and no shutdown cut a stream."""
    alive = recorder.promises['no process ends by itself']
    for program in fleet.programs.values():
        code = program.exit_code
        alive.note(
            code is None or program.expected_end,
            f'{program.name} exited with {code}',
        )
    names = {
        fleet.address(vm, 'entry'): f'{vm}/entry' for vm in fleet.vm_names()
    }
    cut = recorder.promises['only a killed entry cuts a stream']
    streams = recorder.outcomes['stream']
    cut.tried += sum(streams.values())
    for at, address in live.broken_streams:
        name = names.get(address, address)
        if name not in faults.killed:
            cut.note(False, f'{name} cut a stream at {at:.1f} s')
