"""The demo, run as `make demo` does, completes its requests."""

import json

import pytest

from corianderloft._internal.cli import parser


def test_demo_completes_requests_and_drains_a_host(
    capfd: pytest.CaptureFixture[str],
) -> None:
    code = parser.main(['demo', '--format=json'])
    printed = capfd.readouterr()
    assert code == 0, printed
    shown = json.loads(printed.out)
    classes = {item['name']: item for item in shown['measured']['classes']}
    assert set(classes) == {'groom-answer', 'repair-quote', 'wash-history'}
    assert all(item['outcomes'].get('complete') for item in classes.values())
    assert shown['drained']
    assert 'Traceback' not in printed.err
