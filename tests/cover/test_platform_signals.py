import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import anyio
import pytest

from swiftjunction.platform import _signals
from swiftjunction import telemetry
from tests.cover import test_platform_processes
from tests import platform_deployment

IMPORT_DELAY_SECONDS = 0.05


@pytest.mark.anyio
async def test_a_vm_that_accepts_connections_ends_in_order_at_sigterm(
    tmp_path, monkeypatch
):
    # A process whose listeners are open counts as running, so a signal must
    # not terminate it even if the task that handles signals has not begun.
    class Opened(Exception):
        pass

    def check_and_stop(settings, policy):
        assert signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL
        raise Opened

    monkeypatch.setattr(
        platform_deployment._program._listening,
        'open_listener',
        check_and_stop,
    )
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    deployment.store_address = '127.0.0.1:1'
    path = deployment.write_settings('vm-1')
    program = platform_deployment._program.EdgeProgram(path, metrics_port=0)
    with pytest.raises(Opened):
        await program.run()


@pytest.mark.anyio
async def test_a_signal_before_its_handler_runs_is_not_lost():
    stopped = anyio.Event()
    reloads = []
    dumps = []
    with _signals.receive() as signals:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGUSR1)
        os.kill(os.getpid(), signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _signals.handle,
                signals,
                lambda: reloads.append(1),
                stopped.set,
                lambda: dumps.append(1),
            )
            with anyio.fail_after(5):
                await stopped.wait()
            tasks.cancel_scope.cancel()
    assert (reloads, dumps) == ([1], [1])


@pytest.mark.anyio
async def test_a_reload_after_the_end_is_ignored_as_before_it():
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with _signals.receive():
        pass
    after = signal.signal(signal.SIGHUP, before)
    assert after is signal.SIG_IGN


@pytest.mark.anyio
async def test_a_dump_signal_after_the_tasks_have_ended_ends_nothing():
    before = signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    dump = telemetry.StateDump()
    try:
        with _signals.receive() as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    _signals.handle,
                    signals,
                    lambda: None,
                    lambda: None,
                    dump.request,
                )
                tasks.start_soon(dump.write_on_request)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            during = signal.getsignal(signal.SIGUSR1)
        after = signal.getsignal(signal.SIGUSR1)
    finally:
        signal.signal(signal.SIGUSR1, before)
    assert during not in (signal.SIG_DFL, signal.SIG_IGN)
    assert after is signal.SIG_IGN


LIST_IMPORTS_BEFORE_SIGNALS = """
import _signal
import sys
at_start = set(sys.modules)


def print_imports(number, action):
    print(number, *sorted(set(sys.modules) - at_start))
    if number == last_number:
        raise SystemExit


last_number = int(sys.argv[2])
_signal.signal = print_imports
with open(sys.argv[1]) as script:
    exec(compile(script.read(), sys.argv[1], 'exec'))
"""
SCRIPT_POSITION = -1


@pytest.mark.parametrize(
    ('role', 'last_number'),
    [('edge', signal.SIGINT), ('storage', signal.SIGHUP)],
)
def test_a_role_imports_nothing_before_it_ignores_reloads(role, last_number):
    # The modules of Python's own start are there in any case.
    script = test_platform_processes.read_command(role)[SCRIPT_POSITION]
    result = subprocess.run(
        [
            sys.executable,
            '-S',
            '-c',
            LIST_IMPORTS_BEFORE_SIGNALS,
            script,
            str(int(last_number)),
        ],
        cwd=test_platform_processes.ROOT,
        env={},
        capture_output=True,
        text=True,
        timeout=test_platform_processes.STOP_TIMEOUT_SECONDS,
    )
    assert result.stderr == ''
    assert str(int(signal.SIGHUP)) in result.stdout.split('\n')


def wait_for_ignored_reloads(process):
    """Wait until a process ignores SIGHUP; return whether it did."""
    status = pathlib.Path(f'/proc/{process.pid}/status')
    while process.poll() is None:
        (line,) = re.findall(r'SigIgn:\s*(\w+)', status.read_text())
        if int(line, 16) >> (signal.SIGHUP - 1) & 1:
            return True
    return False


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_a_stop_during_startup_ends_the_process_without_a_traceback(
    tmp_path, number
):
    path = tmp_path / 'vm.conf'
    path.write_text('')
    process = subprocess.Popen(
        test_platform_processes.read_command('edge'),
        cwd=test_platform_processes.ROOT,
        env=test_platform_processes.make_environment(path),
        stderr=subprocess.PIPE,
    )
    assert wait_for_ignored_reloads(process)
    time.sleep(IMPORT_DELAY_SECONDS)
    process.send_signal(number)
    _, error = process.communicate(
        timeout=test_platform_processes.STOP_TIMEOUT_SECONDS
    )
    assert (process.returncode, error) == (-number, b'')
