"""Tests of callers that reconnect to resume a response."""

import trio

from tests.lib import engines
from tests.lib import entry


async def _resume(
    fixture: entry.Fixture, have: int, workspace: str = 'stables'
) -> entry.Answer:
    return await entry.call(
        fixture.url + '/v1/requests/r1/stream',
        'GET',
        headers=entry.headers_of(workspace, Last_Event_ID=str(have)),
    )


async def test_disconnected_caller_resumes(nursery: trio.Nursery) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.silent_after(6))
    slow = {'silent_floor': 60.0}
    async with entry.running_host(one, backends=slow) as fixture:
        async with entry.reading(fixture, X_Request_Id='r1') as reader:
            await reader.until(6)
            await reader.close()
        with trio.fail_after(10):
            await engine.cancelled.wait()
        engine.script = engines.serves
        answer = await _resume(fixture, 4)
        assert answer.body == engines.whole_body(after=4)
        assert engine.seen[-1].last_event_id == 6
        # A complete response can be fetched again for a while.
        assert (await _resume(fixture, 11)).body == engines.whole_body(11)


async def test_new_connection_takes_over_a_response_in_flight(
    nursery: trio.Nursery,
) -> None:
    go_on = trio.Event()

    async def pauses(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.tokens(1, 6)
        await go_on.wait()
        await wire.tokens(7, engines.TOKENS)
        await wire.done()

    engine, one = await engines.start(nursery, 'e1', pauses)
    slow = {'silent_floor': 60.0}
    async with entry.running_host(one, backends=slow) as fixture:
        async with entry.reading(fixture, X_Request_Id='r1') as silent:
            await silent.until(6)
            async with entry.open_reader(fixture) as reader:
                headers = entry.headers_of('stables', Last_Event_ID='5')
                url = fixture.url + '/v1/requests/r1/stream'
                assert await reader.open('GET', url, headers, b'') == 200
                await reader.until(6)
                go_on.set()
                assert await reader.rest() == engines.whole_body(after=5)
    assert len(engine.seen) == 1


async def test_evicted_tokens_are_generated_again(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.serves)
    little = {'answer_kept_bytes': 1}
    async with entry.running_host(one, callers=little) as fixture:
        async with entry.reading(fixture, X_Request_Id='r1') as reader:
            await reader.rest()
        answer = await _resume(fixture, 2)
    assert answer.body == engines.whole_body(after=2)
    assert [seen.last_event_id for seen in engine.seen][-1] in (0, 2)


async def test_other_workspaces_cannot_resume_or_cancel(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.silent_after(6))
    slow = {'silent_floor': 60.0}
    async with entry.running_host(one, backends=slow) as fixture:
        async with entry.reading(fixture, X_Request_Id='r1') as reader:
            await reader.until(6)
            other = await _resume(fixture, 0, 'cobblers')
            assert other.status == 404
            assert other.refusal()[0] == 'not_found'
            url = fixture.url + '/v1/requests/r1'
            for headers in (entry.headers_of('cobblers'), {}):
                answer = await entry.call(url, 'DELETE', headers=headers)
                assert answer.status in (401, 404)
            assert not engine.cancelled.is_set()
            headers = entry.headers_of('stables')
            answer = await entry.call(url, 'DELETE', headers=headers)
            assert answer.status == 200
            assert b'"reason":"cancelled"' in await reader.rest()
        with trio.fail_after(10):
            await engine.cancelled.wait()


async def test_request_ids_are_separate_per_workspace(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.silent_after(6))
    slow = {'silent_floor': 60.0}
    async with entry.running_host(one, backends=slow) as fixture:
        async with entry.reading(fixture, X_Request_Id='r1') as reader:
            await reader.until(6)
            again = await entry.chat(fixture, X_Request_Id='r1')
            assert again.refusal() == ('key_reused', 'not_run')
            engine.script = engines.serves
            other = await entry.chat(fixture, 'cobblers', X_Request_Id='r1')
            assert other.body == engines.whole_body()


async def test_response_resumes_on_another_host(
    nursery: trio.Nursery,
) -> None:
    _, other = await engines.start(nursery, 'e0', engines.serves, model='x')
    engine, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(other, one) as fixture:
        answer = await entry.call(
            fixture.url + '/v1/chat/completions',
            body={**entry.BODY, 'seed': 7},
            headers=entry.headers_of(
                'stables', Last_Event_ID='5', X_Model_Version='m'
            ),
        )
    assert answer.body == engines.whole_body(after=5)
    assert answer.headers['x-model-version'] == 'm'
    assert engine.seen[0].last_event_id == 5


async def test_last_event_id_beyond_the_response_is_refused(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as fixture:
        await entry.chat(fixture, X_Request_Id='r1')
        answer = await _resume(fixture, 99)
    assert answer.refusal()[0] == 'bad_request'
