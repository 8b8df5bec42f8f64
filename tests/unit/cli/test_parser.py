"""Tests of the command line's behaviour towards its users."""

import json
import pathlib

import pytest

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import parser

CASES = [
    ([], exit_codes.ExitCode.USAGE),
    (['stats'], exit_codes.ExitCode.USAGE),
    (['serve'], exit_codes.ExitCode.USAGE),
    (['serve', 'absent.yaml'], exit_codes.ExitCode.INVALID_INPUT),
    (['serve', 'absent.yaml', '--typo=1'], exit_codes.ExitCode.USAGE),
    (['address', 'nonsense'], exit_codes.ExitCode.USAGE),
    (['address', '127.0.0.1:1'], exit_codes.ExitCode.UNAVAILABLE),
    (
        ['address', '127.0.0.1:1', '--format=xml'],
        exit_codes.ExitCode.USAGE,
    ),
    (['apply', 'absent'], exit_codes.ExitCode.INVALID_INPUT),
    (['plan', 'absent'], exit_codes.ExitCode.INVALID_INPUT),
    (['standin'], exit_codes.ExitCode.USAGE),
]


@pytest.mark.parametrize(('argv', 'code'), CASES)
def test_a_mistake_has_its_exit_code_and_no_traceback(
    argv: list[str],
    code: exit_codes.ExitCode,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert parser.main(argv) == code
    printed = capsys.readouterr()
    assert 'Traceback' not in printed.out + printed.err
    assert printed.err


def test_an_unknown_option_runs_nothing(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    argv = ['address', '127.0.0.1:1', '--failure-domian=fd-1']
    assert parser.main(argv) == exit_codes.ExitCode.USAGE
    assert 'does not answer' not in capsys.readouterr().err


def test_json_failures_are_for_machines(
    capsys: pytest.CaptureFixture[str],
) -> None:
    parser.main(['address', '127.0.0.1:1', '--format=json'])
    error = json.loads(capsys.readouterr().err)['error']
    assert error['code'] == 'unavailable'
