"""Addresses that a caller asks for, keeps for a while and tries in order."""

import collections
import collections.abc
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.load import workload

LOOKUP_TIMEOUT = 2.0  # s
FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)
"""What a call raises when its connection fails or stays silent."""


class AddressBook:
    """Address answer and idle connections of one caller.

    Parameters
    ----------
    known : sequence of Endpoint
        Entry hosts to ask, those first that this caller asks first.
    look_up : bool
        Whether to ask at all; otherwise ``known`` is used as it is.
    """

    def __init__(
        self, known: collections.abc.Sequence[workload.Endpoint], look_up: bool
    ) -> None:
        self._known = tuple(known)
        self._look_up = look_up
        self._answer: tuple[workload.Endpoint, ...] = ()
        self._valid_until = 0.0
        self._lock = trio.Lock()
        self._idle: dict[
            workload.Endpoint, list[httpcore.AsyncHTTPConnection]
        ] = collections.defaultdict(list)

    async def endpoints(self) -> tuple[workload.Endpoint, ...]:
        """Return the endpoints to try, best first."""
        if not self._look_up:
            return self._known
        async with self._lock:
            if not self._answer or trio.current_time() >= self._valid_until:
                await self._refresh()
        return self._answer or self._known

    def forget(self) -> None:
        """Ask again next time: an address could not be reached."""
        self._answer = ()

    async def _refresh(self) -> None:
        for endpoint in self._known:
            answer = await _ask(endpoint)
            if answer is None:
                continue
            found = [
                workload.loopback_endpoint(f"{row['address']}:{row['port']}")
                for row in answer['addresses']
            ]
            self._answer = tuple(
                item for item in found if isinstance(item, workload.Endpoint)
            )
            self._valid_until = trio.current_time() + float(answer['ttl_s'])
            if self._answer:
                return

    def take(
        self, endpoint: workload.Endpoint
    ) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection, or one that connects when it is used."""
        idle = self._idle[endpoint]
        while idle:
            conn = idle.pop()
            if conn.is_available() and not conn.has_expired():
                return conn
        return httpcore.AsyncHTTPConnection(origin=_url(endpoint).origin)

    def give_back(
        self, endpoint: workload.Endpoint, conn: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        if conn.is_available():
            self._idle[endpoint].append(conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().aclose()


async def _ask(endpoint: workload.Endpoint) -> dict[str, typing.Any] | None:
    """Ask one host for addresses; None when it does not answer well."""
    try:
        body = await get_json(endpoint, '/v1/addresses')
    except FAILURES:
        return None
    if not isinstance(body, dict) or 'addresses' not in body:
        return None
    return body


async def get_json(endpoint: workload.Endpoint, path: str) -> typing.Any:
    """Return the JSON at a path; raises one of `FAILURES`."""
    url = httpcore.URL(f'http://{endpoint.address}:{endpoint.port}{path}')
    conn = httpcore.AsyncHTTPConnection(origin=url.origin)
    try:
        with trio.fail_after(LOOKUP_TIMEOUT):
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
    """Return the header that names the host."""
    return [(b'host', f'{endpoint.address}:{endpoint.port}'.encode())]


def _url(endpoint: workload.Endpoint) -> httpcore.URL:
    return httpcore.URL(f'http://{endpoint.address}:{endpoint.port}/')
