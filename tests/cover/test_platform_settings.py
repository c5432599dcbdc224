"""Settings files with odd content, or that change as they are read."""

import signal
import subprocess
import threading
import time

import anyio
import hypothesis
import hypothesis.strategies as st
import pytest

from swiftjunction import errors
from swiftjunction.platform import _reloading
from swiftjunction.platform import _settings
from swiftjunction.platform import _status
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web
from tests.cover import test_platform_processes

LINES = [
    'node_name=vm-1',
    'ip=127.0.0.1',
    'zone=z',
    'region=r',
    'port_range=7000,7010',
    'provider.address=127.0.0.9:80',
]
VALID = '\n'.join(LINES).encode() + b'\n'
LIMITS_KEYS = ('limits.cpu_share', 'limits.cpu_cores')
DUTY_KEYS = ('cloud_api.duty_per_s', 'bounds.window_s', 'bounds.usage_late_s')
BOUNDS_KEYS = (
    'bounds.lease_ms',
    'bounds.grace_s',
    'bounds.ttl_max_s',
    'bounds.status_s',
    'bounds.cancel_ms',
    'bounds.config_apply_ms',
    'bounds.revoke_ms',
)
ODD_NUMBERS = [
    'nan',
    'inf',
    '-inf',
    '-1',
    '1e999',
    '1' + '0' * 5000,
    '1_0',
    '\u0663',
    'x\0',
    '0x10',
]
ODD_ADDRESSES = [
    '127.0.0.1',
    '127.0.0.1:',
    ':80',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:-1',
    '127.0.0.1:\u0668\u0660',
    '127.0.0.1:' + '9' * 5000,
    '127.0.0.1.5:80',
    'host.example:80',
    '127.0.0.1 :80',
    '127.0.0.1: 80',
    '::1:5000',
    '[::1%lo]:5000',
]


def write(tmp_path, content):
    path = tmp_path / 'vm.conf'
    path.write_bytes(content)
    return path


def read(tmp_path, *lines):
    content = VALID + '\n'.join(lines).encode()
    return _settings.read_settings(write(tmp_path, content))


def find_problems(tmp_path, *lines):
    with pytest.raises(errors.SettingsError) as caught:
        read(tmp_path, *lines)
    return caught.value.problems


@pytest.mark.parametrize('value', ODD_NUMBERS)
@pytest.mark.parametrize('key', BOUNDS_KEYS)
def test_an_odd_bound_is_reported(tmp_path, key, value):
    (problem,) = find_problems(tmp_path, f'{key}={value}')
    assert f'{key} = {value!r} must be a number from ' in problem


@pytest.mark.parametrize('value', ODD_NUMBERS)
@pytest.mark.parametrize('key', LIMITS_KEYS + DUTY_KEYS)
def test_an_odd_number_of_a_duty_or_limit_is_replaced(
    tmp_path, caplog, key, value
):
    settings = read(tmp_path, f'{key}={value}')
    assert f'{key} = {value!r} must be a number from' in caplog.text
    assert settings.processor_cores == 1.0
    if key == 'cloud_api.duty_per_s':
        assert settings.duties_per_second == 1.0
    if key == 'bounds.window_s':
        assert settings.usage_window_seconds == 0.0


@pytest.mark.parametrize('value', ODD_ADDRESSES)
@pytest.mark.parametrize(
    'key',
    ['provider.address', 'bind.front', 'bind.readiness', 'bind.directory'],
)
def test_an_odd_address_is_reported(tmp_path, key, value):
    (problem,) = find_problems(tmp_path, f'{key}={value}')
    assert f'{key} = {value!r} must be an IP address and a port' in problem


@pytest.mark.parametrize('value', ODD_ADDRESSES)
def test_an_odd_address_of_the_duty_api_leaves_the_duties_out(
    tmp_path, caplog, value
):
    settings = read(tmp_path, f'cloud_api.address={value}')
    assert settings.duty_api == ''
    assert 'cloud_api.address' in caplog.text


@pytest.mark.parametrize(
    'value', ['0,5', '65536,65537', '\u0667\u0668,5', '-1,5', '9' * 5000]
)
def test_an_odd_first_port_is_reported(tmp_path, value):
    (problem,) = find_problems(tmp_path, f'port_range={value}')
    assert f'port_range = {value!r} must be two ports from 1 to' in problem


@pytest.mark.parametrize('value', ['7000,70000', '7000,\u0667', '7000,5'])
def test_an_odd_last_port_is_replaced_by_the_first(tmp_path, value):
    settings = read(tmp_path, f'port_range={value}')
    assert (settings.peer_port, settings.last_port) == (7000, 7000)


@pytest.mark.parametrize(
    'value', ['localhost', '10.0.0', '10.0.0.256', '1\u0660.0.0.1', 'x\0']
)
def test_an_odd_ip_is_reported(tmp_path, value):
    problems = find_problems(tmp_path, f'ip={value}')
    assert any(f'ip = {value!r} must' in problem for problem in problems)


@pytest.mark.parametrize(
    ('value', 'normal'),
    [('127.0.0.1:08080', '127.0.0.1:8080'), ('[0::1]:5000', '[::1]:5000')],
)
@pytest.mark.parametrize(
    ('key', 'name'),
    [('bind.readiness', 'readiness'), ('provider.address', 'store')],
)
def test_an_address_is_read_in_its_normal_form(
    tmp_path, key, name, value, normal
):
    assert getattr(read(tmp_path, f'{key}={value}'), name) == normal


@pytest.mark.parametrize('value', ['::1', '0::1', '127.0.0.1'])
def test_peers_accept_the_address_of_any_ip(tmp_path, value):
    member = _status.build_member(read(tmp_path, f'ip={value}'))
    assert web.is_address(member.address)


@pytest.mark.parametrize('key', ['lease_ms', 'cancel_ms', 'revoke_ms'])
@pytest.mark.parametrize('value', ['0', '0.5', '-0'])
def test_a_bound_that_nothing_can_keep_is_reported(tmp_path, key, value):
    (problem,) = find_problems(tmp_path, f'bounds.{key}={value}')
    assert 'must be a number from 1 to ' in problem


@pytest.mark.parametrize('key', ['node_name', 'zone', 'region'])
@pytest.mark.parametrize('value', [b'a\0b', b'a\xff', b'a\x1bb'])
def test_a_name_of_odd_bytes_is_reported(tmp_path, key, value):
    content = VALID + key.encode() + b'=' + value + b'\n'
    with pytest.raises(errors.SettingsError) as caught:
        _settings.read_settings(write(tmp_path, content))
    assert f'{key} = ' in str(caught.value)


@pytest.mark.parametrize('key', ['require_fencing', 'strict_revoke'])
def test_an_odd_flag_is_reported(tmp_path, key):
    (problem,) = find_problems(tmp_path, f'bounds.{key}=maybe')
    assert f"bounds.{key} = 'maybe' must be true or false" in problem


@pytest.mark.parametrize(
    'content',
    [
        b'\xef\xbb\xbf' + VALID,
        VALID.replace(b'\n', b'\r\n'),
        VALID + b'unknown=\xff\0\n\xfe\n=\n',
    ],
    ids=['byte order mark', 'CRLF', 'odd bytes elsewhere'],
)
def test_content_around_the_values_is_read(tmp_path, content):
    settings = _settings.read_settings(write(tmp_path, content))
    assert settings.name == 'vm-1'
    assert settings.store == '127.0.0.9:80'


@hypothesis.given(st.binary(max_size=300), st.integers(0, len(VALID)))
def test_any_content_is_read_or_reported(tmp_path_factory, odd, position):
    content = VALID[:position] + odd + VALID[position:]
    path = write(tmp_path_factory.mktemp('s'), content)
    try:
        _settings.read_settings(path)
    except errors.SettingsError as error:
        assert all(line.startswith(str(path)) for line in error.problems)


@pytest.mark.parametrize('first', [None, b'', VALID[:60]])
def test_a_file_that_is_written_during_the_start_is_waited_for(
    tmp_path, first
):
    path = tmp_path / 'vm.conf'
    if first is not None:
        path.write_bytes(first)
    timer = threading.Timer(0.2, path.write_bytes, [VALID])
    timer.start()
    assert _settings.wait_for_settings(path).name == 'vm-1'
    timer.join()


def test_the_wait_for_a_valid_file_is_bounded(tmp_path):
    began_at = time.monotonic()
    with pytest.raises(errors.SettingsError):
        _settings.wait_for_settings(tmp_path / 'none')
    waited_seconds = time.monotonic() - began_at
    assert waited_seconds < _settings.MAX_WAIT_SECONDS + 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    'odd', [None, b'', VALID[:60], b'\xff\xfe\0', b'\0' * 100]
)
async def test_the_old_settings_stay_until_the_file_is_valid(
    tmp_path, monkeypatch, odd
):
    monkeypatch.setattr(_reloading, 'CHECK_INTERVAL_SECONDS', 0.01)
    path = write(tmp_path, VALID)
    applied = []
    reloader = _reloading.SettingsReloader(
        path,
        _settings.read_settings(path),
        lambda settings: applied.append(settings.store),
    )
    if odd is None:
        path.unlink()
    else:
        path.write_bytes(odd)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reloader.run)
        await anyio.sleep(0.05)
        reloader.request()
        await anyio.sleep(0.05)
        assert applied == []
        path.write_bytes(VALID.replace(b'.9:80', b'.8:80'))
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert applied == ['127.0.0.8:80']


@pytest.mark.anyio
async def test_a_change_between_the_start_and_the_first_check_is_applied(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(_reloading, 'CHECK_INTERVAL_SECONDS', 0.01)
    path = write(tmp_path, VALID)
    applied = []
    reloader = _reloading.SettingsReloader(
        path,
        _settings.read_settings(path),
        lambda settings: applied.append(settings.store),
    )
    path.write_bytes(VALID.replace(b'.9:80', b'.8:80'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reloader.run)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert applied == ['127.0.0.8:80']


class FailingApplication:
    """Applies settings, but fails the first time."""

    def __init__(self):
        self.applied = []
        self.failures = 0

    def __call__(self, settings):
        if not self.failures:
            self.failures += 1
            raise RuntimeError('odd')
        self.applied.append(settings.store)


@pytest.mark.anyio
@pytest.mark.parametrize('is_requested', [False, True])
async def test_settings_are_applied_after_an_unexpected_error(
    tmp_path, monkeypatch, is_requested
):
    monkeypatch.setattr(_reloading, 'CHECK_INTERVAL_SECONDS', 0.01)
    path = write(tmp_path, VALID)
    application = FailingApplication()
    reloader = _reloading.SettingsReloader(
        path, _settings.read_settings(path), application
    )
    path.write_bytes(VALID.replace(b'.9:80', b'.8:80'))
    supervisor = supervision.Supervisor(telemetry.Metrics())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(supervisor.run, 'settings', reloader.run)
        if is_requested:
            reloader.request()
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert application.failures == 1
    assert application.applied == ['127.0.0.8:80']


@pytest.mark.anyio
async def test_a_requested_reload_applies_the_same_settings_again(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(_reloading, 'CHECK_INTERVAL_SECONDS', 10)
    path = write(tmp_path, VALID)
    applied = []
    reloader = _reloading.SettingsReloader(
        path,
        _settings.read_settings(path),
        lambda settings: applied.append(settings.store),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reloader.run)
        await anyio.sleep(0.01)
        reloader.request()
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert applied == ['127.0.0.9:80']


@pytest.mark.parametrize(
    'content', [b'\xff\xfe', VALID + b'ip=x\0\n', VALID + b'ip=\xff\n']
)
def test_a_process_reports_odd_bytes_without_a_traceback(tmp_path, content):
    result = subprocess.run(
        test_platform_processes.read_command('edge'),
        cwd=test_platform_processes.ROOT,
        env=test_platform_processes.make_environment(write(tmp_path, content)),
        capture_output=True,
        timeout=test_platform_processes.STOP_TIMEOUT_SECONDS,
    )
    assert result.returncode == 2
    assert b'Traceback' not in result.stdout + result.stderr
    assert b'ip ' in result.stderr


@pytest.mark.anyio
async def test_a_process_whose_file_is_spoiled_serves(tmp_path):
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    path = tmp_path / 'vm-1.conf'
    try:
        async with deployment.run():
            valid = path.read_bytes()
            for content in (b'', b'\xff\0', valid[:50]):
                path.write_bytes(content)
                deployment.processes['vm-1'].send_signal(signal.SIGHUP)
                await anyio.sleep(_reloading.CHECK_INTERVAL_SECONDS + 0.2)
            path.unlink()
            deployment.processes['vm-1'].send_signal(signal.SIGHUP)
            await anyio.sleep(_reloading.CHECK_INTERVAL_SECONDS + 0.2)
            response = await deployment.send_request(
                'vm-1',
                'POST',
                '/plain/a',
                headers={'swiftjunction-attempt-id': 'r1'},
            )
            code = await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    assert (response.status_code, code) == (200, 0)
