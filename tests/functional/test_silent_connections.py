"""Established connections lose all data while new connections work.

The socket reports no error in this case, so a host has to detect the silence
itself.
"""

import collections.abc
import contextlib

import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import processes
from tests.lib import relay
from tests.lib import streams
from tests.lib import system as systems

SHORT_SILENCE_TIMEOUTS = {'silent_gaps': 10.0, 'silent_floor': 0.5}
STREAMS = 8


@contextlib.asynccontextmanager
async def relayed(port: int) -> collections.abc.AsyncGenerator[relay.TcpRelay]:
    """Run a relay to a loopback port."""
    tcp_relay = relay.TcpRelay(port)
    async with trio.open_nursery() as nursery:
        await nursery.start(tcp_relay.run)
        yield tcp_relay
        nursery.cancel_scope.cancel()


async def test_silent_engine_connections_truncate_no_answer() -> None:
    async with systems.running(
        1, 1, backends=SHORT_SILENCE_TIMEOUTS
    ) as system:
        port = system.backends['engine-1'].port
        async with relayed(port) as tcp_relay:
            await system.register_backend(
                'engine-1',
                systems.MODEL_SERVICE,
                'ravi-cloud',
                port=tcp_relay.port,
            )

            async def through_relay() -> bool:
                await system.chat('host-1', 'probe [tokens:1]')
                return tcp_relay.accepted > 0

            await processes.wait_for(through_relay, 'the relay is in use')
            contents = [f'question {n} [tokens:60]' for n in range(STREAMS)]
            expected_texts = await streams.expected_all(
                system, 'engine-1', contents
            )
            answers: list[streams.StreamedAnswer] = []

            async def stream_answers() -> None:
                answers.extend(
                    await streams.stream_all(system, 'host-1', contents)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream_answers)
                await processes.wait_for(
                    system.running_on_engines, 'an engine runs a request'
                )
                tcp_relay.silence_open()
    assert [a.text for a in answers] == expected_texts
    assert all(a.done for a in answers)


async def test_change_arrives_despite_silent_store_connections() -> None:
    async with systems.running(1, 1) as system:
        async with relayed(system.kv.port) as tcp_relay:
            url = f'http://{systems.ADDRESS}:{tcp_relay.port}'
            await system.add_host('host-2', kv={'endpoint': url})
            await system.wait_serving('host-2')
            system.hosts['host-1'].kill()
            tcp_relay.silence_open()
            renamed = system.edited_declarations(
                {'groom-answer': 'gate-answer'}
            )
            applied = await system.apply(renamed)
            assert applied.code is exit_codes.ExitCode.OK, applied

            async def in_force() -> bool:
                reply = await system.chat('host-2', class_name='gate-answer')
                return reply.status == 200

            await processes.wait_for(in_force, 'the change is in force')
