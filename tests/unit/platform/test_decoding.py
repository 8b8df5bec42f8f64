"""Tests of decoding the platform's files, store entries and headers.

Malformed or arbitrary input must not raise: decoding returns None or a valid
value.
"""

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway import load_messages
from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.platform import configuration
from corianderloft._internal.platform import entries
from corianderloft._internal.platform import headers
from corianderloft._internal.platform import settings
from tests.lib import gateway

JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
BYTES = st.binary() | JSON.map(orjson.dumps)

ENTRY = {
    'service': 'desk',
    'address': '10.0.0.1:80',
    'zone': 'cairo-a',
    'slots': 6,
    'state': 'ready',
    'born': 17,
}


@hypothesis.given(BYTES)
def test_arbitrary_bytes_are_not_decoded(data):
    for decoded in (
        entries.decode_instance('e-1', data),
        entries.decode_member('h-1', data),
        configuration.decode(data),
        load_messages.decode(data),
    ):
        assert decoded is None


@hypothesis.given(st.sampled_from(sorted(ENTRY)), JSON)
def test_entry_with_one_arbitrary_field_is_valid_or_none(field, value):
    decoded = entries.decode_instance(
        'e-1', orjson.dumps(ENTRY | {field: value})
    )
    if decoded is not None:
        assert decoded.slots >= 1
        assert 0 < decoded.port < 65536
        assert decoded.state in states.BackendState


def test_entry_without_a_required_field_is_not_decoded():
    for field in set(ENTRY) - {'born'}:
        remaining = {k: v for k, v in ENTRY.items() if k != field}
        assert entries.decode_instance('e-1', orjson.dumps(remaining)) is None


@hypothesis.given(
    st.sampled_from(['version', 'routes', 'services', 'tenants', 'limits']),
    JSON,
)
def test_document_with_one_arbitrary_field_is_valid_or_none(field, value):
    document = orjson.loads(gateway.configuration())
    decoded = configuration.decode(orjson.dumps(document | {field: value}))
    assert decoded is None or isinstance(decoded.version, int)


def test_longest_path_prefix_wins():
    routes = [
        gateway.ROUTES[0] | {'name': name, 'path_prefix': prefix}
        for name, prefix in (('a', '/x/'), ('b', '/x/y/'), ('c', '/'))
    ]
    table = configuration.decode(gateway.configuration(routes=routes))
    route_names = [
        table.find(gateway.HOST, path).name
        for path in ('/x/y/z', '/x/z', '/x', '/')
    ]
    assert route_names == ['b', 'a', 'c', 'c']
    assert table.find('other', '/x/') is None


def test_request_kinds_and_traffic_splits_of_routes():
    split = [{'service': 'desk', 'weight': 9}, {'service': 'b', 'weight': 0}]
    routes = [
        *gateway.ROUTES[:3],
        gateway.ROUTES[3] | {'traffic_split': split},
    ]
    table = configuration.decode(gateway.configuration(routes=routes))
    routes_by_name = {r.name: r for r in table.routes[gateway.HOST]}
    assert routes_by_name['r-look'].kind is routing.RequestKind.IDEMPOTENT
    assert routes_by_name['r-book'].kind is routing.RequestKind.NON_IDEMPOTENT
    assert routes_by_name['r-chat'].kind is routing.RequestKind.STREAM
    assert (
        routes_by_name['r-quote'].kind is routing.RequestKind.RESUMABLE_STREAM
    )
    assert routes_by_name['r-quote'].shares == (routing.Share('desk', 9.0),)


@hypothesis.given(st.lists(st.tuples(st.binary(), st.binary()), max_size=8))
def test_arbitrary_headers_raise_no_error(fields):
    header_dialect = headers.PlatformDialect()
    header_dialect.read_request(fields)
    header_dialect.read_response(200, fields)


def test_prompt_size_is_read_from_headers():
    head = headers.PlatformDialect().read_request(
        [
            (b'corianderloft-token-usage', b'1460,80'),
            (b'corianderloft-prefix-hash', b'5c1e07a2:800,91bd3f06:660'),
        ]
    )
    assert (head.prompt.tokens, head.prompt.max_output) == (1460, 80)
    assert [part.tokens for part in head.prompt.parts] == [800, 660]


def test_headers_listed_in_connection_are_not_forwarded():
    header_dialect = headers.PlatformDialect()
    head = header_dialect.read_request(
        [(b'connection', b'close, X-Own'), (b'x-own', b'1'), (b'x-b', b'2')]
    )
    context = dialect.SendContext(ids.EngineId('e-1'), 1.0, None, 3, None)
    sent = dict(
        header_dialect.write_request(head, context, routing.RequestKind.STREAM)
    )
    assert b'x-own' not in sent
    assert sent[b'x-b'] == b'2'
    assert sent[b'corianderloft-request-priority'] == b'3'
    assert sent[b'corianderloft-deadline-ms'] == b'1000'


def test_missing_settings_field_is_reported(tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text('node: a\n')
    invalid = settings.read(str(path))
    assert isinstance(invalid, settings.InvalidSettings)
    assert 'listen' in str(invalid)
    assert isinstance(settings.read('/nowhere'), settings.InvalidSettings)


def test_changed_settings_file_is_reloaded(tmp_path):
    path = tmp_path / 'settings.yaml'
    reader = settings.Reader(str(path))
    assert 'No such file' in str(reader.read())
    path.write_text('node: a\n')
    first = reader.read()
    assert reader.read() is first
    path.write_text('node: a longer name\n')
    assert reader.read() is not first


@pytest.mark.parametrize('weights', [(0, 0), (-1, 0), (1e308, 1e308)])
def test_document_with_a_route_without_any_share_is_not_taken(weights):
    split = [{'service': 'desk', 'weight': weight} for weight in weights]
    routes = [gateway.ROUTES[0] | {'traffic_split': split}]
    assert configuration.decode(gateway.configuration(routes=routes)) is None


def test_routes_that_did_not_change_are_not_decoded_again():
    first = configuration.decode(gateway.configuration(1))
    routes = [dict(gateway.ROUTES[0], timeout_ms=77), *gateway.ROUTES[1:]]
    second = configuration.decode(gateway.configuration(2, routes=routes))
    old = {r.name: r for found in first.routes.values() for r in found}
    new = {r.name: r for found in second.routes.values() for r in found}
    changed = gateway.ROUTES[0]['name']
    assert new[changed].timeout == 0.077
    assert all(new[name] is old[name] for name in new if name != changed)


SCALING = {
    'min': 1,
    'max': 30,
    'boot_time_s': 4.0,
    'spot_price': 0.15,
    'zone_prices': {'cairo-a': 1.0, 'cairo-b': 0.8},
}


def _decoded_scaling(scaling):
    document = orjson.loads(gateway.configuration())
    service = document['services'][0]
    service['scaling'] = scaling
    decoded = configuration.decode(orjson.dumps(document))
    return decoded.services[service['name']].scaling


def test_scaling_of_a_service_is_decoded():
    decoded = _decoded_scaling(SCALING)
    assert (decoded.min_engines, decoded.max_engines) == (1, 30)
    assert decoded.prices['cairo-b'] == 0.8


@pytest.mark.parametrize(
    'wrong',
    [
        {'min': 31},
        {'max': 10**15},
        {'boot_time_s': 'soon'},
        {'spot_price': -1},
        {'zone_prices': None},
    ],
)
def test_invalid_scaling_does_not_take_the_document_out_of_force(wrong):
    assert _decoded_scaling(SCALING | wrong) is None


def test_reclaimable_engine_states_when_it_leaves():
    entry = ENTRY | {'spot': True, 'state': 'draining', 'leaves_ms': 2500}
    decoded = entries.decode_instance('e-1', orjson.dumps(entry))
    assert decoded.reclaimable
    assert decoded.leaves_after == 2.5
    assert not entries.decode_instance('e', orjson.dumps(ENTRY)).reclaimable


DUTY_SETTINGS = """
node: a
ip: 10.0.0.1
zone: cairo-a
listen: {front: '10.0.0.1:1', ready: '10.0.0.1:2', directory: '10.0.0.1:3'}
internal_ports: [10, 11]
limits: {max_fds: 100, memory_mb: 128}
bounds:
  {fail_closed: false, grace_s: 8, retry_budget_ratio: 0.2, budget_slack: 5,
  budget_window_s: 10, ttl_max_s: 5, lease_ms: 3000, report_window_s: 5,
  usage_late_s: 10, enforce_fencing: false}
platform: {address: '10.0.0.9:9'}
cloud:
  {address: '10.0.0.8:8', duties: [usage_report, autoscale, other],
  duty_per_s: 50.0}
"""


@pytest.mark.parametrize('contracts', [[], ['leader'], ['pressure']])
def test_settings_ask_for_duties_and_admission_by_memory(tmp_path, contracts):
    path = tmp_path / 'settings.yaml'
    path.write_text(f'{DUTY_SETTINGS}contracts: {contracts}\n')
    cfg = settings.read(str(path))
    assert (cfg.platform_api is not None) is ('leader' in contracts)
    assert (cfg.duty_bounds is not None) is ('leader' in contracts)
    assert cfg.memory_admission is ('pressure' in contracts)
    assert cfg.memory_bytes == 128_000_000


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('', 0.0),
        ('hedging: {}', 0.0),
        ('hedging: {extra_work: 0}', 0.0),
        ('hedging: {extra_work: 0.02}', 0.02),
        ('hedging: {extra_work: 1}', 1.0),
        ('hedging: {extra_work: 1.5}', None),
        ('hedging: {extra_work: -0.1}', None),
        ('hedging: {extra_work: .nan}', None),
        ('hedging: {extra_work: true}', None),
        ('hedging: [0.02]', None),
    ],
)
def test_hedging_is_off_unless_a_valid_share_is_set(tmp_path, line, expected):
    path = tmp_path / 'settings.yaml'
    path.write_text(f'{DUTY_SETTINGS}{line}\n')
    cfg = settings.read(str(path))
    if expected is None:
        assert isinstance(cfg, settings.InvalidSettings)
    else:
        assert cfg.hedge_extra_work == expected
