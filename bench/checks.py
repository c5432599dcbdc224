"""Checks the outcomes that callers saw against the servers' records."""

import collections

import httpx

from bench import callers
from bench import deployments
from bench import disturbances
from bench import results

# Engines that one poison request may crash before it is rejected.
MAX_POISON_RUNS = 2


async def fetch_run_counts(
    deployment: deployments.Deployment,
) -> tuple[
    collections.Counter[str],
    collections.Counter[str],
    collections.Counter[str],
]:
    """Return how often the stand-ins ran each request.

    Returns
    -------
    service_runs : Counter
        Runs on services, by request id.
    engine_runs : Counter
        Runs on engines, by request id.
    key_runs : Counter
        Runs on services, by idempotency key.
    """
    service_runs: collections.Counter[str] = collections.Counter()
    engine_runs: collections.Counter[str] = collections.Counter()
    key_runs: collections.Counter[str] = collections.Counter()
    addresses = deployment.list_standin_addresses()
    for server in deployment.standins.services:
        counts = await _fetch_counts(deployment, addresses[server.name])
        service_runs.update(counts.get('runs', {}))
        key_runs.update(counts.get('keys', {}))
    for engine in deployment.standins.engines:
        counts = await _fetch_counts(deployment, addresses[engine.name])
        for name, count in counts.get('runs', {}).items():
            # Engines receive the request id with a suffix for each attempt.
            engine_runs[name.rpartition('.')[0]] += count
    return service_runs, engine_runs, key_runs


async def _fetch_counts(
    deployment: deployments.Deployment, address: str
) -> dict:
    """Return the counters of a stand-in; none if it does not respond."""
    try:
        response = await deployment.client.get(f'http://{address}/runs')
        return response.json()
    except (httpx.HTTPError, ValueError):
        return {}


async def check_runs(
    deployment: deployments.Deployment,
    caller_workload: callers.CallerWorkload,
    recorder: results.Recorder,
) -> None:
    """Check ``NotRun`` errors and that each action ran at most once."""
    service_runs, engine_runs, key_runs = await fetch_run_counts(deployment)
    not_executed = recorder.invariants['"not run" is true']
    for request_id in caller_workload.not_run_request_ids:
        runs = service_runs[request_id] + engine_runs[request_id]
        not_executed.record(not runs, f'{request_id} ran {runs} times')
    at_most_once = recorder.invariants['an action runs at most once']
    executed = recorder.invariants['an action that is answered ran']
    for action in caller_workload.actions:
        runs = service_runs[action.request_id]
        if action.key:
            runs = max(runs, key_runs[action.key])
        at_most_once.record(runs <= 1, f'{action.request_id} ran {runs} times')
        if action.outcome == 'complete':
            executed.record(runs >= 1, f'{action.request_id} did not run')
    poison_runs: collections.Counter[str] = collections.Counter()
    for name, count in engine_runs.items():
        if name.startswith('poison-'):
            poison_runs[name.rpartition('-')[0]] += count
    for name, runs in poison_runs.items():
        recorder.invariants['a poison request is stopped'].record(
            runs <= MAX_POISON_RUNS, f'{name} crashed {runs} engines'
        )


def check_processes(
    deployment: deployments.Deployment,
    caller_workload: callers.CallerWorkload,
    fault_injector: disturbances.FaultInjector,
    recorder: results.Recorder,
) -> None:
    """Check that no process exited unexpectedly and no stream was cut.

    Only an entry that was killed may cut its streams; an entry that shuts down
    gracefully finishes them.
    """
    no_unexpected_exit = recorder.invariants['no process ends by itself']
    for program in deployment.programs.values():
        exit_code = program.exit_code
        no_unexpected_exit.record(
            exit_code is None or program.is_exit_expected,
            f'{program.name} exited with {exit_code}',
        )
    entry_names = {
        deployment.format_address(vm, 'entry'): f'{vm}/entry'
        for vm in deployment.list_vm_names()
    }
    no_cut_stream = recorder.invariants['only a killed entry cuts a stream']
    stream_outcomes = recorder.outcomes['stream']
    no_cut_stream.cases += sum(stream_outcomes.values())
    for broken_at, address in caller_workload.broken_streams:
        name = entry_names.get(address, address)
        if name not in fault_injector.killed_programs:
            no_cut_stream.record(
                False, f'{name} cut a stream at {broken_at:.1f} s'
            )
