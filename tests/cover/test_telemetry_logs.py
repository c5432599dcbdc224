import contextvars
import logging

from swiftjunction import errors
from swiftjunction import telemetry


def make_record(*args):
    record = logging.LogRecord('n', 20, 'f', 1, 'm %s', args, None)
    telemetry.PlaceFilter().filter(record)
    return record


def test_a_line_names_the_request_and_its_team():
    context = contextvars.copy_context()
    context.run(telemetry.note_request, 'r1', 'tallamedida/fit')
    record = context.run(make_record, 'x')
    assert (record.request_id, record.team) == ('r1', 'tallamedida')
    assert not hasattr(make_record('x'), 'request_id')


def test_a_line_with_an_error_names_its_step_and_peer():
    record = make_record(errors.NotRun('no', step='route', peer='engine-1'))
    assert (record.step, record.peer) == ('route', 'engine-1')
