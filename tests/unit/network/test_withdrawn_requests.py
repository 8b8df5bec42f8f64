"""Requests whose server left while the host connected to it."""

import pytest
import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.network import connections
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.settings import backends
from tests.unit.network import test_turns


@pytest.mark.parametrize('reused', [False, True])
async def test_nothing_is_sent_to_a_server_that_left_meanwhile(
    nursery, reused
):
    received, ended = [], trio.Event()

    async def serve(stream):
        async for data in stream:
            received.append(data)
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            )
        ended.set()

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    monitor = silence.SilenceMonitor()
    nursery.start_soon(monitor.run)
    pool = connections.Connections(backends.BackendSettings())

    def exchange(accepts):
        return outbound.Outbound(
            pool,
            monitor,
            test_turns.Peer('127.0.0.1', port),
            'engine',
            5.0,
            lambda: accepts,
        )

    message = outbound.Message('POST', b'/', [], b'body')
    if reused:
        first = exchange(True)
        assert (await first.send(message, 5.0)).status == 200
        await first.read_all(10, 5.0)
        await first.close()
        received.clear()
    second = exchange(False)
    failure = await second.send(message, 5.0)
    await second.close()
    assert failure.end is interface.AttemptEnd.CONNECT_FAILED
    assert not failure.may_have_run
    await pool.close()
    await ended.wait()
    assert not received
