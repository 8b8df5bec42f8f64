"""Counts and times of the connections of a server."""

import trio

from corianderloft._internal.metrics import exposition
from corianderloft._internal.network import connection_stats
from corianderloft._internal.network import exchange
from corianderloft._internal.network import serving
from tests.lib import ports

LIMITS = serving.ServerLimits(
    max_connections=10,
    max_header_bytes=4096,
    idle_time=60.0,
    stalled_time=60.0,
)
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


async def _app(scope, receive, send):
    await exchange.Exchange(scope, receive, send).respond(200, b'answer')


async def test_connections_of_clients_that_have_gone_are_counted():
    """Guards against a host that serves only clients that have given up,
    while its metrics show nothing but accepted connections.
    """
    sock = serving.bind('127.0.0.1', ports.reserve())
    port = sock.getsockname()[1]
    gone = await trio.open_tcp_stream('127.0.0.1', port)
    await gone.send_all(REQUEST)
    await gone.aclose()
    present = await trio.open_tcp_stream('127.0.0.1', port)
    await present.send_all(REQUEST)
    await trio.sleep(0.2)
    info = connection_stats.socket_info(sock)
    assert info is not None and info.queued == 2

    async with trio.open_nursery() as nursery:
        server = serving.Server(_app, sock, LIMITS, port_name='counted')
        nursery.start_soon(server.serve, trio.Event())
        with trio.fail_after(10.0):
            assert b'answer' in await present.receive_some(65536)
            idle = 'corianderloft_connections{port="counted",use="idle"} 1'
            while idle not in (body := exposition.expose()[0].decode()):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()

    stats = connection_stats.PORTS['counted']
    assert stats.accepted == {False: 1, True: 1}
    fields = stats.take_log_fields()
    assert fields['gone'] == 1
    assert fields['longest_accept_s'] >= 0.1
    assert (
        'corianderloft_connections_accepted_total'
        '{client="gone",port="counted"} 1' in body
    )


def test_probes_that_connect_and_leave_are_no_shortage():
    """Guards against log lines on hosts with a check that only connects."""
    stats = connection_stats.ConnectionStats()
    for idle_s, is_short in ((0.001, False), (0.5, True)):
        stats.record_accepted(
            connection_stats.SocketInfo(True, 0, idle_s, False)
        )
        assert stats.connections_were_short() is is_short
