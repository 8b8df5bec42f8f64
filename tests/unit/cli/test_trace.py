"""The command that finds the way of a request in log files."""

import json

import hypothesis
from hypothesis import strategies

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import trace
from corianderloft._internal.logs import trace as log_trace


def line(second, message, request_id='', **fields):
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


FIRST = [
    line(1, 'started', host='edge-1'),
    line(20, 'store lost', cause='refused'),
    line(24, 'backend server changed', key='servers/e-1', entry='gone'),
    line(24, 'backend server changed', key='servers/e-2', entry='gone'),
    line(25, 'request sent', 'r-1', engine='e-1', send=1),
    line(25, 'request sent', 'r-2', engine='e-1', send=1),
    line(26, 'backend server ejected', engine='e-1', end='broken'),
    line(26, 'request ended', 'r-1', engine='e-1', result='refused'),
    line(27, 'store regained'),
]
SECOND = [
    line(23, 'store lost', cause='refused'),
    line(24, 'request refused', 'r-1', reason='stale_keys'),
]


def found(tmp_path, request_id, *logs):
    files = []
    for number, lines in enumerate(logs):
        file = tmp_path / f'host-{number}.log'
        file.write_text('\n'.join(lines) + '\n')
        files.append(str(file))
    return trace.trace(request_id, *files)


def test_a_way_over_two_hosts_is_shown_in_order(tmp_path):
    outcome = found(tmp_path, 'r-1', FIRST, SECOND)
    assert isinstance(outcome, output.Result)
    seen = [row['message'] for row in outcome.payload]
    assert seen == [
        'store lost',
        'store lost',
        'backend server changed',
        'request refused',
        'request sent',
        'backend server ejected',
        'request ended',
    ]
    assert not any('e-2' in row['fields'] for row in outcome.payload)


def test_lines_that_are_no_log_lines_are_counted(tmp_path):
    outcome = found(tmp_path, 'r-1', ['Traceback', '[1]', *FIRST])
    assert outcome.message.startswith('2 lines')


def test_an_unknown_request_says_where_to_look_next(tmp_path):
    outcome = found(tmp_path, 'r-9', FIRST)
    assert outcome.exit_code is exit_codes.ExitCode.NOT_FOUND
    assert 'other hosts' in outcome.message


def test_a_missing_file_is_an_error_that_names_it():
    outcome = trace.trace('r-1', 'absent.log')
    assert outcome.exit_code is exit_codes.ExitCode.INVALID_INPUT
    assert 'absent.log' in outcome.message


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_a_line_or_a_counted_failure(raw):
    parsed = log_trace.parse('log', 1, raw)
    assert isinstance(parsed, log_trace.Line | log_trace.Unreadable)
