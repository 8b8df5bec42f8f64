"""Streams through hosts that are killed or told twice to leave."""

import typing

import trio

import corianderloft
from tests.lib import processes
from tests.lib import system as whole

TOKENS = 60
BODY = {
    'messages': [{'role': 'user', 'content': f'rug 7 [tokens:{TOKENS}]'}],
    'seed': 7,
}


def client(system: whole.System, *host_ids: str) -> corianderloft.Client:
    seeds = [
        corianderloft.Address(
            whole.ADDRESS, system.hosts[host_id].announced['caller_port']
        )
        for host_id in host_ids
    ]
    key = f'clk_example_{whole.WORKSPACE}'
    settings = corianderloft.ClientSettings(silence=8.0)
    return corianderloft.Client(seeds, key, settings)


async def numbers_of(
    items: typing.AsyncIterator[typing.Any], act: typing.Any
) -> list[int]:
    """Read a stream; ``act`` once token 10 is there."""
    numbers: list[int] = []
    async for item in items:
        assert isinstance(item, corianderloft.Event), item
        numbers.append(item.number)
        if item.number == 10:
            await act()
    return numbers


async def test_host_killed_in_mid_stream() -> None:
    async with whole.running() as system:

        async def kill_the_host() -> None:
            system.hosts['host-1'].kill()

        async with client(system, 'host-1', 'host-2') as caller:
            # Until addresses are asked for again, only seeds are known.
            caller._book._fresh_until = float('inf')
            async with caller.stream(
                whole.MODEL_SERVICE, 'groom-answer', BODY
            ) as items:
                numbers = await numbers_of(items, kill_the_host)
    assert sorted(set(numbers)) == list(range(1, TOKENS + 1))
    assert len(numbers) == TOKENS + 1


async def test_second_sigterm_ends_a_host_within_its_bound() -> None:
    brief = {'shortened_drain_time': 0.1}
    async with whole.running(hosts=1, callers=brief) as system:
        host = system.hosts['host-1']
        answers = []
        port = host.announced['operator_port']

        async def leaving() -> bool:
            health = await whole.calls.get(port, '/healthz')
            return str(health['state']) == 'leaving'

        async def stream() -> None:
            answer = await system.chat(
                'host-1', 'hello [tokens:400]', stream=True
            )
            answers.append(answer.content)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await processes.wait_for(
                lambda: system.running_on_engines(), 'the answer runs'
            )
            host.terminate()
            await processes.wait_for(leaving, 'the host leaves')
            host.terminate()
            assert await host.wait_ended() == 0
    assert b'event: error' in answers[0]
    assert b'"reason":"draining","run":"ran"' in answers[0]
