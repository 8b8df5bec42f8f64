"""HTTP between hosts and the store over links of given bandwidth.

Runs in virtual time: the clients under test are the real ones, only their
connections are replaced.
"""

import base64
import contextvars
import functools
import urllib.parse

import httpcore
import orjson
import trio

from corianderloft._internal.gateway import change_server

CHUNK_BYTES = 65536
PASS_S = 0.002

own_link = contextvars.ContextVar('own_link')
"""Link of the host whose task is running."""


class Link:
    """Link of one machine; ``share`` of it is taken by other traffic."""

    def __init__(self, kbps, share=0.0):
        self._bytes_per_s = kbps * 125 * (1 - share)
        self._free_at = 0.0

    def reserve(self, size):
        """Return when ``size`` more bytes have passed."""
        start = max(self._free_at, trio.current_time())
        self._free_at = start + size / self._bytes_per_s
        return self._free_at


class Site:
    """A server: a coroutine that maps a target to a status and a body.

    While it is frozen it sends nothing; if it refuses, its process is gone and
    replies that are on their way are cut.
    """

    def __init__(self, link, handle):
        self.link = link
        self.handle = handle
        self.frozen = (0.0, 0.0)
        self.refuses = False

    def fails(self):
        """Return whether the machine stands still now."""
        return self.frozen[0] <= trio.current_time() < self.frozen[1]


class Network(httpcore.AsyncNetworkBackend):
    """Connects clients to sites by their address."""

    def __init__(self, nursery):
        self._nursery = nursery
        self.sites = {}

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        """Connect to a site."""
        site = self.sites[host]
        await trio.sleep(PASS_S)
        if site.fails():
            if not site.refuses:
                await trio.sleep(timeout)
            raise httpcore.ConnectError('not reached')
        return _Stream(self._nursery, site, own_link.get())


class _Stream(httpcore.AsyncNetworkStream):
    def __init__(self, nursery, site, link):
        self._nursery = nursery
        self._site = site
        self._link = link
        self._scope = trio.CancelScope()
        self._send, self._receive = trio.open_memory_channel(0)

    async def write(self, buffer, timeout=None):
        if buffer:
            target = buffer.split(b' ')[1].decode()
            self._nursery.start_soon(self._serve, target)

    async def _serve(self, target):
        self._scope = trio.CancelScope()
        with self._scope:
            await trio.sleep(PASS_S)
            status, body = await self._site.handle(target)
            data = b'HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s' % (
                status,
                len(body),
                body,
            )
            for start in range(0, len(data), CHUNK_BYTES):
                if self._site.fails() and self._site.refuses:
                    await self._send.aclose()
                    return
                if self._site.fails():
                    await trio.sleep_until(self._site.frozen[1])
                chunk = data[start : start + CHUNK_BYTES]
                await trio.sleep_until(self._site.link.reserve(len(chunk)))
                await self._send.send(chunk)

    async def read(self, max_bytes, timeout=None):
        try:
            chunk = await self._receive.receive()
        except trio.EndOfChannel as exc:
            raise httpcore.ReadError('the connection was reset') from exc
        await trio.sleep_until(self._link.reserve(len(chunk)))
        return chunk

    async def aclose(self):
        self._scope.cancel()

    def get_extra_info(self, info):
        return None


def _item(version, value):
    return {
        'key': 'op/config',
        'value': base64.b64encode(value).decode(),
        'revision': version,
        'created': 1,
        'lease': 0,
    }


class Store:
    """A store whose operator declares versions of one value.

    Parameters
    ----------
    declared_at : sequence of float
        When each version after the first was acknowledged, in seconds.
    encode : callable
        Returns the value of a version.
    delay : float
        Time after which a watch delivers a change, in seconds.
    """

    def __init__(self, declared_at, encode, delay=0.0):
        self._declared_at = declared_at
        self._item = functools.cache(lambda v: _item(v, encode(v)))
        self._delay = delay

    def _version(self, at):
        return 1 + sum(declared <= at for declared in self._declared_at)

    async def handle(self, target):
        """Serve reads of everything and watches."""
        path, _, query = target.partition('?')
        if path == '/kv-range':
            version = self._version(trio.current_time())
            reply = {'items': [self._item(version)], 'has_more': False}
            return 200, orjson.dumps(reply | {'current_rev': version})
        fields = dict(urllib.parse.parse_qsl(query))
        after = int(fields['after'])
        until = trio.current_time() + int(fields['wait_ms']) / 1000
        later = self._declared_at[after - 1 :]
        if later:
            until = min(until, later[0] + self._delay)
        await trio.sleep_until(until)
        version = self._version(trio.current_time() - self._delay)
        events = [self._item(v) for v in range(after + 1, version + 1)]
        reply = {'events': events, 'current_rev': max(after, version)}
        return 200, orjson.dumps(reply)


class _Request:
    """A request between hosts, as `ChangeServer` uses it."""

    def __init__(self, query):
        self.query = query.encode()
        self.reply = None

    async def respond(self, status, body):
        self.reply = status, body

    async def respond_raw(self, status, headers, body):
        self.reply = status, body


def peer_handler(log):
    """Return the handler of a host that serves the changes in its log."""
    server = change_server.ChangeServer(log)

    async def handle(target):
        request = _Request(target.partition('?')[2])
        await server.serve(request)
        return request.reply

    return handle
