"""Reserved ports are not assigned to other programs.

Otherwise a program of another test could take the port of a host while that
host restarts.
"""

import socket

import pytest
import trio
import trio.testing

from tests.lib import ports
from tests.lib import relay


def test_reserved_port_cannot_be_bound_by_others():
    port = ports.reserve()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(('127.0.0.1', port))


async def test_reserved_port_can_be_listened_on_repeatedly():
    port = ports.reserve()
    for _ in range(2):
        listeners = await trio.open_tcp_listeners(port, host='127.0.0.1')
        async with listeners[0]:
            async with await trio.open_tcp_stream('127.0.0.1', port):
                pass


async def test_cut_relay_keeps_its_port():
    tcp_relay = relay.TcpRelay(ports.reserve())
    async with trio.open_nursery() as nursery:
        await nursery.start(tcp_relay.run)
        tcp_relay.cut()
        await trio.testing.wait_all_tasks_blocked()
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(('127.0.0.1', tcp_relay.port))
        nursery.cancel_scope.cancel()
