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
