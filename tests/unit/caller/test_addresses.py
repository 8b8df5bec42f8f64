"""Tests of the address book, in virtual time."""

import orjson
import trio

from corianderloft._internal.caller import addresses

ONE, TWO, SEED = (addresses.Address('10.0.0.1', n) for n in (1, 2, 3))


class Hosts:
    """Hosts that answer, or do not."""

    def __init__(self) -> None:
        self.asked: list[addresses.Address] = []
        self.silent: set[addresses.Address] = set()
        self.known = [ONE, TWO]

    async def ask(
        self, address: addresses.Address, target: bytes
    ) -> bytes | None:
        self.asked.append(address)
        if address in self.silent:
            return None
        listed = [
            {'address': known.address, 'port': known.port}
            for known in self.known
        ]
        return orjson.dumps({'addresses': listed, 'ttl_s': 10.0})

    def book(self) -> addresses.AddressBook:
        return addresses.AddressBook([SEED], 'cairo-1', 5.0, self.ask)


async def test_answer_is_kept_for_its_time_to_live(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = Hosts()
    book = hosts.book()
    for _ in range(3):
        assert await book.current() == [ONE, TWO, SEED]
    assert hosts.asked == [SEED]
    await trio.sleep(10)
    await book.current()
    assert hosts.asked == [SEED, ONE]


async def test_failed_host_is_last_for_a_while(
    autojump_clock: trio.testing.MockClock,
) -> None:
    book = Hosts().book()
    await book.current()
    book.failed(ONE)
    assert await book.current() == [TWO, SEED, ONE]
    await trio.sleep(5)
    assert await book.current() == [ONE, TWO, SEED]


async def test_addresses_are_asked_for_anew_when_all_failed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = Hosts()
    book = hosts.book()
    await book.current()
    hosts.known = [TWO]
    book.failed(ONE)
    book.failed(TWO)
    assert (await book.current())[0] == SEED
    assert hosts.asked == [SEED, SEED]


async def test_old_answer_remains_when_no_host_answers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = Hosts()
    book = hosts.book()
    await book.current()
    await trio.sleep(11)
    hosts.silent = {ONE, TWO, SEED}
    assert await book.current() == [ONE, TWO, SEED]
