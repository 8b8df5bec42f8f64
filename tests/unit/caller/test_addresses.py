"""Tests of the address book, in virtual time."""

import orjson
import trio

from corianderloft._internal.caller import addresses

ONE, TWO, SEED = (addresses.Address('10.0.0.1', n) for n in (1, 2, 3))


class Hosts:
    """Entry hosts that respond to lookups unless they are silent."""

    def __init__(self) -> None:
        self.lookups: list[addresses.Address] = []
        self.silent: set[addresses.Address] = set()
        self.known = [ONE, TWO]

    async def fetch(
        self, address: addresses.Address, target: bytes
    ) -> bytes | None:
        self.lookups.append(address)
        if address in self.silent:
            return None
        listed = [
            {'address': known.address, 'port': known.port}
            for known in self.known
        ]
        return orjson.dumps({'addresses': listed, 'ttl_s': 10.0})

    def book(self) -> addresses.AddressBook:
        return addresses.AddressBook([SEED], 'cairo-1', 5.0, self.fetch)


async def test_lookup_is_cached_for_its_ttl(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = Hosts()
    book = hosts.book()
    for _ in range(3):
        assert await book.current() == [ONE, TWO, SEED]
    assert hosts.lookups == [SEED]
    await trio.sleep(10)
    await book.current()
    assert hosts.lookups == [SEED, ONE]


async def test_failed_host_is_last_during_its_penalty(
    autojump_clock: trio.testing.MockClock,
) -> None:
    book = Hosts().book()
    await book.current()
    book.mark_failed(ONE)
    assert await book.current() == [TWO, SEED, ONE]
    await trio.sleep(5)
    assert await book.current() == [ONE, TWO, SEED]


async def test_addresses_are_looked_up_again_when_all_failed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = Hosts()
    book = hosts.book()
    await book.current()
    hosts.known = [TWO]
    book.mark_failed(ONE)
    book.mark_failed(TWO)
    assert (await book.current())[0] == SEED
    assert hosts.lookups == [SEED, SEED]


async def test_old_addresses_are_used_when_no_host_responds(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = Hosts()
    book = hosts.book()
    await book.current()
    await trio.sleep(11)
    hosts.silent = {ONE, TWO, SEED}
    assert await book.current() == [ONE, TWO, SEED]
