"""Tests of plan, apply, get, history and explain against stand-ins."""

import collections.abc
import json
import pathlib
import shutil

import pytest
import trio

import corianderloft
from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import options
from corianderloft._internal.cli import parser
from tests.lib import guide

Run = collections.abc.Callable[..., tuple[int, dict[str, object]]]


@pytest.fixture
def run(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> collections.abc.Iterator[Run]:
    """Return a function that runs a command and parses its JSON output."""

    def run_command(*argv: str) -> tuple[int, dict[str, object]]:
        code = parser.main([*argv, '--format=json'])
        printed = capfd.readouterr()
        return code, json.loads(printed.out or printed.err)

    with guide.running() as processes:
        address = processes.translate('127.0.0.1:2379')
        monkeypatch.setenv(options.KV_VARIABLE, address)
        yield run_command


@pytest.fixture
def directory(tmp_path: pathlib.Path) -> str:
    """Return a copy of an example directory of declarations."""
    shutil.copytree(guide.EXAMPLES / 'nileknot', tmp_path / 'declared')
    return str(tmp_path / 'declared')


def _swap_supplier(directory: str) -> None:
    path = pathlib.Path(directory) / 'services.yaml'
    text = path.read_text(encoding='utf-8')
    swapped = text.replace('default: delta-gpu', 'default: fayoum-cloud')
    path.write_text(swapped, encoding='utf-8')


def test_a_second_apply_changes_nothing(run: Run, directory: str) -> None:
    code, planned = run('plan', directory, '--detailed_exit_code')
    assert code == exit_codes.ExitCode.CHANGES_PENDING
    code, first = run('apply', directory)
    assert code == 0 and first['change_id'] is not None
    assert first['changes'] == planned['changes']
    code, second = run('apply', directory)
    assert code == 0 and second['change_id'] is None
    assert second['revision'] == first['revision']
    assert second['changes'] == []


def test_conflict_names_the_other_author_and_change(
    run: Run, directory: str
) -> None:
    _, first = run('apply', directory, '--author=amina')
    _, planned = run('plan', directory)
    _swap_supplier(directory)
    _, conflicting = run(
        'apply', directory, '--author=badr', '--change_id=swap-1'
    )
    expected = f'--expect={planned["revision"]}'
    shutil.rmtree(directory)
    shutil.copytree(guide.EXAMPLES / 'nileknot', directory)
    code, failure = run('apply', directory, expected, '--author=amina')
    assert code == exit_codes.ExitCode.CONFLICT
    message = str(failure['error'])
    assert 'badr was first' in message and 'swap-1' in message
    _, current = run('get')
    assert current['revision'] == conflicting['revision']


def test_the_same_change_id_is_applied_once(run: Run, directory: str) -> None:
    run('apply', directory)
    _, planned = run('plan', directory)
    expected = f'--expect={planned["revision"]}'
    _swap_supplier(directory)
    argv = ('apply', directory, expected, '--change_id=swap-1')
    assert run(*argv)[0] == 0
    assert run(*argv)[0] == 0
    _, records = run('history')
    assert [r['change_id'] for r in records].count('swap-1') == 1


def test_get_suggests_the_closest_name(run: Run, directory: str) -> None:
    run('apply', directory)
    code, found = run('get', 'service/lace-model')
    assert code == 0 and found['name'] == 'lace-model'
    code, failure = run('get', 'service/lace-modl')
    assert code == exit_codes.ExitCode.NOT_FOUND
    assert 'service/lace-model' in str(failure)


def test_explain_shows_the_attempts_of_a_request(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv(
        http_client.OPERATOR_KEY_VARIABLE, 'clk_example_operator'
    )
    with guide.running() as processes:
        kv_address = processes.translate('127.0.0.1:2379')
        monkeypatch.setenv(options.KV_VARIABLE, kv_address)
        assert parser.main(['apply', str(guide.EXAMPLES / 'nileknot')]) == 0
        callers = processes.translate('127.0.0.1:8101')
        request_id = trio.run(_send_request, callers)
        capfd.readouterr()
        ports = processes.translate('127.0.0.1:9101 127.0.0.1:9102').split()
        assert parser.main(['explain', request_id, *ports]) == 0
    printed = capfd.readouterr().out
    assert 'stock-question' in printed and 'answered' in printed
    assert 'Attempts' in printed and 'delta-1' in printed


async def _send_request(callers: str) -> str:
    """Send one request and return its id."""
    address, _, port = callers.rpartition(':')
    seed = corianderloft.Address(address, int(port))
    body = {'messages': [{'role': 'user', 'content': 'red?'}]}
    key = 'clk_example_aswan-stalls'
    async with corianderloft.Client([seed], key) as client:
        for _ in range(100):
            answer = await client.chat('lace-model', 'stock-question', body)
            if isinstance(answer, corianderloft.ChatAnswer):
                return answer.request_id
            await trio.sleep(0.05)
    raise AssertionError(answer)
