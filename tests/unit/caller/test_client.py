"""Tests of the client library with lost hosts, engines and connections.

They guard against tokens that are lost or repeated, and against calls that run
twice, when a connection breaks or stays silent.
"""

import contextlib
import typing

import pytest
import trio

import corianderloft
from tests.lib import engines
from tests.lib import entry
from tests.lib import raw_server
from tests.lib import relay

KEY = entry.KEYS['stables']
TEXT = ''.join(f't{n} \\nid: 99' for n in range(1, engines.TOKENS + 1))
CHAT = {'messages': [{'role': 'user', 'content': 'rug 7?'}]}
SLOW = {'silent_floor': 60.0}


class PausedStream:
    """Engine script that streams six tokens, then waits for ``resume``."""

    def __init__(self) -> None:
        self.resume = trio.Event()

    async def script(
        self, wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.tokens(seen.last_event_id + 1, 6)
        await self.resume.wait()
        await wire.tokens(max(6, seen.last_event_id) + 1, engines.TOKENS)
        await wire.done()


def seeds(*ports: int) -> list[corianderloft.Address]:
    return [corianderloft.Address('127.0.0.1', port) for port in ports]


def client(*ports: int, **cfg: typing.Any) -> corianderloft.Client:
    settings = corianderloft.ClientSettings(**cfg)
    return corianderloft.Client(seeds(*ports), KEY, settings)


@contextlib.asynccontextmanager
async def relayed_host(
    fixture: entry.Fixture, nursery: trio.Nursery
) -> typing.AsyncIterator[relay.TcpRelay]:
    """Put a TCP relay in front of a host, whose address is not listed."""
    fixture.shared.own = None
    tcp_relay = relay.TcpRelay(fixture.sockets.caller_port)
    await nursery.start(tcp_relay.run)
    yield tcp_relay


async def test_answer_contains_the_whole_text(nursery: trio.Nursery) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as fixture:
        async with client(1, fixture.sockets.caller_port) as caller:
            answer = await caller.chat('desk', 'quick', CHAT)
    assert isinstance(answer, corianderloft.ChatAnswer)
    assert (answer.text, answer.tokens) == (TEXT, engines.TOKENS)


@pytest.mark.parametrize('service', ['desk', 'absent'])
async def test_exception_propagates_out_of_the_block(
    service: str, nursery: trio.Nursery
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as fixture:
        with pytest.raises(SystemExit, match='^gave up$'):
            async with client(fixture.sockets.caller_port) as caller:
                await caller.chat(service, 'quick', CHAT)
                raise SystemExit('gave up')


async def test_looked_up_addresses_are_cached_and_used(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as first:
        async with entry.running_host(one) as second:
            first.shared.own = second.shared.own
            async with client(first.sockets.caller_port) as caller:
                for _ in range(3):
                    await caller.chat('desk', 'quick', CHAT)
    assert not first.dispatcher.grants
    assert len(second.dispatcher.grants) == 3
    assert (first.shared.address_queries, second.shared.address_queries) == (
        1,
        0,
    )


async def test_requests_of_a_draining_host_move_to_another(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as first:
        async with entry.running_host(one) as second:
            first.shared.own = second.shared.own = None
            ports = (first.sockets.caller_port, second.sockets.caller_port)
            async with client(*ports) as caller:
                first.stop.set()
                for _ in range(3):
                    answer = await caller.chat('desk', 'quick', CHAT)
                    assert isinstance(answer, corianderloft.ChatAnswer)


async def test_silent_connection_is_replaced(nursery: trio.Nursery) -> None:
    stream = PausedStream()
    engine, one = await engines.start(nursery, 'e1', stream.script)
    async with entry.running_host(one, backends=SLOW) as fixture:
        async with relayed_host(fixture, nursery) as tcp_relay:
            numbers = []
            async with client(tcp_relay.port, silence=0.3) as caller:
                async with caller.stream('desk', 'quick', CHAT) as items:
                    async for item in items:
                        assert isinstance(item, corianderloft.Event)
                        numbers.append(item.number)
                        if item.number == 6:
                            tcp_relay.silence_open()
                            stream.resume.set()
    assert numbers == list(range(1, engines.TOKENS + 1))
    # The rest came from the request that was still running.
    assert len(engine.seen) == 1


async def test_stream_of_a_killed_host_resumes_at_another(
    nursery: trio.Nursery,
) -> None:
    stream = PausedStream()
    _, one = await engines.start(nursery, 'e1', stream.script)
    async with (
        entry.running_host(one, backends=SLOW) as first,
        entry.running_host(one, backends=SLOW) as second,
        relayed_host(first, nursery) as tcp_relay,
    ):
        second.shared.own = None
        ports = (tcp_relay.port, second.sockets.caller_port)
        numbers = []
        async with client(*ports) as caller:
            async with caller.stream('desk', 'quick', CHAT) as items:
                async for item in items:
                    assert isinstance(item, corianderloft.Event), item
                    numbers.append(item.number)
                    if item.number == 6:
                        tcp_relay.cut()
                        stream.resume.set()
        assert numbers == list(range(1, engines.TOKENS + 1))
        assert len(second.dispatcher.grants) == 1


async def test_lost_response_of_a_booking_is_fetched_from_another_host(
    nursery: trio.Nursery,
) -> None:
    ran = trio.Event()

    async def books(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        ran.set()
        await wire.json(201, {'booked': True})

    till, one = await engines.start(nursery, 't1', books, 'till')
    async with (
        entry.running_host(one) as first,
        entry.running_host(one) as second,
        relayed_host(first, nursery) as tcp_relay,
    ):
        second.shared.own = None
        second.shared.claims = first.shared.claims
        tcp_relay.to_client.silence()
        ports = (tcp_relay.port, second.sockets.caller_port)
        async with client(*ports, first_silence=0.3) as caller:
            # Skip the address lookup, which the silent relay would delay.
            caller._book._fresh_until = float('inf')
            answer = await caller.call(
                'till', 'booking', 'POST', '/bookings', b'{}'
            )
    assert isinstance(answer, corianderloft.PlainAnswer)
    assert answer.status == 201
    assert ran.is_set()
    assert len(till.seen) == 1


async def test_refusal_is_returned_as_an_outcome(
    nursery: trio.Nursery,
) -> None:
    async with entry.running_host() as fixture:
        async with client(fixture.sockets.caller_port) as caller:
            refused = await caller.chat('desk', 'quick', CHAT)
            assert isinstance(refused, corianderloft.Refused)
            assert (refused.reason, refused.run) == ('no_backend', 'not_run')
            assert refused.retry_after == 1.5
            missing = await caller.call('x', 'quick', 'GET', '/')
            assert isinstance(missing, corianderloft.Refused)
            assert missing.reason == 'unknown_service'


async def test_unreachable_hosts_are_returned_as_an_outcome() -> None:
    async with client(1) as caller:
        answer = await caller.chat('desk', 'quick', CHAT)
        called = await caller.call('till', 'booking', 'POST', '/')
    for outcome in (answer, called):
        assert isinstance(outcome, corianderloft.Unreachable)
        assert outcome.run == 'not_run'


async def test_answer_that_may_have_run_is_not_generated_again(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.silent_after(0))
    async with entry.running_host(one, backends=SLOW) as fixture:
        fixture.shared.own = None
        port = fixture.sockets.caller_port
        async with client(port, first_silence=0.3) as caller:
            answer = await caller.chat('desk', 'quick', CHAT, idempotent=False)
    assert isinstance(answer, corianderloft.Unreachable)
    assert answer.run == 'unknown'
    assert len(engine.seen) == 1


@pytest.mark.parametrize(
    ('framing', 'is_whole'), [(b'Content-Length: 4\r\n', True), (b'', False)]
)
async def test_a_response_without_a_length_is_no_answer(
    nursery: trio.Nursery, framing: bytes, is_whole: bool
) -> None:
    # Hosts frame whole responses: one that ends with its connection is cut.
    raw = b'HTTP/1.1 200 OK\r\n' + framing + b'\r\npart'
    server = raw_server.RawServer(raw, reads_body=True)
    await nursery.start(server.serve)
    async with client(server.port) as caller:
        # The server answers no address lookup.
        caller._book._fresh_until = float('inf')
        answer = await caller.call('till', 'booking', 'POST', '/', b'{}')
    assert isinstance(answer, corianderloft.PlainAnswer) == is_whole
    if not is_whole:
        assert isinstance(answer, corianderloft.Unreachable)
        assert answer.run == 'unknown'
