import json

import pytest

from swiftjunction import commands
from swiftjunction import telemetry


def make_line(time, message, **fields):
    return json.dumps({'time': time, 'message': message, 'vm': 'v', **fields})


LINES = [
    make_line('10:02', 'answered', request_id='r1', status=503),
    make_line('10:01', 'attempt failed', request_id='r1', server='s1'),
    make_line('10:01', 'attempt failed', request_id='r2', server='s1'),
    make_line('10:03', 'sample given up', request_id='r3', batch='b1'),
    'not JSON',
    '{"message": "cut of',
]


def test_the_lines_of_a_request_are_selected_and_sorted_by_time():
    selected = telemetry.select_lines(telemetry.parse_lines(LINES), 'r1')
    assert [line['message'] for line in selected] == [
        'attempt failed',
        'answered',
    ]


def test_a_prefix_before_the_json_is_ignored():
    (line,) = telemetry.parse_lines(['  1.2 vm-1 ' + LINES[0]])
    assert line['request_id'] == 'r1'


def test_the_lines_of_a_batch_include_those_of_its_samples():
    (line,) = telemetry.select_lines(telemetry.parse_lines(LINES), 'b1')
    assert telemetry.format_line(line) == '10:03 v sample given up batch=b1'


def test_the_lines_of_a_server_include_its_announcement_to_leave():
    announced = make_line(
        '10:04', 'server announced that it is leaving', server='s1', born=7
    )
    selected = telemetry.select_lines(
        telemetry.parse_lines([announced, *LINES]), 's1'
    )
    assert [line['time'] for line in selected] == ['10:01', '10:01', '10:04']


def test_the_lines_of_a_stream_include_the_attempts_that_resumed_it():
    resumed = make_line(
        '10:05', 'stream is resumed', request_id='r9', resumes='r1'
    )
    selected = telemetry.select_lines(
        telemetry.parse_lines([resumed, *LINES]), 'r1'
    )
    assert selected[-1]['message'] == 'stream is resumed'


@pytest.mark.parametrize(('wanted', 'code'), [('r1', 0), ('nothing', 1)])
def test_the_explain_command_reads_files(
    tmp_path, monkeypatch, capsys, wanted, code
):
    path = tmp_path / 'log'
    path.write_text('\n'.join(LINES))
    arguments = ['swiftjunction', 'explain', wanted, str(path)]
    monkeypatch.setattr('sys.argv', arguments)
    assert commands.run_operator() == code
    if not code:
        assert 'attempt failed server=s1' in capsys.readouterr().out


def test_the_error_names_a_missing_file(tmp_path, monkeypatch, capsys):
    path = tmp_path / 'missing'
    monkeypatch.setattr(
        'sys.argv', ['swiftjunction', 'explain', 'r', str(path)]
    )
    assert commands.run_operator() == 2
    assert str(path) in capsys.readouterr().err
