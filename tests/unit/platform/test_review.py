"""Entries of declarations that have no effect, and the command that warns.

They guard against warnings about entries that do serve requests, and against
a check that misses what it names.
"""

import json
import pathlib
import shutil

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import parser
from corianderloft._internal.platform import configuration
from corianderloft._internal.platform import headers
from corianderloft._internal.platform import review
from tests.lib import gateway
from tests.lib import guide

HOSTS = st.sampled_from(['desk.example', 'Desk.example', 'desk:80', 'x', ''])
PREFIXES = st.sampled_from(
    ['/', '/a/', '/a/b/', '/a', '', '/a?b/', '/ä/', '/a b/', 'a/', '/A/']
)
PATHS = st.text('/aAbx%3F?#*:', max_size=8) | st.sampled_from(
    ['/', '/a/', '/a/b/c', '/a?b/', '*', 'http://x/a', '/%C3%A4/']
)


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    st.lists(st.tuples(HOSTS, PREFIXES), min_size=1, max_size=8),
    st.lists(
        st.tuples(
            st.sampled_from(
                [b'desk.example', b'DESK.example:80', b'desk:80', b'x', b'']
            ),
            PATHS,
        ),
        max_size=20,
    ),
)
def test_the_table_matches_no_route_that_is_called_unreachable(
    declared, requests
):
    routes = [
        gateway.ROUTES[0]
        | {'name': f'r-{number}', 'host': host, 'path_prefix': prefix}
        for number, (host, prefix) in enumerate(declared)
    ]
    table = configuration.decode(gateway.configuration(routes=routes))
    unreachable = {route.name for route, _ in review.unreachable(table)}
    dialect = headers.PlatformDialect()
    for named, target in requests:
        host = dialect.read_request([(b'host', named)]).host
        found = table.find(host, target.partition('?')[0])
        assert found is None or found.name not in unreachable


@pytest.mark.parametrize(
    ('host', 'prefix'),
    [('Desk.example', '/'), ('desk:80', '/'), ('x', '/a?b/'), ('x', '/ä/')],
)
def test_a_route_that_no_request_names_is_unreachable(host, prefix):
    route = gateway.ROUTES[0] | {'host': host, 'path_prefix': prefix}
    table = configuration.decode(gateway.configuration(routes=[route]))
    assert len(list(review.unreachable(table))) == 1


def test_the_second_route_of_a_prefix_is_unreachable():
    second = gateway.ROUTES[0] | {'name': 'r-second', 'host': gateway.HOST}
    document = gateway.configuration(routes=[*gateway.ROUTES, second])
    (finding,) = review.review(document)
    assert finding.entry == 'route/r-second'
    assert finding.kind is review.Kind.UNREACHABLE


def test_declarations_without_faults_have_no_findings():
    assert review.review(gateway.configuration()) == ()


@pytest.mark.parametrize(
    ('route', 'part'),
    [
        ({'target_latency_ms': 9000}, 'target_latency_ms'),
        (
            {'kind': 'streaming', 'target_gap_ms': 9000, 'attempts': 1},
            'target_gap_ms',
        ),
        ({'kind': 'non_idempotent', 'attempts': 2}, 'attempts'),
        (
            {'kind': 'streaming', 'stream_resume': True, 'attempts': 1},
            'stream_resume',
        ),
        ({'service': 'absent'}, 'absent'),
    ],
)
def test_limits_of_a_route_that_contradict_each_other_are_found(route, part):
    routes = [gateway.ROUTES[0] | route, gateway.ROUTES[1]]
    (finding,) = review.review(gateway.configuration(routes=routes))
    assert finding.kind is review.Kind.CONTRADICTION
    assert part in finding.detail


def test_other_entries_without_effect_are_found():
    services = [
        {'name': 'desk', 'max_connections': 0},
        {'name': 'idle', 'health_path': '/'},
    ]
    tenants = [
        {'name': 'aswan', 'api_keys': ['k']},
        {'name': 'minya', 'api_keys': ['k']},
    ]
    found = review.review(
        gateway.configuration(services=services, tenants=tenants)
    )
    assert [(f.kind.value, f.entry) for f in found] == [
        ('contradiction', 'service/desk'),
        ('unused', 'service/idle'),
        ('unreachable', 'tenant/aswan'),
    ]


@pytest.fixture
def run(capfd, monkeypatch):
    """Return a function that runs ``check`` and parses its JSON output.

    Opening any socket fails, as the command must send nothing.
    """
    monkeypatch.setattr('socket.socket', _no_socket)

    def run_check(*argv):
        code = parser.main(['check', *map(str, argv), '--format=json'])
        printed = capfd.readouterr()
        return code, json.loads(printed.out or printed.err)

    return run_check


def _no_socket(*args, **kwargs):
    raise AssertionError('a socket was opened')


def test_warnings_end_with_their_exit_code_only_if_asked(run, tmp_path):
    document = tmp_path / 'declared.json'
    route = gateway.ROUTES[0] | {'service': 'absent'}
    document.write_bytes(gateway.configuration(routes=[route]))
    code, printed = run(document)
    assert code == exit_codes.ExitCode.OK
    assert [w['warning'] for w in printed['warnings']] == [
        'contradiction',
        'unused',
    ]
    assert run(document, '--strict')[0] == exit_codes.ExitCode.FAILED


def test_a_document_that_no_host_would_take_is_a_mistake(run, tmp_path):
    document = tmp_path / 'declared.json'
    document.write_bytes(b'{}')
    assert run(document)[0] == exit_codes.ExitCode.INVALID_INPUT
    document.unlink()
    assert run(document)[0] == exit_codes.ExitCode.INVALID_INPUT


def test_differences_from_the_version_in_force_are_shown(run, tmp_path):
    before, after = tmp_path / 'before.json', tmp_path / 'after.json'
    before.write_bytes(gateway.configuration())
    routes = [gateway.ROUTES[0] | {'timeout_ms': 500}, *gateway.ROUTES[1:3]]
    after.write_bytes(gateway.configuration(routes=routes, keys=['secret']))
    code, printed = run(after, f'--in_force={before}', '--detailed_exit_code')
    assert code == exit_codes.ExitCode.CHANGES_PENDING
    changed = {(line['action'], line['item']) for line in printed['changes']}
    assert ('change', f'route/{gateway.HOST}/r-look') in changed
    assert ('remove', f'route/{gateway.HOST}/r-quote') in changed
    assert 'secret' not in json.dumps(printed)
    code, printed = run(before, f'--in_force={before}', '--detailed_exit_code')
    assert (code, printed['changes']) == (exit_codes.ExitCode.OK, [])


def test_directories_of_declarations_are_compared(run, tmp_path):
    before = guide.EXAMPLES / 'nileknot'
    after = tmp_path / 'declared'
    shutil.copytree(before, after)
    services = pathlib.Path(after) / 'services.yaml'
    text = services.read_text(encoding='utf-8')
    services.write_text(
        text.replace('default: delta-gpu', 'default: fayoum-cloud'),
        encoding='utf-8',
    )
    code, printed = run(after, f'--in_force={before}')
    assert code == exit_codes.ExitCode.OK
    assert printed['changes']
    assert run(before, '--strict')[0] == exit_codes.ExitCode.OK


def test_versions_of_different_kinds_are_not_compared(run, tmp_path):
    document = tmp_path / 'declared.json'
    document.write_bytes(orjson.dumps(orjson.loads(gateway.configuration())))
    directory = guide.EXAMPLES / 'nileknot'
    code, _ = run(document, f'--in_force={directory}')
    assert code == exit_codes.ExitCode.USAGE
    code, _ = run(document, document, f'--in_force={document}')
    assert code == exit_codes.ExitCode.USAGE


def test_declarations_that_contradict_each_other_are_warned_of(run, tmp_path):
    (tmp_path / 'all.yaml').write_text(
        'services:\n'
        '  lace:\n'
        '    kind: plain\n'
        '    classes: {quick: {tier: 0, first_token_target_s: 9,'
        ' deadline_s: 2}}\n'
        '    routes: [{supplier: a, model: m, weight: 0}]\n',
        encoding='utf-8',
    )
    code, printed = run(tmp_path)
    assert code == exit_codes.ExitCode.OK
    assert [(w['warning'], w['entry']) for w in printed['warnings']] == [
        ('unused', 'service/lace'),
        ('contradiction', 'service/lace'),
        ('contradiction', 'service/lace/class/quick'),
    ]
