"""Runs the commands on the documentation pages.

The processes of the five-minute guide run in the test process, on other ports
than those on the pages. A page fails when a command no longer exists, ends
with another exit code or prints a traceback.
"""

import pathlib
import re
import runpy
import shlex
import sys

import pytest

from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import options
from corianderloft._internal.cli import parser
from tests.lib import guide

PAGES = [
    page
    for page in (
        guide.ROOT / 'README.md',
        guide.ROOT / 'docs' / 'CALLERS.md',
        *sorted((guide.ROOT / 'docs' / 'operators').glob('*.md')),
    )
    if '\n$ ' in page.read_text(encoding='utf-8')
]
PAGE_IDS = [page.name for page in PAGES]

LISTS = 'examples/platform/nileknot.yaml'

COMMAND = re.compile(r'^\$ (.+?)(?:\s+# exit code (\d+))?$', re.MULTILINE)


@pytest.mark.parametrize('page', PAGES, ids=PAGE_IDS)
def test_commands_end_with_the_documented_exit_code(
    page: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    text = page.read_text(encoding='utf-8').replace('\\\n', ' ')
    monkeypatch.chdir(guide.ROOT)
    with guide.running() as processes:
        kv_address = processes.translate('127.0.0.1:2379')
        monkeypatch.setenv(options.KV_VARIABLE, kv_address)
        if page.parent.name != 'operators':
            assert parser.main(['apply', 'examples/nileknot']) == 0
        monkeypatch.setenv(
            http_client.OPERATOR_KEY_VARIABLE, 'clk_example_operator'
        )
        lists = tmp_path / 'lists.yaml'
        listed = (guide.ROOT / LISTS).read_text(encoding='utf-8')
        lists.write_text(processes.translate_lists(listed), encoding='utf-8')
        for line, expected_code in COMMAND.findall(text):
            command = processes.translate(line).replace(LISTS, str(lists))
            exit_code = _run(command, monkeypatch)
            printed = capfd.readouterr()
            assert exit_code == int(expected_code or 0), (line, printed)
            assert 'Traceback' not in printed.out + printed.err


def _run(line: str, monkeypatch: pytest.MonkeyPatch) -> int:
    """Run one command line; only parse it if it ends with ``&``."""
    words = shlex.split(line, comments=True)
    if words[0] == 'export':
        name, _, value = words[1].partition('=')
        monkeypatch.setenv(name, value)
        return 0
    if words[0] == 'make':
        return _check_make_targets(words[1:])
    if words[0] == 'python':
        monkeypatch.setattr(sys, 'argv', words[1:])
        runpy.run_path(words[1], run_name='__main__')
        return 0
    assert words[0] == parser.PROGRAM, f'{line!r} is not checked'
    if words[-1] == '&':
        command = parser.parse(words[1:-1])
        return command if isinstance(command, int) else 0
    return parser.main(words[1:])


def _check_make_targets(targets: list[str]) -> int:
    makefile = (guide.ROOT / 'Makefile').read_text(encoding='utf-8')
    known = all(
        re.search(rf'^{re.escape(target)}:', makefile, re.MULTILINE)
        for target in targets
    )
    return 0 if known else 2
