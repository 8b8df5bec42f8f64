"""Address lookup and connection pool of one caller."""

import collections
import collections.abc
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.load import workload
from corianderloft._internal.network import streams

LOOKUP_TIMEOUT_S = 2.0
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)
"""Exceptions raised when a connection fails or times out."""


class AddressBook:
    """Looked-up addresses and idle connections of one caller.

    Parameters
    ----------
    entry_hosts : sequence of Endpoint
        Entry hosts to look addresses up at, in the order in which this
        caller tries them.
    look_up : bool
        Whether to look addresses up; otherwise ``entry_hosts`` are used
        directly.
    """

    def __init__(
        self,
        entry_hosts: collections.abc.Sequence[workload.Endpoint],
        look_up: bool,
    ) -> None:
        self._entry_hosts = tuple(entry_hosts)
        self._look_up = look_up
        self._addresses: tuple[workload.Endpoint, ...] = ()
        self._valid_until = 0.0
        self._lock = trio.Lock()
        self._idle: dict[
            workload.Endpoint, list[httpcore.AsyncHTTPConnection]
        ] = collections.defaultdict(list)

    async def endpoints(self) -> tuple[workload.Endpoint, ...]:
        """Return the endpoints to try, best first."""
        if not self._look_up:
            return self._entry_hosts
        async with self._lock:
            if not self._addresses or trio.current_time() >= self._valid_until:
                await self._refresh()
        return self._addresses or self._entry_hosts

    def invalidate(self) -> None:
        """Discard the addresses so that the next call looks them up again.

        Called when an address could not be reached.
        """
        self._addresses = ()

    async def _refresh(self) -> None:
        for endpoint in self._entry_hosts:
            listed = await _fetch_addresses(endpoint)
            if listed is None:
                continue
            endpoints = [
                workload.loopback_endpoint(f"{row['address']}:{row['port']}")
                for row in listed['addresses']
            ]
            self._addresses = tuple(
                item
                for item in endpoints
                if isinstance(item, workload.Endpoint)
            )
            self._valid_until = trio.current_time() + float(listed['ttl_s'])
            if self._addresses:
                return

    def acquire(
        self, endpoint: workload.Endpoint
    ) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection, or a new one that is not connected."""
        idle = self._idle[endpoint]
        while idle:
            conn = idle.pop()
            if conn.is_available() and not conn.has_expired():
                return conn
        return streams.HttpConnection(_url(endpoint).origin)

    def release(
        self, endpoint: workload.Endpoint, conn: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keep a connection whose response has been read completely."""
        if conn.is_available():
            self._idle[endpoint].append(conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().aclose()


async def _fetch_addresses(
    endpoint: workload.Endpoint,
) -> dict[str, typing.Any] | None:
    """Fetch addresses from one host; None if that fails."""
    try:
        body = await get_json(endpoint, '/v1/addresses')
    except CONNECTION_ERRORS:
        return None
    if not isinstance(body, dict) or 'addresses' not in body:
        return None
    return body


async def get_json(endpoint: workload.Endpoint, path: str) -> typing.Any:
    """Return the JSON served at a path, or None if it is not JSON.

    Raises
    ------
    One of `CONNECTION_ERRORS`
        The connection failed or the lookup timed out.
    """
    url = httpcore.URL(f'http://{endpoint.address}:{endpoint.port}{path}')
    conn = streams.HttpConnection(url.origin)
    try:
        with trio.fail_after(LOOKUP_TIMEOUT_S):
            response = await conn.request(
                'GET', url, headers=host_header(endpoint)
            )
        return orjson.loads(response.content)
    except orjson.JSONDecodeError:
        return None
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()


def host_header(endpoint: workload.Endpoint) -> list[tuple[bytes, bytes]]:
    """Return the ``Host`` header."""
    return [(b'host', f'{endpoint.address}:{endpoint.port}'.encode())]


def _url(endpoint: workload.Endpoint) -> httpcore.URL:
    return httpcore.URL(f'http://{endpoint.address}:{endpoint.port}/')
