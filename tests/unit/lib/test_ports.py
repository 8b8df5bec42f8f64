"""Reserved ports are used by the programs of one test only."""

import socket

import pytest
import trio
import trio.testing

from tests.lib import ports
from tests.lib import relay


def test_a_reserved_port_is_not_free_for_others():
    port = ports.reserve()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(('127.0.0.1', port))


async def test_programs_listen_on_a_reserved_port_again_and_again():
    port = ports.reserve()
    for _ in range(2):
        listeners = await trio.open_tcp_listeners(port, host='127.0.0.1')
        async with listeners[0]:
            async with await trio.open_tcp_stream('127.0.0.1', port):
                pass


async def test_a_relay_that_is_cut_keeps_its_port():
    way = relay.TcpRelay(ports.reserve())
    async with trio.open_nursery() as nursery:
        await nursery.start(way.run)
        way.cut()
        await trio.testing.wait_all_tasks_blocked()
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(('127.0.0.1', way.port))
        nursery.cancel_scope.cancel()
