"""Lookup and ordering of the addresses of entry hosts."""

import collections.abc
import dataclasses
import typing
import urllib.parse

import orjson
import trio

MIN_TTL_S = 0.5
"""Minimum time that a lookup result is cached, in seconds."""


@dataclasses.dataclass(frozen=True)
class Address:
    """IP address and TCP port of an entry host for callers."""

    address: str
    port: int


Fetch = collections.abc.Callable[
    [Address, bytes], collections.abc.Awaitable[bytes | None]
]


class AddressBook:
    """Cached addresses of entry hosts, in order of preference.

    Parameters
    ----------
    seeds : sequence of Address
        Hosts for the first lookup.
    failure_domain : str or None
        Preferred failure domain.
    penalty_time : float
        Time for which a failed host is tried last, in seconds.
    fetch : callable
        Returns the response body of a host for a path, or None.
    """

    def __init__(
        self,
        seeds: collections.abc.Sequence[Address],
        failure_domain: str | None,
        penalty_time: float,
        fetch: Fetch,
    ) -> None:
        self._seeds = tuple(seeds)
        self._penalty_time = penalty_time
        self._fetch = fetch
        self._known: tuple[Address, ...] = ()
        self._fresh_until = -1.0
        self._penalized_until: dict[Address, float] = {}
        self._refresh_lock = trio.Lock()
        self._target = b'/v1/addresses'
        if failure_domain is not None:
            query = urllib.parse.urlencode({'failure_domain': failure_domain})
            self._target += b'?' + query.encode('ascii')

    async def current(self) -> list[Address]:
        """Return the addresses to use, best first.

        A lookup result is cached for its TTL. If no host responds, the last
        known addresses and the seeds are returned.
        """
        async with self._refresh_lock:
            if trio.current_time() >= self._fresh_until:
                await self._refresh()
        return self._ordered()

    def mark_failed(self, address: Address) -> None:
        """Penalize a host that could not be reached or refused a request."""
        self._penalized_until[address] = (
            trio.current_time() + self._penalty_time
        )
        if set(self._known) <= set(self._penalized_until):
            self._fresh_until = -1.0

    def _ordered(self) -> list[Address]:
        now = trio.current_time()
        self._penalized_until = {
            address: until
            for address, until in self._penalized_until.items()
            if until > now
        }
        candidates = dict.fromkeys((*self._known, *self._seeds))
        return sorted(
            candidates, key=lambda address: address in self._penalized_until
        )

    async def _refresh(self) -> None:
        for address in self._ordered():
            body = await self._fetch(address, self._target)
            answer = None if body is None else _parse(body)
            if answer is not None:
                self._known, ttl = answer
                self._fresh_until = trio.current_time() + max(MIN_TTL_S, ttl)
                return
            self._penalized_until[address] = (
                trio.current_time() + self._penalty_time
            )


def _parse(body: bytes) -> tuple[tuple[Address, ...], float] | None:
    try:
        answer: typing.Any = orjson.loads(body)
        known = tuple(
            Address(str(item['address']), int(item['port']))
            for item in answer['addresses']
        )
        return known, float(answer['ttl_s'])
    except (ValueError, KeyError, TypeError):
        return None
