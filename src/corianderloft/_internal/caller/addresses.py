"""Which entry hosts to use: asked, kept for a while, best first."""

import collections.abc
import dataclasses
import typing
import urllib.parse

import orjson
import trio

MIN_TTL = 0.5
"""Least time that an answer is kept, in seconds."""


@dataclasses.dataclass(frozen=True)
class Address:
    """Where an entry host takes callers: IP number and TCP port."""

    address: str
    port: int


Ask = collections.abc.Callable[
    [Address, bytes], collections.abc.Awaitable[bytes | None]
]


class AddressBook:
    """Addresses of entry hosts.

    Parameters
    ----------
    seeds : sequence of Address
        Hosts to ask first.
    failure_domain : str or None
        Preferred failure domain.
    penalty_time : float
        Time for which a host that failed is asked last, in seconds.
    ask : callable
        Returns the body that a host serves at a path, or None.
    """

    def __init__(
        self,
        seeds: collections.abc.Sequence[Address],
        failure_domain: str | None,
        penalty_time: float,
        ask: Ask,
    ) -> None:
        self._seeds = tuple(seeds)
        self._penalty_time = penalty_time
        self._ask = ask
        self._known: tuple[Address, ...] = ()
        self._fresh_until = -1.0
        self._failed: dict[Address, float] = {}
        self._asking = trio.Lock()
        self._target = b'/v1/addresses'
        if failure_domain is not None:
            query = urllib.parse.urlencode({'failure_domain': failure_domain})
            self._target += b'?' + query.encode('ascii')

    async def current(self) -> list[Address]:
        """Return the addresses to use, best first.

        An answer is kept for its time to live. When no host answers, the
        last known addresses and the seeds remain.
        """
        async with self._asking:
            if trio.current_time() >= self._fresh_until:
                await self._refresh()
        return self._ordered()

    def failed(self, address: Address) -> None:
        """Note that a host could not be reached, or refused as leaving."""
        self._failed[address] = trio.current_time() + self._penalty_time
        if set(self._known) <= set(self._failed):
            self._fresh_until = -1.0

    def _ordered(self) -> list[Address]:
        now = trio.current_time()
        self._failed = {a: t for a, t in self._failed.items() if t > now}
        candidates = dict.fromkeys((*self._known, *self._seeds))
        return sorted(candidates, key=lambda address: address in self._failed)

    async def _refresh(self) -> None:
        for address in self._ordered():
            body = await self._ask(address, self._target)
            answer = None if body is None else _parsed(body)
            if answer is not None:
                self._known, ttl = answer
                self._fresh_until = trio.current_time() + max(MIN_TTL, ttl)
                return
            self._failed[address] = trio.current_time() + self._penalty_time


def _parsed(body: bytes) -> tuple[tuple[Address, ...], float] | None:
    try:
        answer: typing.Any = orjson.loads(body)
        known = tuple(
            Address(str(item['address']), int(item['port']))
            for item in answer['addresses']
        )
        return known, float(answer['ttl_s'])
    except (ValueError, KeyError, TypeError):
        return None
