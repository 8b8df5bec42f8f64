"""Counting of requests that ran, and its reports by a whole host."""

import collections
import contextlib

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest
import trio

from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.gateway.duties import usage
from corianderloft._internal.gateway.duties import usage_tenure
from corianderloft._internal.gateway import settings
from corianderloft._internal.standin import http
from corianderloft._internal.utils import clock
from tests.lib import gateway
from tests.lib import platform_api
from tests.lib import processes

WINDOW_S = 1.0
BOUNDS = settings.DutyBounds(0.5, WINDOW_S, 8.0, False)

ENGINES = [
    {
        'name': 'desk',
        'health_path': '/healthz',
        'engine': {'slots': 8, 'kv_capacity_tokens': 100000},
    }
]


@contextlib.asynccontextmanager
async def running(modes, **changes):
    """Run a host that reports its usage; yield it and the API."""
    document = gateway.configuration(**changes)
    async with gateway.running(modes, document, start=False) as system:
        async with trio.open_nursery() as nursery:
            api = platform_api.PlatformApi()
            port = await nursery.start(http.serve, api.app(), 0)
            system.platform_api = settings.PlatformApi(
                '127.0.0.1', port, frozenset(settings.DutyKind), 50.0
            )
            system.duty_bounds = BOUNDS
            await system.start_host()
            yield system, api
            nursery.cancel_scope.cancel()


@pytest.fixture
def runs(monkeypatch):
    """Return the runs that are counted, by workspace."""
    counted = collections.Counter()

    def add(self, workspace):
        counted[workspace] += 1
        return 0

    def take_back(self, workspace, window):
        counted[workspace] -= 1

    monkeypatch.setattr(usage.UsageCounter, 'add', add)
    monkeypatch.setattr(usage.UsageCounter, 'take_back', take_back)
    return counted


async def test_calls_of_plain_services_are_counted_unless_not_run(runs):
    async with running(['whole']) as (system, api):
        for target in ('/look/1', '/book/2', '/look/3'):
            await system.request(target=target)
        await system.request(key='unknown')
        system.engines[0].mode = 'error'
        await system.request(target='/book/4')
        system.engines[0].mode = 'reject'
        await system.request(target='/book/5')
        assert len(system.runs()) == 4
        assert runs == {'aswan': 4}


async def test_usage_of_a_host_is_reported():
    async with running(['whole']) as (system, api):
        for _ in range(3):
            await system.request()
        due = trio.current_time() + WINDOW_S

        async def is_complete():
            return bool(api.calls) and api.calls[-1].at > due

        await processes.wait_for(is_complete, 'usage is reported', 15)
    api.check(BOUNDS.lease_time)
    total = collections.Counter()
    for counts in api.reports().values():
        total.update(counts[0])
    assert total == {'aswan': 3}


async def test_streams_of_engines_are_counted_at_their_first_event(runs):
    """A continued stream has run on two engines."""
    modes = ['cut_stream', 'cut_stream']
    async with running(modes, services=ENGINES) as (system, _):
        answer = await system.request(target='/quote/1')
        assert answer.complete
        for engine in system.engines:
            engine.mode = 'hang'
        await system.request(target='/chat/2', deadline_ms=300)
        assert len(system.runs()) == 3
        assert runs == {'aswan': 2}


async def test_host_without_duties_calls_nothing():
    async with gateway.running() as system:
        await system.request()
        await trio.sleep(0.5)
        assert not system.store.calls['kv-key']
        assert not any(
            k.startswith('duties') for k in system.store.store.items
        )


class Time:
    offset = 0.0

    def now(self):
        return clock.now()


@pytest.fixture
def counted(monkeypatch):
    """Return a counter, its table and a function that sets the time."""
    times = [1000.0]
    monkeypatch.setattr(clock, 'now', lambda: times[0])
    table = usage.UsageTable(Time(), 5.0)
    counter = usage.UsageCounter(Time(), 5.0, 15.0, table)

    def at(now):
        times[0] = now

    return counter, table, at


def exchange(counter, table, start='s'):
    value = orjson.loads(orjson.dumps(counter.encode()))
    table.receive('h', start, value, clock.now())


def test_run_taken_back_after_the_window_is_final_still_counts(counted):
    """Guards against two reports of a window that differ."""
    counter, table, at = counted
    early, late = counter.run('aswan'), counter.run('aswan')
    early.began()
    late.began()
    early.did_not_run()
    at(1006.5)
    exchange(counter, table)
    late.did_not_run()
    exchange(counter, table)
    assert table.is_final(200, [('h', 's')], clock.now())
    assert table.total(200) == {'aswan': 1}


def test_window_is_not_final_while_its_counts_are_not_known(counted):
    """Guards against an empty count at a candidate that was just elected."""
    counter, table, at = counted
    counter.run('aswan').began()
    at(1006.5)
    for _ in range(usage.FINAL_SENDS + 1):
        counter.encode()
    exchange(counter, table)
    finals = []
    for _ in range(usage.REPEAT_EVERY):
        finals.append(table.is_final(200, [('h', 's')], clock.now()))
        exchange(counter, table)
    assert not finals[0]
    assert table.is_final(200, [('h', 's')], clock.now())
    assert table.total(200) == {'aswan': 1}


def test_counter_leaves_windows_ahead_of_the_corrected_time(counted):
    """Guards against the loss of all counts after a start in the future."""
    counter, table, at = counted
    counter.run('aswan').began()
    at(400.0)
    counter.run('aswan').began()
    exchange(counter, table)
    assert table.total(80) == {'aswan': 2}


class Table:
    def covers(self, window):
        return True

    def total(self, window):
        return {'aswan': window}


def tenure(token, record=None, taken_at=1003.0):
    timing = usage_tenure.Timing(5.0, 10.0)
    return usage_tenure.Tenure(token, taken_at, record, 7, timing, 1007.0)


def test_window_is_called_only_with_its_counts_in_the_store():
    """Guards against another report by the next holder."""
    reports = tenure(5)
    reports.decide(1009.0, lambda window: window <= 200, Table())
    assert reports.next_call(0.0) is None
    record = reports.record_to_write()
    reports.set_recorded(record, 8)
    assert reports.next_call(0.0) == (198, {'aswan': 198})
    assert record.through == max(record.reports) == 200
    assert usage_tenure.decode(usage_tenure.encode(record)) == record
    later = tenure(6, record)
    assert later.next_call(0.0) == (198, {'aswan': 198})
    assert not later.take_missed()


def test_windows_that_a_lost_record_may_name_are_passed_over():
    token = (1 << 40) + 2
    record = usage_tenure.Record(5, 198, {198: {'aswan': 1}})
    reports = tenure(token, record)
    reports.decide(1011.0, lambda window: True, Table())
    assert list(reports.record_to_write().reports) == [200, 201]
    assert [(m.first, m.last) for m in reports.take_missed()] == [(199, 199)]


JSON = st.recursive(
    st.one_of(st.none(), st.integers(-2, 2**70), st.floats(), st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(
            st.sampled_from(['since', 'final', 'windows', 'w', 'token']),
            inner,
        ),
    ),
    max_leaves=12,
)


@hypothesis.given(JSON)
def test_malformed_counts_and_records_are_refused(value):
    table = usage.UsageTable(true_time.TrueTime(), 5.0)
    with contextlib.suppress(ValueError, TypeError, KeyError, AttributeError):
        table.receive('h', 's', value, 0.0)
    with contextlib.suppress(TypeError):
        usage_tenure.decode(orjson.dumps(value))
