"""Starts the edge program of the deploy file as processes, with stand-ins."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import http11
import store as store_module
import workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'callers.example'
MODEL = 'model-a'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
DEADLINE_SECONDS = 12.0
READY_SECONDS = 30.0
MEMORY_MB = 300
RESTART_SECONDS = 0.5


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began = time.time()

    def __call__(self, text):
        line = f'{time.time() - self._began:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


def make_config():
    """Return a desired state like that of a small installation."""
    common = {'host': HOST, 'priority': 0}
    return {
        'version': 3,
        'routes': [
            {
                **common,
                'name': 'plain',
                'path_prefix': '/plain/',
                'kind': 'safe',
                'service': 'plain',
                'timeout_ms': 2000,
                'slo_ms': 400,
                'max_attempts': 4,
            },
            {
                **common,
                'name': 'samples',
                'path_prefix': '/samples/',
                'kind': 'rollout',
                'service': 'engines',
                'timeout_ms': 10000,
                'slo_ms': 400,
                'max_attempts': 3,
                'due_ms': 7500,
                'max_age_s': 40,
            },
        ],
        'services': [
            {'name': 'plain', 'health_path': '/healthz'},
            {'name': 'engines', 'health_path': '/healthz'},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 33554432,
            'header_timeout_ms': 15000,
            'idle_timeout_ms': 15000,
        },
    }


def make_item(item_id, group):
    """Return an item with a reward call."""
    return {
        'id': item_id,
        'path': f'/samples/run/{item_id}',
        'headers': {
            'Swiftjunction-Model': MODEL,
            'Swiftjunction-Token-Usage': '100,200',
            'Swiftjunction-Prompt-Prefix': f'{group.encode().hex()}:100',
        },
        'body': base64.b64encode(b'prompt ' + item_id.encode()).decode(),
        'tokens': 300,
        'group': group,
        'scorer': {
            'id': f'score{item_id}',
            'host': HOST,
            'path': '/plain/score',
            'body': base64.b64encode(b'reward of ' + item_id.encode()).decode(),
        },
    }


def make_submission(step, min_version, wanted, groups):
    """Return the body of a batch submission; `groups` maps names to ids."""
    return {
        'step': step,
        'model': MODEL,
        'min_version': min_version,
        'target_groups': wanted,
        'items': [
            make_item(item_id, group)
            for group, item_ids in groups.items()
            for item_id in item_ids
        ],
    }


class Deployment:
    """Edge processes, a store, workers and the platform's operator."""

    def __init__(self, record, vms, plain, engines, config=None):
        self.record = record
        self.vms = list(vms)
        self.store = store_module.Store(record)
        self.plain = plain
        self.engines = engines
        self._config = config or make_config()
        self.fronts = {}
        # Time, name and memory of each process that the platform ended.
        self.ends = []
        self.peak_mb = {}
        self._ready = {}
        self._processes = {}
        self._settings = {}
        self._folder = tempfile.TemporaryDirectory()
        self._octet = 2 + os.getpid() % 250

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            self._stop()
            raise
        return self

    async def __aexit__(self, *_):
        self._stop()

    async def _start(self):
        # An address of its own: nobody takes the port while the store is down.
        ip = f'127.77.{self._octet}.250'
        await self.store.start(ip, find_free_range(ip, 1))
        self.store.put('config', 'main', self._config)
        for worker in [*self.plain, *self.engines]:
            await worker.start(ip)
            self.store.put('servers', worker.name, worker.entry())
        for number, name in enumerate(self.vms, 1):
            self._start_vm(name, f'127.77.{self._octet}.{number}')
        for name in self.vms:
            await self._wait_until_ready(name)

    def _start_vm(self, name, ip):
        settings = self._write_settings(name, ip)
        self._settings[name] = settings
        self.start_process(name)

    def _write_settings(self, name, ip):
        ports = [find_free_port(ip) for _ in range(4)]
        peer = find_free_range(ip, 16)
        front, readiness, directory, control = ports
        self.fronts[name] = f'{ip}:{front}'
        self._ready[name] = f'{ip}:{readiness}'
        settings = pathlib.Path(self._folder.name) / f'{name}.conf'
        settings.write_text(
            '\n'.join(
                [
                    f'node_name={name}',
                    'role=edge',
                    'machine_class=edge',
                    'serves=edge,registry',
                    f'ip={ip}',
                    'zone=zone-a',
                    'region=region-a',
                    'zones.zone-a=region-a',
                    f'bind.front={ip}:{front}',
                    f'bind.readiness={ip}:{readiness}',
                    f'bind.directory={ip}:{directory}',
                    f'bind.control={ip}:{control}',
                    f'port_range={peer},{peer + 15}',
                    'bootstrap=true',
                    'counts_as_loss=false',
                    'limits.cpu_share=0.537',
                    'limits.cpu_cores=2',
                    f'limits.memory_mb={MEMORY_MB}',
                    'limits.max_fds=4100',
                    'discovery=platform',
                    'entry=registry',
                    'heartbeat_ms=1200',
                    'bounds.contact_ms=3000',
                    'bounds.ack_ms=4000',
                    'bounds.drain_ms=2000',
                    'bounds.grace_s=8',
                    'bounds.config_apply_ms=2000',
                    'bounds.status_s=120',
                    'bounds.cancel_ms=3000',
                    'bounds.settle_ms=1000',
                    'bounds.require_fencing=true',
                    'bounds.lease_ms=3000',
                    'bounds.thaw_ms=300',
                    'bounds.ttl_max_s=5',
                    f'provider.address={self.store.address}',
                    'provider.form=objects',
                    'provider.writes_per_s=400',
                    'provider.reads_per_s=2000',
                    'provider.history_s=20',
                    'provider.value_bytes=1048576',
                    '',
                ]
            )
        )
        return settings

    def start_process(self, name):
        """Start the process of a VM, also after its end."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        log = (pathlib.Path(self._folder.name) / f'{name}.log').open('ab')
        self._processes[name] = subprocess.Popen(
            deploy['roles']['edge']['run'].split(),
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                **{
                    key: os.environ[key]
                    for key in ('PATH', 'HOME', 'LANG')
                    if key in os.environ
                },
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'SWIFTJUNCTION_NODE_FILE': str(self._settings[name]),
            },
        )
        log.close()

    async def _wait_until_ready(self, name):
        ends_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends_at:
            if self._processes[name].poll() is not None:
                raise CannotRun(f'{name} ended: {self.read_log(name)[-2000:]}')
            status, _, _ = await http11.call(
                self._ready[name], 'GET', '/ready', timeout=1
            )
            if status == 200:
                self.record(f'{name} is ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{name} is not ready: {self.read_log(name)[-2000:]}')

    def read_log(self, name):
        """Return what a process has written."""
        path = pathlib.Path(self._folder.name) / f'{name}.log'
        return path.read_text(errors='replace')

    async def enforce_memory(self):
        """Kill a process above ``MEMORY_MB``, and start it again, for ever.

        DEPLOY.md: "A process that uses more than `memory_mb` is killed", and
        "A process that exits or is killed is restarted after a short delay".
        """
        while True:
            await asyncio.sleep(0.02)
            for name, process in list(self._processes.items()):
                used_mb = read_memory_mb(process.pid)
                self.peak_mb[name] = max(self.peak_mb.get(name, 0), used_mb)
                if used_mb <= MEMORY_MB and process.poll() is None:
                    continue
                process.kill()
                process.wait()
                self.ends.append((time.time(), name, used_mb))
                self.record(f'{name} has {used_mb} MB, is killed and restarted')
                asyncio.get_running_loop().call_later(
                    RESTART_SECONDS, self.start_process, name
                )
                self._processes.pop(name)

    def kill(self, name):
        """Kill a process of this deployment."""
        self._processes[name].send_signal(signal.SIGKILL)

    def _stop(self):
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes.values():
            process.wait()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for name in self.vms:
                pathlib.Path(logs, f'{name}.log').write_text(
                    self.read_log(name)
                )
        self._folder.cleanup()

    async def call(self, vm, method, target, headers=(), body=b'', **options):
        """Send a request of a requester; return status, headers, body."""
        return await http11.call(
            self.fronts[vm],
            method,
            target,
            [('Host', HOST), *headers],
            body,
            **options,
        )

    async def submit(self, batch_id, submission, retries=1):
        """Submit a batch as a requester does; return all statuses.

        It honours Retry-After, takes another daemon for each attempt, and
        stops at its deadline, or once it has no retry left. A status of 0 is
        a broken channel, or no answer in time.
        """
        body = json.dumps(submission).encode()
        ends_at = time.monotonic() + DEADLINE_SECONDS
        statuses = []
        for attempt in range(1 + retries):
            left = ends_at - time.monotonic()
            vm = self.vms[attempt % len(self.vms)]
            self.record(f'submission {batch_id} is sent to {vm}')
            status, headers, _ = await self.call(
                vm,
                'POST',
                '/samples/new',
                [
                    ('Swiftjunction-Attempt-Id', batch_id),
                    ('Swiftjunction-Deadline-Ms', str(int(left * 1000))),
                    ('Content-Type', 'application/json'),
                ],
                body,
                timeout=left,
            )
            statuses.append(status)
            wait = float(headers.get('retry-after', '0.1'))
            self.record(
                f'submission {batch_id} is answered {status} by {vm}, '
                f'Retry-After {headers.get("retry-after")}'
            )
            left = ends_at - time.monotonic()
            if status not in (0, 429, 502, 503, 504) or wait > left / 3:
                break
            await asyncio.sleep(wait)
        return statuses

    async def read(self, vm, batch_id, after=0):
        """Return the status and the page of results."""
        status, _, body = await self.call(
            vm,
            'GET',
            f'/lots/{batch_id}?after={after}',
            [('Swiftjunction-Wait-Ms', '1000')],
            timeout=3,
        )
        return status, json.loads(body) if status == 200 else None

    async def wait_for_results(self, vm, batch_id, is_done, seconds):
        """Read until `is_done` holds for the results, or time is up."""
        ends_at = time.monotonic() + seconds
        results = []
        while time.monotonic() < ends_at:
            status, page = await self.read(vm, batch_id)
            if status == 200:
                results = page['results']
                if is_done(results):
                    break
            await asyncio.sleep(0.1)
        return results

    async def end(self, vm, batch_id):
        """End a batch; return the status."""
        status, _, _ = await self.call(vm, 'DELETE', f'/lots/{batch_id}')
        self.record(f'end of {batch_id} is answered {status}')
        return status


def read_memory_mb(pid):
    """Return the resident memory of a process in MB; 0 if it has ended."""
    try:
        lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) // 1024
    return 0


def find_free_port(ip):
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def find_free_range(ip, count):
    """Return the first of some ports in a row that are free now."""
    for first in range(21000, 60000, count):
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return first
    raise CannotRun('no free ports')


def run(case, folder):
    """Run a case and return its exit code."""
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'with the disruption: {trouble}')
    try:
        code = asyncio.run(_run_limited(case, record, trouble))
    except (CannotRun, OSError, asyncio.CancelledError) as error:
        record(f'could not run: {type(error).__name__} {error}')
        code = CANNOT_RUN
    record({HELD: 'rule held', BROKEN: 'RULE BROKEN', CANNOT_RUN: 'not run'}[code])
    return code


async def _run_limited(case, record, trouble):
    # So that a script that is stopped ends what it started.
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(110):
        return await case(record, trouble)
