"""Tests of the command that collects the log lines of a request."""

import json

import hypothesis
from hypothesis import strategies

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import trace
from corianderloft._internal.logs import trace as log_trace


def log_line(second, message, request_id='', **fields):
    return json.dumps(
        {
            'time': f'2026-12-04 10:00:{second:02},250',
            'level': 'INFO',
            'logger': 'corianderloft',
            'request_id': request_id or None,
            'message': message,
            **fields,
        }
    )


FIRST_HOST_LOG = [
    log_line(1, 'started', host='edge-1'),
    log_line(20, 'store lost', cause='refused'),
    log_line(24, 'backend server changed', key='servers/e-1', entry='gone'),
    log_line(24, 'backend server changed', key='servers/e-2', entry='gone'),
    log_line(25, 'request sent', 'r-1', engine='e-1', send=1),
    log_line(25, 'request sent', 'r-2', engine='e-1', send=1),
    log_line(26, 'backend server ejected', engine='e-1', end='broken'),
    log_line(26, 'request ended', 'r-1', engine='e-1', result='refused'),
    log_line(27, 'store regained'),
]
SECOND_HOST_LOG = [
    log_line(23, 'store lost', cause='refused'),
    log_line(24, 'request refused', 'r-1', reason='stale_keys'),
]


def run_trace(tmp_path, request_id, *logs):
    files = []
    for number, lines in enumerate(logs):
        file = tmp_path / f'host-{number}.log'
        file.write_text('\n'.join(lines) + '\n')
        files.append(str(file))
    return trace.trace(request_id, *files)


def test_lines_of_two_hosts_are_merged_in_order(tmp_path):
    outcome = run_trace(tmp_path, 'r-1', FIRST_HOST_LOG, SECOND_HOST_LOG)
    assert isinstance(outcome, output.Result)
    messages = [row['message'] for row in outcome.payload]
    assert messages == [
        'store lost',
        'store lost',
        'backend server changed',
        'request refused',
        'request sent',
        'backend server ejected',
        'request ended',
    ]
    assert not any('e-2' in row['fields'] for row in outcome.payload)


def test_unparsable_lines_are_counted(tmp_path):
    outcome = run_trace(tmp_path, 'r-1', ['Traceback', '[1]', *FIRST_HOST_LOG])
    assert outcome.message.startswith('2 lines')


def test_unknown_request_suggests_other_hosts(tmp_path):
    outcome = run_trace(tmp_path, 'r-9', FIRST_HOST_LOG)
    assert outcome.exit_code is exit_codes.ExitCode.NOT_FOUND
    assert 'other hosts' in outcome.message


def test_missing_file_is_named_in_the_error():
    outcome = trace.trace('r-1', 'absent.log')
    assert outcome.exit_code is exit_codes.ExitCode.INVALID_INPUT
    assert 'absent.log' in outcome.message


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_parse_to_a_line_or_unreadable(raw):
    parsed = log_trace.parse('log', 1, raw)
    assert isinstance(parsed, log_trace.Line | log_trace.Unreadable)
