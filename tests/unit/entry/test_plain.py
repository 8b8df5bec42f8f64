"""Tests that calls of plain services run at most once.

A call may be lost after the backend server has run it, so it must not be sent
again unless it is idempotent or certainly did not run.
"""

import dataclasses

import pytest
import trio

from tests.lib import engines
from tests.lib import entry


async def charges(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Run the call."""
    await wire.json(201, {'charged': seen.body.decode()}, x_till='7')


async def crashes(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Run the call and crash before the response."""
    raise trio.BrokenResourceError


async def does_not_run(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Refuse the call."""
    await wire.json(503, {}, x_not_run='true')


async def goes_silent(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Run the call and never respond."""
    await wire.wait_closed()


async def call(
    fixture: entry.Fixture,
    body: bytes = b'3 laces',
    class_name: str = 'booking',
    **headers: str,
) -> entry.Answer:
    named = entry.headers_of('stables', X_Class=class_name, **headers)
    del named['X-Service']
    return await entry.call(
        fixture.url + '/v1/services/till/charges?slot=2',
        body=body,
        headers=named,
    )


async def test_call_is_relayed(nursery: trio.Nursery) -> None:
    engine, one = await engines.start(nursery, 't1', charges, 'till')
    async with entry.running_host(one) as fixture:
        answer = await call(fixture, X_Request_Id='c1')
    assert answer.status == 201
    assert answer.json() == {'charged': '3 laces'}
    assert answer.headers['x-till'] == '7'
    assert answer.headers['x-request-id'] == 'c1'
    seen = engine.seen[0]
    assert seen.target == '/charges?slot=2'
    assert 'authorization' not in seen.headers


@pytest.mark.parametrize('script', [crashes, goes_silent])
@pytest.mark.parametrize('headers', [{}, {'Idempotency_Key': 'k1'}])
async def test_call_that_may_have_run_is_not_sent_again(
    nursery: trio.Nursery, script: engines.Script, headers: dict[str, str]
) -> None:
    one, first = await engines.start(nursery, 't1', script, 'till')
    two, second = await engines.start(nursery, 't2', script, 'till')
    quick = {'silent_first_tokens': 1.01}
    async with entry.running_host(first, second, backends=quick) as fixture:
        answer = await call(fixture, **headers)
        again = await call(fixture, **headers) if headers else None
    assert answer.refusal() == ('outcome_unknown', 'unknown')
    assert len(one.seen) + len(two.seen) == 1
    if again is not None:
        assert again.refusal() == ('claim_in_progress', 'unknown')


async def test_late_response_to_a_call_that_may_not_be_repeated_is_delivered(
    nursery: trio.Nursery,
) -> None:
    # It was given up as unknown after a silence of a few targets, although no
    # other server could take it over.
    async def charges_late(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await trio.sleep(0.4)
        await charges(wire, seen)

    engine, one = await engines.start(nursery, 't1', charges_late, 'till')
    quick = {'silent_first_tokens': 1.01, 'silent_floor': 0.05}
    async with entry.running_host(one, backends=quick) as fixture:
        answer = await call(fixture, Idempotency_Key='k1')
    assert answer.status == 201
    assert len(engine.seen) == 1


async def test_response_that_ends_with_its_server_is_not_relayed(
    nursery: trio.Nursery,
) -> None:
    # Without a length, the end of the process looks like that of the body.
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    process = trio.CancelScope()

    async def ends(stream: trio.SocketStream) -> None:
        await stream.receive_some(65536)
        await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\npart')
        process.cancel()

    async def serve() -> None:
        with process:
            await trio.serve_listeners(ends, listeners)

    _, other = await engines.start(nursery, 't1', charges, 'till')
    port = listeners[0].socket.getsockname()[1]
    ending = dataclasses.replace(other, port=port)
    nursery.start_soon(serve)
    async with entry.running_host(ending) as fixture:
        answer = await call(fixture)
    assert answer.refusal() == ('outcome_unknown', 'unknown')


async def test_retry_rule_cannot_repeat_a_call_that_may_have_run(
    nursery: trio.Nursery,
) -> None:
    till, one = await engines.start(nursery, 't1', crashes, 'till')
    desk, two = await engines.start(nursery, 'e1', crashes)
    async with entry.running_host(one, two) as fixture:
        fixture.dispatcher.allow_all_retries = True
        fixture.shared.catalog = entry.catalog_of(idempotent=False)
        called = await call(fixture)
        asked = await entry.chat(fixture)
    for answer in (called, asked):
        assert answer.refusal() == ('outcome_unknown', 'unknown')
    assert (len(till.seen), len(desk.seen)) == (1, 1)


async def test_call_that_certainly_did_not_run_is_sent_again(
    nursery: trio.Nursery,
) -> None:
    refusing, first = await engines.start(nursery, 't1', does_not_run, 'till')
    _, second = await engines.start(nursery, 't2', charges, 'till')
    async with entry.running_host(first, second) as fixture:
        answer = await call(fixture, Idempotency_Key='k1')
    assert answer.status == 201
    assert len(refusing.seen) == 1


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_status_alone_does_not_say_that_a_call_did_not_run(
    nursery: trio.Nursery, status: int
) -> None:
    # A service may fail a call that it ran with any status.
    failing, first = await engines.start(
        nursery, 't1', engines.refuses(status, 'crash'), 'till'
    )
    other, second = await engines.start(nursery, 't2', charges, 'till')
    async with entry.running_host(first, second) as fixture:
        answers = [await call(fixture, Idempotency_Key='k1') for _ in range(2)]
        assert not fixture.shared.released
    assert [answer.status for answer in answers] == [status, status]
    assert (len(failing.seen), len(other.seen)) == (1, 0)


async def test_claim_is_released_when_nothing_ran(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 't1', does_not_run, 'till')
    async with entry.running_host(one) as fixture:
        answer = await call(fixture, Idempotency_Key='k1')
        assert answer.refusal() == ('no_backend', 'not_run')
        assert fixture.shared.released == ['stables/till/k1']


async def test_nothing_is_sent_after_the_claim_expired(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 't1', charges, 'till')
    async with entry.running_host(one) as fixture:
        fixture.shared.claim_valid_until = 0.0
        answer = await call(fixture, Idempotency_Key='k1')
    assert answer.refusal() == ('claim_unavailable', 'not_run')
    assert not engine.seen


async def test_leaving_backend_server_is_reported(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(
        nursery, 'e1', engines.refuses(503, 'leaving')
    )
    async with entry.running_host(one) as fixture:
        await entry.chat(fixture)
    assert fixture.shared.leaving == ['e1']


async def test_repeated_key_returns_the_stored_response(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 't1', charges, 'till')
    async with entry.running_host(one) as fixture:
        first = await call(fixture, Idempotency_Key='k1')
        second = await call(fixture, Idempotency_Key='k1')
    assert (second.status, second.body) == (201, first.body)
    assert len(engine.seen) == 1


async def test_claim_is_kept_when_the_caller_leaves(
    nursery: trio.Nursery,
) -> None:
    go_on = trio.Event()

    async def waits(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await go_on.wait()
        await charges(wire, seen)

    engine, one = await engines.start(nursery, 't1', waits, 'till')
    slow = {'silent_floor': 60.0}
    async with entry.running_host(one, backends=slow) as fixture:
        with trio.move_on_after(0.2):
            await call(fixture, Idempotency_Key='k1')
        go_on.set()
        with trio.fail_after(10):
            while not fixture.shared.claims.get('stables/till/k1'):
                await trio.sleep(0.01)
        answer = await call(fixture, Idempotency_Key='k1')
    assert answer.status == 201
    assert len(engine.seen) == 1


async def test_queued_call_is_cancelled_when_its_caller_leaves(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 't1', charges, 'till')
    async with entry.running_host(one) as fixture:
        fixture.dispatcher.gate = trio.Event()
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as callers:

                async def leave_once_queued() -> None:
                    await fixture.dispatcher.acquire_called.wait()
                    scope.cancel()

                callers.start_soon(leave_once_queued)
                await call(fixture, Idempotency_Key='k1')
        with trio.fail_after(10):
            while not fixture.shared.released:
                await trio.sleep(0.01)
        fixture.dispatcher.gate.set()
        answer = await call(fixture, Idempotency_Key='k1')
    assert answer.status == 201
    assert len(engine.seen) == 1


async def test_idle_connection_is_not_reused_for_non_idempotent_calls(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 't1', charges, 'till')
    brief = {'live_time': 0.001}
    async with entry.running_host(one, backends=brief) as fixture:
        await call(fixture)
        await trio.sleep(0.01)
        await call(fixture)
        assert engine.connections == 2
        await call(fixture, class_name='quick')
        assert engine.connections == 2


async def is_replaced(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """End within a response; another process listens at the address."""
    await wire.send_raw(b'HTTP/1.1 201 -\r\n\r\n{"charged"')
    with trio.move_on_after(0.5):
        while len(wire.engine.streams) < 2:
            await trio.sleep(0.001)
    for stream in wire.engine.streams:
        stream.socket.close()


async def closes_after_it(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Send a whole response without a length."""
    await wire.send_raw(b'HTTP/1.1 201 -\r\n\r\n{"charged": true}')
    raise trio.BrokenResourceError


async def test_response_that_ends_with_its_replaced_server_is_not_delivered(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 't1', is_replaced, 'till')
    async with entry.running_host(one) as fixture:
        answer = await call(fixture, Idempotency_Key='k1')
    assert answer.status == 504
    assert len(engine.seen) == 1


async def test_response_without_a_length_of_a_live_server_is_delivered(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 't1', closes_after_it, 'till')
    async with entry.running_host(one) as fixture:
        answer = await call(fixture)
    assert (answer.status, answer.body) == (201, b'{"charged": true}')
