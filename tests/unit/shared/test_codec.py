"""Tests for the encoding, signing and transport of messages."""

import hypothesis
from hypothesis import strategies

from corianderloft._internal.models import states
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.peers import codec
from corianderloft._internal.shared.peers import keys
from corianderloft._internal.shared.peers import messages
from corianderloft._internal.shared.peers import transport

OLD_KEY = (1, b'old secret')
NEW_KEY = (2, b'new secret')
HOST = interface.Host(
    'h1', 7, '127.0.0.1', 80, 81, 'fd-1', states.HostState.SUSPECT
)
PING = messages.Datagram(
    messages.DatagramKind.PING,
    'h1',
    7,
    3,
    'h2',
    11,
    12,
    0.5,
    2**63,
    (HOST,),
    (messages.BackendNote('e1', 1.5),),
)


def make_codec(*ring):
    return codec.Codec(keys.KeyRing(ring))


def test_datagram_round_trip():
    raw = make_codec(OLD_KEY).encode_datagram(PING)
    assert make_codec(OLD_KEY).decode_datagram(raw) == PING


def test_key_rotation():
    raw = make_codec(NEW_KEY, OLD_KEY).encode_datagram(PING)
    assert make_codec(OLD_KEY, NEW_KEY).decode_datagram(raw) == PING
    assert make_codec(OLD_KEY).decode_datagram(raw) == messages.Undecodable(
        messages.DecodeFault.UNKNOWN_KEY
    )
    assert make_codec((2, b'guess')).decode_datagram(
        raw
    ) == messages.Undecodable(messages.DecodeFault.WRONG_DIGEST)


@hypothesis.given(
    strategies.integers(0, 200),
    strategies.integers(1, 255),
    strategies.binary(),
)
def test_corrupted_bytes_raise_no_exception(position, mask, junk):
    raw = bytearray(make_codec(OLD_KEY).encode_datagram(PING))
    raw[position % len(raw)] ^= mask
    for corrupted in (bytes(raw), bytes(raw)[: position % len(raw)], junk):
        decoded = make_codec(OLD_KEY).decode_datagram(corrupted)
        assert decoded == PING or isinstance(decoded, messages.Undecodable)


async def test_fetch_over_sockets(nursery):
    entries = tuple(
        mirror.Entry(f'k{n}', b'v' * 100_000 if n else None, n + 1)
        for n in range(10)
    )
    fetched = messages.Fetched(mirror.Delta(10, entries, True), (HOST,))
    server = await transport.open_transport(
        '127.0.0.1', 0, make_codec(OLD_KEY)
    )
    nursery.start_soon(server.serve, lambda fetch: fetched)
    client = await transport.open_transport(
        '127.0.0.1', 0, make_codec(OLD_KEY)
    )
    fetch = messages.Fetch(messages.FetchKind.VIEW, 5)
    assert await client.fetch(server.address, fetch) == fetched
    await client.send(server.address, PING)
    assert await server.receive() == (client.address, PING)
    nursery.cancel_scope.cancel()
