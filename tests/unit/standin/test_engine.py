"""Tests of the stand-in engine."""

import collections.abc
import contextlib

import httpcore
import pytest
import trio

from corianderloft._internal import standin
from tests.lib import calls
from tests.lib import processes

CHAT_PATH = '/v1/chat/completions'


@contextlib.asynccontextmanager
async def engine(**options: object) -> collections.abc.AsyncGenerator[int]:
    """Start an engine and yield its port."""
    fast = {'step_time': 0, 'prefill_time_per_token': 0}
    async with trio.open_nursery() as nursery:
        settings = standin.EngineSettings(**fast | options)
        yield await nursery.start(standin.serve_engine, settings)
        nursery.cancel_scope.cancel()


def chat(tokens: int, text: str = '', **fields: object) -> dict[str, object]:
    """Return a streamed request for a completion of ``tokens`` tokens."""
    content = f'[tokens:{tokens}]{text}'
    messages = [{'role': 'user', 'content': content}]
    return {'messages': messages, 'stream': True, 'model': 'm'} | fields


async def wait_for_count(port: int, name: str, minimum: int) -> None:
    """Wait until a counter of the engine has reached ``minimum``."""

    async def reached() -> bool:
        counts = await calls.get(port, '/control/counts')
        return bool(counts[name] >= minimum)

    await processes.wait_for(reached, f'{name} reaches {minimum}')


async def test_closing_the_connection_cancels_the_request() -> None:
    async with engine() as port:
        with trio.move_on_after(30) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(calls.post, port, CHAT_PATH, chat(500000))
                await wait_for_count(port, 'tokens_delivered', 3)
                nursery.cancel_scope.cancel()
        assert not scope.cancelled_caught
        await wait_for_count(port, 'cancelled', 1)


async def test_delete_ends_the_stream_with_an_error_event() -> None:
    async with engine() as port:
        bodies = []

        async def send() -> None:
            reply = await calls.post(
                port, CHAT_PATH, chat(500000), x_request_id='r1'
            )
            bodies.append(reply.content)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_for_count(port, 'tokens_delivered', 1)
            await calls.call('DELETE', port, '/v1/requests/r1')
        assert bodies[0].endswith(
            b'event: error\ndata: {"error":{"code":"cancelled"}}\n\n'
        )


async def test_crash_closes_connections() -> None:
    async with engine() as port:

        async def send() -> None:
            with pytest.raises(httpcore.RemoteProtocolError):
                await calls.post(port, CHAT_PATH, chat(500000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_for_count(port, 'tokens_delivered', 1)
            await calls.set_faults(port, crashed=True)
        with pytest.raises(httpcore.RemoteProtocolError):
            await calls.post(port, CHAT_PATH, chat(1))
        await calls.set_faults(port, crashed=False)
        assert (await calls.post(port, CHAT_PATH, chat(1))).status == 200


async def test_higher_priority_preempts_and_both_requests_complete() -> None:
    async with engine(slots=1) as port:
        replies: dict[str, httpcore.Response] = {}

        async def send(name: str, body: object) -> None:
            replies[name] = await calls.post(port, CHAT_PATH, body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, 'low', chat(3000, priority=5))
            await wait_for_count(port, 'tokens_delivered', 1)
            await send('high', chat(2, priority=0))
            assert 'low' not in replies
        assert (await calls.get(port, '/control/counts'))['preempted'] == 1
        assert replies['low'].content.count(b'\nid: ') == 3000
        assert replies['low'].content.endswith(b'data: [DONE]\n\n')


async def test_leaving_engine_refuses_without_running() -> None:
    async with engine() as port:
        await calls.set_faults(port, leaving=True)
        reply = await calls.post(port, CHAT_PATH, chat(1))
        counts = await calls.get(port, '/control/counts')
        load = await calls.get(port, '/v1/load')
    assert reply.status == 503 and b'"leaving"' in reply.content
    assert counts['requests'] == 0 and load['state'] == 'leaving'


async def test_silent_engine_responds_after_the_fault_is_cleared() -> None:
    async with engine() as port:
        await calls.set_faults(port, silent=True)
        replies = []

        async def send() -> None:
            with trio.move_on_after(0.2):
                replies.append(await calls.get(port, '/healthz'))

        await send()
        assert not replies
        await calls.set_faults(port, silent=False)
        assert (await calls.get(port, '/healthz')) == {'state': 'live'}


@pytest.mark.parametrize(('checks', 'status'), [(True, 409), (False, 200)])
async def test_old_fencing_numbers(checks: bool, status: int) -> None:
    order = {'order_id': 'o', 'kind': 'load_adapter', 'target': 'a'}
    async with engine(check_fencing=checks) as port:
        new = await calls.post(port, '/v1/orders', order | {'fencing': 2})
        old = await calls.post(port, '/v1/orders', order | {'fencing': 1})
        state = await calls.get(port, '/v1/state')
    assert (new.status, old.status) == (200, status)
    assert state['adapters'] == ['a'] and state['fencing'] == 2


async def test_delayed_order_takes_effect_after_sender_left() -> None:
    order = {'order_id': 'o', 'kind': 'set_role', 'target': 'r', 'fencing': 1}
    async with engine(check_fencing=False) as port:
        await calls.set_faults(port, order_delay=0.3)
        with trio.move_on_after(0.1):
            await calls.post(port, '/v1/orders', order)
        newer = order | {'fencing': 2, 'target': 'newer'}
        await calls.set_faults(port, order_delay=0)
        await calls.post(port, '/v1/orders', newer)

        async def overwritten() -> bool:
            return bool((await calls.get(port, '/v1/state'))['role'] == 'r')

        await processes.wait_for(overwritten, 'the old order arrives')


async def test_cached_prefix_needs_no_prefill_until_evicted() -> None:
    async with engine(cache_blocks=4, cache_event_lag=0) as port:
        prompt = chat(1, text='x' * 4096)
        prefill = []
        other = chat(1, text='y' * 4096)
        for body in (prompt, prompt, other, prompt):
            await calls.post(port, CHAT_PATH, body)
            counts = await calls.get(port, '/control/counts')
            prefill.append(counts['prefill_tokens'])
        events = await calls.get(port, '/v1/cache/events?after=0')
    assert prefill[1] - prefill[0] < 256
    assert prefill[3] - prefill[2] > 1000
    assert len(events['events'][1]['removed']) == 4
