"""Measures the processor time that an entry spends per request.

Starts the conductor and the entry of one VM and the stand-ins as processes,
and reads the entry's processor time before and after a number of requests.
One run can measure several source trees, to compare versions:

    python -m bench.hop --source old=OLD/src --source new=src
"""

import argparse
import collections.abc
import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import anyio
import httpx
import msgspec

from swiftjunction import standins

REQUESTS = 400
CONCURRENCY = 32
READY_TIMEOUT_SECONDS = 30.0
STREAM_TOKENS = 800
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')

SETTINGS_TEMPLATE = """
[vm]
name = "entry-1"
ip = "127.0.0.1"
data_center = "dc-1"
region = "loopback"
[platform]
objects = "http://127.0.0.1:{objects}"
vms = "http://127.0.0.1:{vms}"
weights = "http://127.0.0.1:{weights}"
[entry]
port = {entry}
link_port = {entry_link}
[conductor]
port = {conductor}
link_port = {conductor_link}
"""
STANDINS_TEMPLATE = """
objects_port = {objects}
vms_port = {vms}
weights_port = {weights}
[[engines]]
name = "engine-1"
port = {engine}
model = "fit"
data_center = "dc-1"
[[services]]
name = "server-1"
port = {server}
service = "sizing"
data_center = "dc-1"
"""
PORT_NAMES = (
    'objects',
    'vms',
    'weights',
    'entry',
    'entry_link',
    'conductor',
    'conductor_link',
    'engine',
    'server',
)


class HopCosts(msgspec.Struct):
    """Processor time that the entry spends per request.

    Attributes
    ----------
    service_ms : float
        Call of a plain service, in milliseconds.
    completion_ms : float
        Short completion without streaming, in milliseconds.
    chunk_us : float
        Each additional chunk of a stream, in microseconds.
    """

    service_ms: float
    completion_ms: float
    chunk_us: float


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


@contextlib.contextmanager
def run_processes(
    source: str, ports: dict[str, int], folder: pathlib.Path
) -> collections.abc.Iterator[dict[str, subprocess.Popen]]:
    """Run the processes of one source tree for the duration of the context."""
    (folder / 'vm.toml').write_text(SETTINGS_TEMPLATE.format(**ports))
    (folder / 'standins.toml').write_text(STANDINS_TEMPLATE.format(**ports))
    processes = {}
    environment = os.environ | {'PYTHONPATH': str(pathlib.Path(source))}
    for name, file in (
        ('standin', 'standins.toml'),
        ('conductor', 'vm.toml'),
        ('entry', 'vm.toml'),
    ):
        code = f'from swiftjunction import commands; commands.run_{name}()'
        processes[name] = subprocess.Popen(
            [sys.executable, '-c', code, '--config', str(folder / file)],
            env=environment,
            stderr=subprocess.DEVNULL,
        )
    try:
        yield processes
    finally:
        for process in processes.values():
            process.kill()
        for process in processes.values():
            process.wait()


async def wait_ready(client: httpx.AsyncClient, ports: dict[str, int]) -> None:
    """Configure the paths and wait until requests on them succeed."""
    conductor = f'http://127.0.0.1:{ports["conductor"]}'
    change = {
        'version': 0,
        'author': 'bench',
        'paths': {'t/fit': {'model': 'fit'}, 't/s': {'service': 'sizing'}},
    }
    with anyio.fail_after(READY_TIMEOUT_SECONDS):
        await _retry_until_success(
            client, 'POST', f'{conductor}/v1/configuration/t', change
        )
        await _retry_until_success(
            client, 'POST', f'{conductor}/v1/weights/fit/versions', None
        )
        entry = f'http://127.0.0.1:{ports["entry"]}'
        await _retry_until_success(
            client,
            'POST',
            f'{entry}/v1/completions',
            _make_completion_request(4),
        )
        await _retry_until_success(
            client, 'GET', f'{entry}/services/t/s/x', None
        )


async def _retry_until_success(
    client: httpx.AsyncClient, method: str, url: str, body: object
) -> None:
    while True:
        try:
            response = await client.request(method, url, json=body)
            if response.is_success:
                return
        except httpx.HTTPError:
            pass
        await anyio.sleep(0.2)


def _make_completion_request(
    tokens: int, stream: bool = False
) -> dict[str, object]:
    # The stand-in generates all of the requested tokens for this prompt.
    return {
        'model': 't/fit',
        'prompt': LONG_PROMPT,
        'max_tokens': tokens,
        'stream': stream,
    }


async def run_load(
    client: httpx.AsyncClient, method: str, url: str, body: object, count: int
) -> None:
    """Send `count` requests, at most `CONCURRENCY` at a time."""
    limiter = anyio.CapacityLimiter(CONCURRENCY)

    async def send() -> None:
        async with limiter:
            response = await client.request(method, url, json=body)
            assert response.is_success, response.text

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(send)


async def measure(source: str) -> HopCosts:
    """Return the costs of one source tree."""
    ports = dict(
        zip(PORT_NAMES, standins.reserve_ports(len(PORT_NAMES)), strict=True)
    )
    entry = f'http://127.0.0.1:{ports["entry"]}'
    with (
        tempfile.TemporaryDirectory() as folder,
        run_processes(source, ports, pathlib.Path(folder)) as processes,
    ):
        pid = processes['entry'].pid
        async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
            await wait_ready(client, ports)
            idle_rate = await _measure_idle_rate(pid)

            async def measure_cost(
                method: str, path: str, body: object, count: int
            ) -> float:
                await run_load(client, method, entry + path, body, 40)
                started, before = time.monotonic(), read_cpu_seconds(pid)
                await run_load(client, method, entry + path, body, count)
                used = read_cpu_seconds(pid) - before
                return (
                    used - idle_rate * (time.monotonic() - started)
                ) / count

            service = await measure_cost(
                'GET', '/services/t/s/x', None, REQUESTS
            )
            completion = await measure_cost(
                'POST',
                '/v1/completions',
                _make_completion_request(4),
                REQUESTS,
            )
            short = await measure_cost(
                'POST',
                '/v1/completions',
                _make_completion_request(4, True),
                REQUESTS // 6,
            )
            long = await measure_cost(
                'POST',
                '/v1/completions',
                _make_completion_request(STREAM_TOKENS, True),
                REQUESTS // 6,
            )
    chunks = STREAM_TOKENS / 4 - 1
    return HopCosts(
        round(service * 1e3, 3),
        round(completion * 1e3, 3),
        round((long - short) * 1e6 / chunks, 1),
    )


async def _measure_idle_rate(pid: int) -> float:
    before = read_cpu_seconds(pid)
    await anyio.sleep(3)
    return (read_cpu_seconds(pid) - before) / 3


def find_long_prompt() -> str:
    """Return a prompt whose completion has at least `STREAM_TOKENS` tokens."""
    number = 0
    while standins.count_tokens(f'prompt {number}', 0, 10**6) < STREAM_TOKENS:
        number += 1
    return f'prompt {number}'


LONG_PROMPT = find_long_prompt()


def main() -> None:
    """Measure each source tree in turn and print its costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--source', action='append', default=[])
    parser.add_argument('--rounds', type=int, default=1)
    arguments = parser.parse_args()
    sources = dict(
        pair.split('=', 1) for pair in arguments.source or ['now=src']
    )
    for _ in range(arguments.rounds):
        for name, source in sources.items():
            costs = anyio.run(measure, str(pathlib.Path(source).resolve()))
            print(name, msgspec.json.encode(costs).decode(), flush=True)


if __name__ == '__main__':
    main()
