"""Whatever bytes come, decoding gives a value or a tagged nothing."""

import hypothesis
from hypothesis import strategies as st
import orjson

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
def test_arbitrary_bytes_name_nothing(data):
    for decoded in (
        entries.decode_instance('e-1', data),
        entries.decode_member('h-1', data),
        configuration.decode(data),
        load_messages.decode(data),
    ):
        assert decoded is None


@hypothesis.given(st.sampled_from(sorted(ENTRY)), JSON)
def test_an_entry_with_one_odd_field_is_whole_or_nothing(field, value):
    found = entries.decode_instance(
        'e-1', orjson.dumps(ENTRY | {field: value})
    )
    if found is not None:
        assert found.slots >= 1
        assert 0 < found.port < 65536
        assert found.state in states.BackendState


def test_an_entry_without_a_field_names_nothing():
    for field in set(ENTRY) - {'born'}:
        left = {k: v for k, v in ENTRY.items() if k != field}
        assert entries.decode_instance('e-1', orjson.dumps(left)) is None


@hypothesis.given(
    st.sampled_from(['version', 'routes', 'services', 'tenants', 'limits']),
    JSON,
)
def test_a_document_with_one_odd_field_is_whole_or_nothing(field, value):
    document = orjson.loads(gateway.configuration())
    found = configuration.decode(orjson.dumps(document | {field: value}))
    assert found is None or isinstance(found.version, int)


def test_the_longest_prefix_wins():
    routes = [
        gateway.ROUTES[0] | {'name': name, 'path_prefix': prefix}
        for name, prefix in (('a', '/x/'), ('b', '/x/y/'), ('c', '/'))
    ]
    table = configuration.decode(gateway.configuration(routes=routes))
    found = [
        table.find(gateway.HOST, path).name
        for path in ('/x/y/z', '/x/z', '/x', '/')
    ]
    assert found == ['b', 'a', 'c', 'c']
    assert table.find('other', '/x/') is None


def test_kinds_and_splits_of_routes():
    split = [{'service': 'desk', 'weight': 9}, {'service': 'b', 'weight': 0}]
    routes = [
        *gateway.ROUTES[:3],
        gateway.ROUTES[3] | {'traffic_split': split},
    ]
    table = configuration.decode(gateway.configuration(routes=routes))
    found = {r.name: r for r in table.routes[gateway.HOST]}
    assert found['r-look'].kind is routing.RequestKind.IDEMPOTENT
    assert found['r-book'].kind is routing.RequestKind.NON_IDEMPOTENT
    assert found['r-chat'].kind is routing.RequestKind.STREAM
    assert found['r-quote'].kind is routing.RequestKind.RESUMABLE_STREAM
    assert found['r-quote'].shares == (routing.Share('desk', 9.0),)


@hypothesis.given(st.lists(st.tuples(st.binary(), st.binary()), max_size=8))
def test_arbitrary_headers_are_read(fields):
    words = headers.PlatformDialect()
    words.read_request(fields)
    words.read_response(200, fields)


def test_the_size_of_a_prompt_is_read():
    head = headers.PlatformDialect().read_request(
        [
            (b'corianderloft-token-usage', b'1460,80'),
            (b'corianderloft-prefix-hash', b'5c1e07a2:800,91bd3f06:660'),
        ]
    )
    assert (head.prompt.tokens, head.prompt.max_output) == (1460, 80)
    assert [part.tokens for part in head.prompt.parts] == [800, 660]


def test_headers_named_by_connection_stay_behind():
    words = headers.PlatformDialect()
    head = words.read_request(
        [(b'connection', b'close, X-Own'), (b'x-own', b'1'), (b'x-b', b'2')]
    )
    context = dialect.SendContext(ids.EngineId('e-1'), 1.0, None, 3, None)
    sent = dict(words.write_request(head, context, routing.RequestKind.STREAM))
    assert b'x-own' not in sent
    assert sent[b'x-b'] == b'2'
    assert sent[b'corianderloft-request-priority'] == b'3'
    assert sent[b'corianderloft-deadline-ms'] == b'1000'


def test_a_settings_file_that_lacks_a_field_says_so(tmp_path):
    file = tmp_path / 'settings.yaml'
    file.write_text('node: a\n')
    broken = settings.read(str(file))
    assert isinstance(broken, settings.InvalidSettings)
    assert 'listen' in str(broken)
    assert isinstance(settings.read('/nowhere'), settings.InvalidSettings)


def test_a_settings_file_is_read_again_when_it_changed(tmp_path):
    file = tmp_path / 'settings.yaml'
    reader = settings.Reader(str(file))
    assert 'No such file' in str(reader.read())
    file.write_text('node: a\n')
    first = reader.read()
    assert reader.read() is first
    file.write_text('node: a longer name\n')
    assert reader.read() is not first
