"""Requests that crash each backend server that runs them, and come again.

Guards against a request that ends one backend server after the other; the
evidence is the same as on the users' platform.
"""

import itertools

import h11
import orjson
import pytest
import trio

from corianderloft._internal.entry import crash_guard
from corianderloft._internal.placement import crash_evidence
from tests.lib import engines
from tests.lib import entry

SERVERS = 9
RETRIES_AFTER_KNOWN = 3
"""After three crashes at most so many retries of the request may reach backend
servers; stated by the users' rules."""


def crashes_on(mark: bytes, events: int = 0) -> engines.Script:
    """Return a script that ends the server on bodies that contain a mark."""

    async def script(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        if mark not in seen.body:
            if seen.target.startswith('/v1/chat'):
                await engines.serves(wire, seen)
            else:
                await wire.json(201, {})
            return
        if events:
            await wire.head()
            await wire.tokens(1, events)
            await wire.send(h11.Data(data=engines.event(events + 1)[:9]))
        await wire.engine.crash()
        raise trio.BrokenResourceError

    return script


async def start_servers(nursery, script, service):
    """Start backend servers; return them and their entries."""
    started = [
        await engines.start(nursery, f'e{n}', script, service)
        for n in range(SERVERS)
    ]
    return [engine for engine, _ in started], [entry for _, entry in started]


def arrivals(servers, mark):
    return sum(mark in seen.body for s in servers for seen in s.seen)


def list_live(fixture, servers, listed):
    """List the servers that have not crashed, as the platform would."""
    fixture.shared.backends = tuple(
        backend
        for server, backend in zip(servers, listed, strict=True)
        if not server.scope.cancel_called
    )


async def charge(fixture, body):
    named = entry.headers_of('stables', X_Class='booking')
    del named['X-Service']
    return await entry.call(
        fixture.url + '/v1/services/till/charges', body=body, headers=named
    )


async def converse(fixture, text):
    body = entry.BODY | {'messages': [{'role': 'user', 'content': text}]}
    return await entry.call(
        fixture.url + '/v1/chat/completions',
        body=body,
        headers=entry.headers_of('stables'),
    )


def reason(answer):
    return orjson.loads(answer.body)['error']['reason']


async def test_a_call_that_crashes_servers_stops_reaching_them(nursery):
    script = crashes_on(b'bad')
    servers, listed = await start_servers(nursery, script, 'till')
    async with entry.running_host(*listed) as fixture:
        for _ in range(3):
            await charge(fixture, b'bad')
            list_live(fixture, servers, listed)
        await trio.sleep(crash_evidence.SETTLE_S)
        known = arrivals(servers, b'bad')
        refused = [await charge(fixture, b'bad') for _ in range(4)]
        sound = await charge(fixture, b'sound')
        assert arrivals(servers, b'bad') - known <= RETRIES_AFTER_KNOWN
    assert refused[-1].status == 503
    assert reason(refused[-1]) == 'crashes_backends'
    assert float(refused[-1].headers['retry-after']) > 0
    assert sound.status == 201


@pytest.mark.parametrize('events', [0, 2])
async def test_a_completion_that_crashes_servers_stops_reaching_them(
    nursery, events
):
    script = crashes_on(b'bad', events)
    servers, listed = await start_servers(nursery, script, 'desk')
    async with entry.running_host(*listed) as fixture:
        for _ in range(3):
            await converse(fixture, 'bad')
            list_live(fixture, servers, listed)
        await trio.sleep(crash_evidence.SETTLE_S)
        known = arrivals(servers, b'bad')
        refused = [await converse(fixture, 'bad') for _ in range(4)]
        sound = await converse(fixture, 'sound')
        assert arrivals(servers, b'bad') - known <= RETRIES_AFTER_KNOWN
    assert refused[-1].status == 503
    assert reason(refused[-1]) == 'crashes_backends'
    assert sound.status == 200


async def test_a_server_that_only_loses_a_connection_has_not_crashed(nursery):
    async def breaks_off(wire, seen):
        raise trio.BrokenResourceError

    servers, listed = await start_servers(nursery, breaks_off, 'till')
    async with entry.running_host(*listed) as fixture:
        for _ in range(6):
            await charge(fixture, b'bad')
        answer = await charge(fixture, b'bad')
    assert arrivals(servers, b'bad') == 7
    assert reason(answer) == 'outcome_unknown'


def test_each_crash_of_one_server_has_a_number():
    first, second = itertools.islice(crash_guard._crash_numbers, 2)
    assert first != second
