"""Open connections go silent for good while new ones work."""

import collections.abc
import contextlib

import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import processes
from tests.lib import relay
from tests.lib import streams
from tests.lib import system as whole

QUICK_SILENCE = {'silent_gaps': 10.0, 'silent_floor': 0.5}
STREAMS = 8


@contextlib.asynccontextmanager
async def relayed(port: int) -> collections.abc.AsyncGenerator[relay.TcpRelay]:
    """Give a relay to a port on loopback."""
    between = relay.TcpRelay(port)
    async with trio.open_nursery() as nursery:
        await nursery.start(between.run)
        yield between
        nursery.cancel_scope.cancel()


async def test_silence_between_host_and_engine_cuts_no_answer() -> None:
    async with whole.running(1, 1, backends=QUICK_SILENCE) as system:
        port = system.backends['engine-1'].port
        async with relayed(port) as between:
            await system.list_backend(
                'engine-1',
                whole.MODEL_SERVICE,
                'ravi-cloud',
                port=between.port,
            )

            async def through_relay() -> bool:
                await system.chat('host-1', 'probe [tokens:1]')
                return between.accepted > 0

            await processes.wait_for(through_relay, 'the relay is in use')
            contents = [f'question {n} [tokens:60]' for n in range(STREAMS)]
            wanted = await streams.expected_all(system, 'engine-1', contents)
            answers: list[streams.Streamed] = []

            async def ask() -> None:
                answers.extend(
                    await streams.stream_all(system, 'host-1', contents)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await processes.wait_for(
                    system.running_on_engines, 'answers run'
                )
                between.silence_open()
    assert [a.text for a in answers] == wanted
    assert all(a.done for a in answers)


async def test_silence_between_host_and_service_hides_no_change() -> None:
    async with whole.running(1, 1) as system:
        async with relayed(system.kv.port) as between:
            url = f'http://{whole.ADDRESS}:{between.port}'
            await system.add_host('host-2', kv={'endpoint': url})
            await system.served('host-2')
            system.hosts['host-1'].kill()
            between.silence_open()
            renamed = system.edited({'groom-answer': 'gate-answer'})
            applied = await system.apply(renamed)
            assert applied.code is exit_codes.ExitCode.OK, applied

            async def in_force() -> bool:
                reply = await system.chat('host-2', class_name='gate-answer')
                return reply.status == 200

            await processes.wait_for(in_force, 'the change is in force')
