"""Streams through hosts that are killed or get SIGTERM twice."""

import typing

import trio

import corianderloft
from tests.lib import processes
from tests.lib import system as systems

TOKENS = 60
BODY = {
    'messages': [{'role': 'user', 'content': f'rug 7 [tokens:{TOKENS}]'}],
    'seed': 7,
}


def client(system: systems.System, *host_ids: str) -> corianderloft.Client:
    seeds = [
        corianderloft.Address(
            systems.ADDRESS, system.hosts[host_id].announced['caller_port']
        )
        for host_id in host_ids
    ]
    key = f'clk_example_{systems.WORKSPACE}'
    settings = corianderloft.ClientSettings(silence=8.0)
    return corianderloft.Client(seeds, key, settings)


async def token_numbers(
    items: typing.AsyncIterator[typing.Any], act: typing.Any
) -> list[int]:
    """Return the token numbers of a stream; call ``act`` at token 10."""
    numbers: list[int] = []
    async for item in items:
        assert isinstance(item, corianderloft.Event), item
        numbers.append(item.number)
        if item.number == 10:
            await act()
    return numbers


async def test_host_killed_mid_stream() -> None:
    async with systems.running() as system:

        async def kill_the_host() -> None:
            system.hosts['host-1'].kill()

        async with client(system, 'host-1', 'host-2') as caller:
            # Prevents an address refresh, so that the client knows the seeds
            # only.
            caller._book._fresh_until = float('inf')
            async with caller.stream(
                systems.MODEL_SERVICE, 'groom-answer', BODY
            ) as items:
                numbers = await token_numbers(items, kill_the_host)
    assert sorted(set(numbers)) == list(range(1, TOKENS + 1))
    assert len(numbers) == TOKENS + 1


async def test_second_sigterm_shortens_the_drain() -> None:
    short_drain = {'shortened_drain_time': 0.1}
    async with systems.running(hosts=1, callers=short_drain) as system:
        host = system.hosts['host-1']
        answers = []
        port = host.announced['operator_port']

        async def leaving() -> bool:
            health = await systems.calls.get(port, '/healthz')
            return str(health['state']) == 'leaving'

        async def stream() -> None:
            answer = await system.chat(
                'host-1', 'hello [tokens:400]', stream=True
            )
            answers.append(answer.content)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await processes.wait_for(
                lambda: system.running_on_engines(),
                'an engine runs the request',
            )
            host.terminate()
            await processes.wait_for(leaving, 'the host is draining')
            host.terminate()
            assert await host.wait_ended() == 0
    assert b'event: error' in answers[0]
    assert b'"reason":"draining","run":"ran"' in answers[0]
