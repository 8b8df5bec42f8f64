"""Engine processes that are killed while they send streams without a length.

The kernel closes their connections, mostly between two events, and the
listening socket last. A stream then looked complete to its caller.
"""

import collections

import trio

from tests.lib import engine_process
from tests.lib import gateway
from tests.lib import processes

Entry = collections.namedtuple('Entry', ['engine_id', 'port'])

STREAMS = 12
PAUSE_S = 0.05


def _event_ids(response):
    return [
        int(line.removeprefix(b'id: '))
        for line in response.body.split(b'\n')
        if line.startswith(b'id: ')
    ]


async def _start_engine(system, started, number):
    engine_id = f'p-{number}'
    process = await started.start(
        '-m',
        'tests.lib.engine_process',
        engine_id,
        'unframed_stream',
        str(PAUSE_S),
    )
    system.register(Entry(engine_id, process.port))
    return process


async def _is_listed(system):
    response = await system.request('GET', '/look/1')
    return response.status != 503


async def _ask(system, target, responses):
    responses.append(
        await system.request('POST', target, deadline_ms=8000, timeout_s=9.0)
    )


async def _streams_of_killed_engine(route, engines):
    """Return the responses to streams one of whose engines is killed."""
    responses = []
    async with (
        processes.running() as started,
        gateway.running(()) as system,
    ):
        running = [
            await _start_engine(system, started, number)
            for number in range(engines)
        ]

        await processes.wait_for(
            lambda: _is_listed(system), 'the host knows the engines'
        )
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                target = f'{route}{number}'
                nursery.start_soon(_ask, system, target, responses)
                await trio.sleep(PAUSE_S / 4)
            await trio.sleep(8 * PAUSE_S)
            running[0].kill()
    return responses


def _check(responses):
    assert len(responses) == STREAMS
    for response in responses:
        ids = _event_ids(response)
        assert ids == list(range(len(ids)))
        assert response.complete == (len(ids) == engine_process.EVENTS)


async def test_stream_of_a_killed_engine_does_not_look_complete():
    responses = await _streams_of_killed_engine('/chat/', 1)
    _check(responses)
    assert not any(response.complete for response in responses)


async def test_stream_of_a_killed_engine_resumes_elsewhere():
    responses = await _streams_of_killed_engine('/quote/', 2)
    _check(responses)
    assert all(response.complete for response in responses)
