import contextvars
import fcntl
import json
import logging
import os
import signal
import subprocess
import sys
import threading
import time

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import telemetry
from swiftjunction.telemetry import _bounded


def make_record(*args):
    record = logging.LogRecord('n', 20, 'f', 1, 'm %s', args, None)
    telemetry.ContextFilter().filter(record)
    return record


def test_a_record_has_the_request_and_its_team():
    context = contextvars.copy_context()
    context.run(telemetry.set_request_context, 'r1', 'tallamedida/fit')
    record = context.run(make_record, 'x')
    assert (record.request_id, record.team) == ('r1', 'tallamedida')
    assert not hasattr(make_record('x'), 'request_id')


def test_a_record_with_an_error_has_its_step_and_peer():
    record = make_record(errors.NotRun('no', step='route', peer='engine-1'))
    assert (record.step, record.peer) == ('route', 'engine-1')


class Pipe:
    def __init__(self, clock):
        self.reader, self.writer = os.pipe()
        self.handler = telemetry.RateLimitedHandler(self.writer, clock)

    def log(self, message):
        self.handler.emit(
            logging.LogRecord('n', 20, 'f', 1, message, (), None)
        )

    def read(self):
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []


@pytest.fixture
def pipe(clock):
    pipe = Pipe(clock)
    yield pipe
    os.close(pipe.reader)
    os.close(pipe.writer)


def test_lines_are_written_in_order(pipe):
    pipe.log('one')
    pipe.log('two')
    assert pipe.read() == ['one', 'two']


def test_lines_are_dropped_and_counted_when_the_pipe_is_full(pipe):
    for _ in range(40):
        pipe.log('x' * 3000)
    assert pipe.handler.dropped_count > 0
    dropped_count = pipe.handler.dropped_count
    lines = pipe.read()
    assert len(lines) == 40 - dropped_count
    pipe.log('again')
    assert pipe.handler.dropped_count == 0
    assert pipe.read() == [_bounded.DROPPED_LINES_MESSAGE, 'again']


def test_the_bytes_per_second_are_limited(pipe, clock):
    written = 0
    for _ in range(200):
        pipe.log('x' * 3000)
        written += sum(len(line) for line in pipe.read())
    assert written <= _bounded.BURST_BYTES
    clock.now += 1
    for _ in range(200):
        pipe.log('x' * 3000)
        written += sum(len(line) for line in pipe.read())
    assert written <= _bounded.BURST_BYTES + _bounded.MAX_BYTES_PER_SECOND


def test_a_partially_written_line_is_completed_before_the_next(pipe):
    pipe.log('x' * 100_000)
    (beginning,) = pipe.read()
    pipe.log('next')
    remainder, following = pipe.read()
    assert beginning + remainder == 'x' * 100_000
    assert following == 'next'


def test_lines_without_a_reader_are_counted_and_report_nothing(pipe, capfd):
    os.close(pipe.reader)
    for _ in range(5):
        pipe.log('one')
    assert pipe.handler.dropped_count == 5
    pipe.reader = os.open(os.devnull, os.O_RDONLY)
    assert capfd.readouterr() == ('', '')


def test_lines_to_a_closed_descriptor_are_counted_and_report_nothing(
    pipe, capfd
):
    closed = os.dup(pipe.writer)
    os.close(closed)
    handler = telemetry.RateLimitedHandler(closed)
    handler.emit(make_record('x'))
    assert handler.dropped_count == 1
    assert capfd.readouterr() == ('', '')


def test_a_line_that_cannot_be_formatted_is_counted(pipe, capfd):
    pipe.handler.emit(logging.LogRecord('n', 20, 'f', 1, '%d', ('x',), None))
    assert pipe.handler.dropped_count == 1
    assert capfd.readouterr() == ('', '')


def test_lines_are_written_to_a_high_descriptor(pipe):
    high = fcntl.fcntl(pipe.writer, fcntl.F_DUPFD, 1500)
    handler = telemetry.RateLimitedHandler(high)
    handler.emit(logging.LogRecord('n', 20, 'f', 1, 'high', (), None))
    os.close(high)
    assert pipe.read() == ['high']


def test_a_full_pipe_that_does_not_block_drops_lines(pipe, capfd):
    os.set_blocking(pipe.writer, False)
    for _ in range(40):
        pipe.log('x' * 3000)
    assert pipe.handler.dropped_count > 0
    assert capfd.readouterr() == ('', '')


async def write_dump(dump, descriptor):
    """Write a dump as on SIGUSR1; return the longest pause of the loop."""
    pauses = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dump.write_on_signal, descriptor)
        await anyio.sleep(0.05)
        os.kill(os.getpid(), signal.SIGUSR1)
        for _ in range(20):
            began_at = time.monotonic()
            await anyio.sleep(0.01)
            pauses.append(time.monotonic() - began_at)
        tasks.cancel_scope.cancel()
    return max(pauses)


@pytest.fixture
def large_dump():
    dump = telemetry.StateDump()
    dump.add('large', lambda: ['x' * 1000] * 300)
    return dump


@pytest.mark.anyio
async def test_a_dump_to_a_full_pipe_does_not_stop_the_event_loop(
    pipe, large_dump
):
    watchdog = threading.Timer(3, pipe.read)
    watchdog.start()
    pause_seconds = await write_dump(large_dump, pipe.writer)
    watchdog.cancel()
    assert pause_seconds < 1


@pytest.mark.anyio
async def test_a_dump_without_a_reader_does_not_end_its_task(
    pipe, large_dump, caplog
):
    os.close(pipe.reader)
    await write_dump(large_dump, pipe.writer)
    pipe.reader = os.open(os.devnull, os.O_RDONLY)
    assert 'the state dump was not written' in caplog.text


@pytest.mark.anyio
async def test_a_dump_is_written_whole(tmp_path, large_dump):
    with (tmp_path / 'dump').open('wb') as file:
        await write_dump(large_dump, file.fileno())
    written = json.loads((tmp_path / 'dump').read_bytes())
    assert written == {'large': ['x' * 1000] * 300}


WARN_AND_FAIL = """
import threading
import warnings
from swiftjunction import telemetry


class Failing:
    def __del__(self):
        raise ValueError('in a finalizer')


telemetry.configure_logging('test', 'vm-1')
warnings.warn('a warning')
Failing()
thread = threading.Thread(target=lambda: 1 / 0)
thread.start()
thread.join()
"""


def test_what_python_reports_itself_is_logged():
    result = subprocess.run(
        [sys.executable, '-c', WARN_AND_FAIL], capture_output=True, text=True
    )
    assert result.stderr == ''
    for text in ('a warning', 'in a finalizer', 'ZeroDivisionError'):
        assert text in result.stdout


SOCKET_WITHOUT_STANDARD_OUTPUT = """
import logging
import os
import socket
import sys
os.closerange(0, 2)
from swiftjunction import telemetry
telemetry.configure_logging('test', 'vm-1')
reader, writer = socket.socketpair()
logging.warning('a line')
sys.exit(min(reader.fileno(), writer.fileno()) <= 2)
"""


def test_no_socket_takes_the_place_of_a_closed_standard_output():
    result = subprocess.run(
        [sys.executable, '-c', SOCKET_WITHOUT_STANDARD_OUTPUT],
        stderr=subprocess.PIPE,
        text=True,
    )
    assert (result.returncode, result.stderr) == (0, '')


def test_a_section_that_fails_does_not_hide_the_others():
    def fail():
        raise RuntimeError('odd')

    dump = telemetry.StateDump()
    dump.add('odd', fail)
    dump.add('unencodable', lambda: {b'\xff': 1, ('a',): object()})
    dump.add('good', lambda: {'value': 1})
    state = json.loads(dump.render())
    assert state['good'] == {'value': 1}
    assert state['odd'] == {'error': "RuntimeError('odd')"}


@pytest.mark.anyio
async def test_a_second_dump_is_written_after_a_failed_one(tmp_path):
    def fail():
        raise RuntimeError('odd')

    dump = telemetry.StateDump()
    dump.add('odd', fail)
    with (tmp_path / 'dump').open('wb') as file:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dump.write_on_request, file.fileno())
            for _ in range(2):
                dump.request()
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
    assert (tmp_path / 'dump').read_text().count('RuntimeError') == 2
