import contextvars
import logging
import os

import pytest

from swiftjunction import errors
from swiftjunction import telemetry
from swiftjunction.telemetry import _bounded


def make_record(*args):
    record = logging.LogRecord('n', 20, 'f', 1, 'm %s', args, None)
    telemetry.ContextFilter().filter(record)
    return record


def test_a_line_names_the_request_and_its_team():
    context = contextvars.copy_context()
    context.run(telemetry.set_request_context, 'r1', 'tallamedida/fit')
    record = context.run(make_record, 'x')
    assert (record.request_id, record.team) == ('r1', 'tallamedida')
    assert not hasattr(make_record('x'), 'request_id')


def test_a_line_with_an_error_names_its_step_and_peer():
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


def test_lines_are_written_as_they_come(pipe):
    pipe.log('one')
    pipe.log('two')
    assert pipe.read() == ['one', 'two']


def test_a_full_pipe_does_not_hold_up_the_process(pipe):
    for _ in range(40):
        pipe.log('x' * 3000)
    assert pipe.handler.left_out > 0
    left_out = pipe.handler.left_out
    lines = pipe.read()
    assert len(lines) == 40 - left_out
    pipe.log('again')
    assert pipe.handler.left_out == 0
    assert pipe.read() == [_bounded.LEFT_OUT_MESSAGE, 'again']


def test_the_volume_a_second_is_bounded(pipe, clock):
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


def test_a_line_cut_by_a_full_pipe_is_finished_first(pipe):
    pipe.log('x' * 100_000)
    (begun,) = pipe.read()
    pipe.log('next')
    rest, following = pipe.read()
    assert begun + rest == 'x' * 100_000
    assert following == 'next'
