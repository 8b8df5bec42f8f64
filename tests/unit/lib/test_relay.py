"""The TCP and UDP relays that inject network faults."""

import trio
import trio.testing

from tests.lib import relay


async def test_datagrams_pass_unless_a_direction_is_silenced(
    nursery: trio.Nursery,
) -> None:
    target = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    source = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    with target, source:
        await target.bind(('127.0.0.1', 0))
        await source.bind(('127.0.0.1', 0))
        network_relay = relay.UdpRelay(target.getsockname()[1])
        await nursery.start(network_relay.run)
        front = ('127.0.0.1', network_relay.port)
        network_relay.to_target.silence()
        await source.sendto(b'lost', front)
        await trio.testing.wait_all_tasks_blocked(0.05)
        network_relay.to_target.restore()
        await source.sendto(b'ping', front)
        data, back = await target.recvfrom(100)
        assert data == b'ping'
        await target.sendto(b'pong', back)
        assert (await source.recvfrom(100))[0] == b'pong'


async def test_silenced_connections_stay_open_and_new_ones_work(
    nursery: trio.Nursery,
) -> None:
    async def echo(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    listeners = await nursery.start(trio.serve_tcp, echo, 0)
    network_relay = relay.TcpRelay(listeners[0].socket.getsockname()[1])
    await nursery.start(network_relay.run)
    old = await trio.open_tcp_stream('127.0.0.1', network_relay.port)
    await old.send_all(b'a')
    assert await old.receive_some(1) == b'a'
    network_relay.silence_open()
    await old.send_all(b'b')
    new = await trio.open_tcp_stream('127.0.0.1', network_relay.port)
    await new.send_all(b'c')
    assert await new.receive_some(1) == b'c'
    with trio.move_on_after(0.1) as scope:
        await old.receive_some(1)
    assert scope.cancelled_caught
    nursery.cancel_scope.cancel()
