"""Requests end to end, through separate processes."""

import functools

import orjson
import trio

from tests.lib import processes
from tests.lib import system as systems

LONG = 'hello [tokens:350]'
DONE = b'data: [DONE]\n\n'


async def _lists_ports(system: systems.System, ports: set[int]) -> bool:
    return await system.addresses('host-1') == ports


async def test_a_request_is_served_end_to_end() -> None:
    async with systems.running() as system:
        ports = {system.port(host_id) for host_id in system.hosts}
        await processes.wait_for(
            functools.partial(_lists_ports, system, ports),
            'all hosts are listed',
        )
        plain = await system.chat('host-2')
        message = orjson.loads(plain.content)['choices'][0]['message']
        streamed = await system.chat('host-1', stream=True)
        events = streamed.content.split(b'\n\n')
        data = [e.partition(b'data: ')[2] for e in events]
        assert data[-2] == b'[DONE]'
        deltas = [orjson.loads(d)['choices'][0] for d in data[:-2]]
        text = ''.join(d['delta'].get('content', '') for d in deltas)
        assert text == message['content']
        booked = await system.book('host-1', 'b1', 'k1')
        assert orjson.loads(booked.content)['runs'] == 1


async def test_sigterm_drains_without_cutting_a_stream() -> None:
    async with systems.running(peers={'answer_ttl_s': 0.5}) as system:
        leaving = system.hosts['host-1']
        completed = []

        async def long_answer() -> None:
            answer = await system.chat('host-1', LONG, stream=True)
            completed.append(answer.content.endswith(DONE))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(long_answer)
            await processes.wait_for(
                lambda: system.running_on_engines(),
                'an engine runs the request',
            )
            leaving.terminate()
        assert completed == [True]
        assert await leaving.wait_ended() == 0
