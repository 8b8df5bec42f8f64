"""Tests of the exit codes and the output of the command line."""

import json
import pathlib
import socket
import typing

import pytest
import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import parser
from corianderloft._internal import commands

ROOT = pathlib.Path(__file__).parents[3]
UNREACHABLE_KV = '--kv=127.0.0.1:1'

CASES = [
    ([], exit_codes.ExitCode.USAGE),
    (['stats'], exit_codes.ExitCode.USAGE),
    (['serve'], exit_codes.ExitCode.USAGE),
    (['serve', 'absent.yaml'], exit_codes.ExitCode.INVALID_INPUT),
    (['serve', 'absent.yaml', '--typo=1'], exit_codes.ExitCode.USAGE),
    (['gateway'], exit_codes.ExitCode.USAGE),
    (['gateway', 'absent.yaml'], exit_codes.ExitCode.INVALID_INPUT),
    (['trace'], exit_codes.ExitCode.USAGE),
    (['trace', 'r-1'], exit_codes.ExitCode.USAGE),
    (['trace', 'r-1', 'absent'], exit_codes.ExitCode.INVALID_INPUT),
    (['address', 'nonsense'], exit_codes.ExitCode.USAGE),
    (['address', '127.0.0.1:1'], exit_codes.ExitCode.UNAVAILABLE),
    (
        ['address', '127.0.0.1:1', '--format=xml'],
        exit_codes.ExitCode.USAGE,
    ),
    (['apply', 'absent'], exit_codes.ExitCode.INVALID_INPUT),
    (['plan', 'absent'], exit_codes.ExitCode.INVALID_INPUT),
    (['standin'], exit_codes.ExitCode.USAGE),
    (['standin', 'engine', '--slosts=1'], exit_codes.ExitCode.USAGE),
    (['standin', 'kv', '--port=x'], exit_codes.ExitCode.USAGE),
    (['standin', 'service', '--port=-1'], exit_codes.ExitCode.USAGE),
    (['standin', 'platform', 'absent'], exit_codes.ExitCode.INVALID_INPUT),
    (['check'], exit_codes.ExitCode.USAGE),
    (['check', 'absent.yaml'], exit_codes.ExitCode.INVALID_INPUT),
    (
        ['plan', 'examples/qureshi', UNREACHABLE_KV],
        exit_codes.ExitCode.UNAVAILABLE,
    ),
    (
        ['apply', 'examples/qureshi', UNREACHABLE_KV],
        exit_codes.ExitCode.UNAVAILABLE,
    ),
    (
        ['apply', 'examples/qureshi', UNREACHABLE_KV, '--expect=x'],
        exit_codes.ExitCode.USAGE,
    ),
    (['get', UNREACHABLE_KV], exit_codes.ExitCode.UNAVAILABLE),
    (['get', '--kv=http://[::1'], exit_codes.ExitCode.USAGE),
    (['get', '--kv=nonsense'], exit_codes.ExitCode.USAGE),
    (['history', UNREACHABLE_KV], exit_codes.ExitCode.UNAVAILABLE),
    (['history', '--limit=-1'], exit_codes.ExitCode.USAGE),
    (['status', '127.0.0.1:1'], exit_codes.ExitCode.UNAVAILABLE),
    (['status', '127.0.0.1:x'], exit_codes.ExitCode.USAGE),
    (['drain', '127.0.0.1:1'], exit_codes.ExitCode.UNAVAILABLE),
    (['undrain', '127.0.0.1:1'], exit_codes.ExitCode.UNAVAILABLE),
    (['explain', 'r-1', '127.0.0.1:1'], exit_codes.ExitCode.UNAVAILABLE),
    (['explain', 'r-1'], exit_codes.ExitCode.USAGE),
    (['key'], exit_codes.ExitCode.USAGE),
    (['load', 'absent.yaml'], exit_codes.ExitCode.INVALID_INPUT),
    (
        ['load', 'examples/workloads/short.yaml', '10.0.0.1:1'],
        exit_codes.ExitCode.USAGE,
    ),
    (['report'], exit_codes.ExitCode.INVALID_INPUT),
    (['report', 'absent.json'], exit_codes.ExitCode.INVALID_INPUT),
    (['demo', '--seed=x'], exit_codes.ExitCode.USAGE),
]


def test_every_command_has_an_error_case() -> None:
    covered = {' '.join(argv[:2]) for argv, _ in CASES if argv}
    covered |= {argv[0] for argv, _ in CASES if argv}
    assert set(commands.COMMANDS.names()) - covered == {'key new'}


@pytest.mark.parametrize(('argv', 'code'), CASES)
def test_errors_give_an_exit_code_without_traceback(
    argv: list[str],
    code: exit_codes.ExitCode,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir(ROOT)
    assert parser.main(argv) == code
    printed = capsys.readouterr()
    assert 'Traceback' not in printed.out + printed.err
    assert printed.err


def test_command_with_unknown_option_does_not_run(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    argv = ['address', '127.0.0.1:1', '--failure-domian=fd-1']
    assert parser.main(argv) == exit_codes.ExitCode.USAGE
    assert 'does not answer' not in capsys.readouterr().err


def test_failures_are_printed_as_json(
    capsys: pytest.CaptureFixture[str],
) -> None:
    parser.main(['address', '127.0.0.1:1', '--format=json'])
    error = json.loads(capsys.readouterr().err)['error']
    assert error['code'] == 'unavailable'


def test_port_in_use_is_a_failure_without_traceback(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / 'settings.yaml'
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        path.write_text(f'host: {{host_id: h}}\ncallers: {{port: {port}}}')
        code = parser.main(['serve', str(path)])
    printed = capsys.readouterr().err
    assert code == exit_codes.ExitCode.FAILED
    assert 'h cannot serve' in printed and 'Traceback' not in printed


@pytest.mark.parametrize(
    'argv, code',
    [
        (['standin', 'kv'], exit_codes.ExitCode.OK),
        (['address', '127.0.0.1:1'], exit_codes.ExitCode.INTERRUPTED),
    ],
)
def test_interrupt_within_a_nursery_prints_no_traceback(
    argv: list[str],
    code: exit_codes.ExitCode,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_interrupt(*_: typing.Any) -> None:
        raise BaseExceptionGroup('nursery', [KeyboardInterrupt()])

    monkeypatch.setattr(trio, 'run', raise_interrupt)
    assert parser.main(argv) == code
