"""Tests that a draining host does not interrupt requests."""

import trio

from tests.lib import engines
from tests.lib import entry


class Gate:
    """Script that streams six tokens, waits, and streams the rest."""

    def __init__(self) -> None:
        self.open = trio.Event()
        self.reached = trio.Event()

    async def script(
        self, wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.tokens(1, 6)
        self.reached.set()
        await self.open.wait()
        await wire.tokens(7, engines.TOKENS)
        await wire.done()


async def _state(fixture: entry.Fixture) -> str:
    answer = await entry.call(fixture.operators_url + '/healthz', 'GET')
    return str(answer.json()['state'])


async def _wait_state(fixture: entry.Fixture, wanted: str) -> None:
    with trio.fail_after(10):
        while await _state(fixture) != wanted:
            await trio.sleep(0.01)


SLOW = {'silent_floor': 60.0}


async def test_stream_in_flight_is_completed(nursery: trio.Nursery) -> None:
    gate = Gate()
    _, one = await engines.start(nursery, 'e1', gate.script)
    async with entry.running_host(one, backends=SLOW) as fixture:
        async with entry.reading(fixture) as reader:
            await reader.until(6)
            fixture.stop.set()
            await _wait_state(fixture, 'refusing')
            refused = await entry.chat(fixture)
            assert refused.refusal() == ('draining', 'not_run')
            assert refused.headers['connection'] == 'close'
            gate.open.set()
            assert await reader.rest() == engines.whole_body()
        with trio.fail_after(10):
            await fixture.ended.wait()


async def test_host_serves_until_its_addresses_expire(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as fixture:
        fixture.shared.answer_ttl = 0.5
        fixture.stop.set()
        await _wait_state(fixture, 'leaving')
        url = fixture.url + '/v1/addresses'
        answer = await entry.call(url, 'GET')
        assert answer.json()['addresses'] == []
        assert (await entry.chat(fixture)).body == engines.whole_body()
        with trio.fail_after(10):
            await fixture.ended.wait()


async def test_drain_timeout_ends_streams_with_an_error_event(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.silent_after(6))
    brief = {'drain_time': 0.1}
    async with entry.running_host(
        one, backends=SLOW, callers=brief
    ) as fixture:
        async with entry.reading(fixture) as reader:
            await reader.until(6)
            fixture.stop.set()
            body = await reader.rest()
    assert entry.token_ids(body) == [1, 2, 3, 4, 5, 6]
    assert body.endswith(b'\n\n')
    assert b'event: error' in body
    assert b'"reason":"draining","run":"ran"' in body


async def test_second_signal_shortens_the_drain(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.silent_after(6))
    brief = {'shortened_drain_time': 0.1}
    async with entry.running_host(
        one, backends=SLOW, callers=brief
    ) as fixture:
        fixture.shared.answer_ttl = 3600.0
        async with entry.reading(fixture) as reader:
            await reader.until(6)
            headers = {'Authorization': f'Bearer {entry.OPERATOR_TOKEN}'}
            url = fixture.operators_url + '/v1/drain'
            for _ in range(2):
                assert (
                    await entry.call(url, 'POST', headers=headers)
                ).status == 202
            body = await reader.rest()
        with trio.fail_after(10):
            await engine.cancelled.wait()
            await fixture.ended.wait()
    assert b'"reason":"draining","run":"ran"' in body


async def _post_action(fixture: entry.Fixture, action: str) -> entry.Answer:
    headers = {'Authorization': f'Bearer {entry.OPERATOR_TOKEN}'}
    url = f'{fixture.operators_url}/v1/{action}'
    return await entry.call(url, 'POST', headers=headers)


async def test_held_host_keeps_running_and_can_be_undrained(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as fixture:
        assert (await _post_action(fixture, 'drain?hold=true')).status == 202
        await _wait_state(fixture, 'held')
        assert (await entry.chat(fixture)).refusal() == ('draining', 'not_run')
        assert (await _post_action(fixture, 'undrain')).status == 202
        await _wait_state(fixture, 'serving')
        assert not fixture.shared.left
        assert (await entry.chat(fixture)).body == engines.whole_body()
        assert (await _post_action(fixture, 'undrain')).status == 409
        fixture.stop.set()
        with trio.fail_after(10):
            await fixture.ended.wait()


async def test_undrain_does_not_interrupt_streams(
    nursery: trio.Nursery,
) -> None:
    gate = Gate()
    _, one = await engines.start(nursery, 'e1', gate.script)
    async with entry.running_host(one, backends=SLOW) as fixture:
        async with entry.reading(fixture) as reader:
            await reader.until(6)
            await _post_action(fixture, 'drain')
            await _wait_state(fixture, 'refusing')
            await _post_action(fixture, 'undrain')
            await _wait_state(fixture, 'serving')
            gate.open.set()
            assert await reader.rest() == engines.whole_body()
        assert not fixture.ended.is_set()


async def test_held_host_stops_on_a_second_drain_request(
    nursery: trio.Nursery,
) -> None:
    async with entry.running_host() as fixture:
        await _post_action(fixture, 'drain?hold=true')
        await _wait_state(fixture, 'held')
        await _post_action(fixture, 'drain')
        with trio.fail_after(10):
            await fixture.ended.wait()
