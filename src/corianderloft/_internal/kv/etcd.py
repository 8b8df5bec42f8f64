"""Client plug-in ``etcd`` for etcd v3's JSON gateway over HTTP/1.1."""

import collections.abc
import contextlib
import functools
import math
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.kv import backoff
from corianderloft._internal.kv import budget
from corianderloft._internal.kv import codec
from corianderloft._internal.kv import connections
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface
from corianderloft._internal.kv import watches
from corianderloft._internal.models import ids
from corianderloft._internal.settings import kv as kv_settings

HTTP_OK = 200
PAGE_ITEMS = 1000
CLIENT_ERRORS = range(400, 500)
"""Statuses with which the service did not execute the call."""

CallOutcome = codec.Answer | interface.Unavailable | interface.Unknown

_KINDS = {
    '/v3/kv/range': budget.CallKind.READ,
    '/v3/kv/txn': budget.CallKind.WRITE,
    '/v3/lease/grant': budget.CallKind.LEASE,
    '/v3/lease/keepalive': budget.CallKind.LEASE,
    '/v3/kv/lease/revoke': budget.CallKind.LEASE,
}


@interface.CLIENTS.register('etcd')
class EtcdClient:
    """Client of an etcd v3 JSON gateway.

    Parameters
    ----------
    settings : KvSettings
        Section ``kv`` of the settings.
    """

    def __init__(self, settings: kv_settings.KvSettings) -> None:
        self._settings = settings
        self._connections = connections.Connections(
            settings.endpoint,
            settings.connect_timeout,
            settings.call_timeout,
            settings.idle_connections,
            settings.idle_expiry,
        )
        self._eras = eras.EraTracker()
        self._era_header = settings.era_header.lower().encode()
        self._budget = budget.CallBudget(settings)
        self._backoff = backoff.Backoff(
            settings.reconnect_base, settings.reconnect_limit
        )

    @property
    def era(self) -> ids.Era:
        """How often the service came back from a copy, as known so far."""
        return self._eras.current

    async def wait_newer_era(self, era: ids.Era) -> ids.Era:
        """Wait until the service is in an era later than ``era``."""
        return await self._eras.wait_newer(era)

    async def get(self, key: str) -> interface.Read:
        """Read one key; ``items`` is empty when it does not exist."""
        page = await self._page({'key': codec.to_text(key.encode())})
        return page.found if isinstance(page, codec.Page) else page

    async def get_prefix(self, prefix: str) -> interface.Read:
        """Read all keys that begin with ``prefix``, in order.

        All pages are read at the same revision. Paging keeps each reply small
        enough not to block the process for long.
        """
        query = codec.prefix_range(prefix) | {'limit': str(PAGE_ITEMS)}
        items: list[interface.KeyValue] = []
        while True:
            page = await self._page(query)
            if isinstance(page, interface.Unavailable):
                return page
            if items and eras.era_of(page.found.revision) != eras.era_of(
                items[0].mod_revision
            ):
                return interface.Unavailable(eras.RESTORED)
            items += page.found.items
            if not page.more:
                return interface.Found(page.found.revision, tuple(items))
            query['key'] = codec.key_after(items[-1].key)
            query['revision'] = str(eras.counter_of(page.found.revision))

    async def _page(
        self, query: codec.Json
    ) -> codec.Page | interface.Unavailable:
        result = await self._read('/v3/kv/range', query)
        if isinstance(result, interface.Unknown):
            return interface.Unavailable(result.detail)
        if isinstance(result, interface.Unavailable):
            return result
        return codec.page(result)

    async def transact(
        self,
        compares: collections.abc.Sequence[interface.Compare],
        operations: collections.abc.Sequence[interface.Put | interface.Delete],
    ) -> interface.Write:
        """Apply all operations if all compares hold."""
        if not self._eras.holds_leases(operations):
            return interface.Unavailable(eras.LEASE_NOT_HELD)
        result = await self._call(
            '/v3/kv/txn',
            codec.transaction(
                compares, operations, self._eras.expected_counter
            ),
        )
        if isinstance(result, interface.Unavailable | interface.Unknown):
            return result
        if result.body.get('succeeded'):
            if self._eras.is_void(result.era, compares, operations):
                return interface.Unknown(eras.RESTORED)
            return interface.Written(codec.revision(result))
        return interface.Conflict(
            codec.revision(result), codec.compared_keys(result)
        )

    async def grant_lease(self, ttl: float) -> interface.Grant:
        """Request a lease of ``ttl`` seconds, rounded up to whole seconds."""
        result = await self._call(
            '/v3/lease/grant', {'TTL': str(math.ceil(ttl))}
        )
        if isinstance(result, interface.Unavailable | interface.Unknown):
            return result
        lease_id = ids.LeaseId(int(result.body['ID']))
        if not self._eras.add_lease(lease_id, result.era):
            return interface.Unknown(eras.RESTORED)
        return interface.LeaseGranted(lease_id, float(result.body['TTL']))

    async def renew_lease(self, lease_id: ids.LeaseId) -> interface.Renewal:
        """Extend a lease to its full time to live."""
        if not self._eras.holds_lease(lease_id):
            return interface.LeaseLost(lease_id)
        result = await self._read('/v3/lease/keepalive', {'ID': str(lease_id)})
        if isinstance(result, interface.Unknown):
            return interface.Unavailable(result.detail)
        if isinstance(result, interface.Unavailable):
            return result
        ttl = float(result.body.get('result', {}).get('TTL', 0))
        if ttl <= 0 or not self._eras.holds_lease(lease_id):
            self._eras.drop_lease(lease_id)
            return interface.LeaseLost(lease_id)
        self._eras.add_lease(lease_id, result.era)
        return interface.LeaseGranted(lease_id, ttl)

    async def revoke_lease(
        self, lease_id: ids.LeaseId
    ) -> interface.Written | interface.Unavailable | interface.Unknown:
        """Revoke a lease; the keys attached to it are removed."""
        if not self._eras.holds_lease(lease_id):
            return interface.Unavailable(eras.LEASE_NOT_HELD)
        result = await self._call('/v3/kv/lease/revoke', {'ID': str(lease_id)})
        if isinstance(result, interface.Unavailable | interface.Unknown):
            return result
        self._eras.drop_lease(lease_id)
        return interface.Written(codec.revision(result))

    @contextlib.asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: ids.Revision,
        wait: interface.Wait | None = None,
    ) -> collections.abc.AsyncGenerator[
        collections.abc.AsyncIterator[interface.WatchItem]
    ]:
        """Watch keys with a prefix for changes after revision ``after``."""
        conn = self._connections.open()
        stream = watches.Watch(
            functools.partial(self._open_watch, conn),
            self._observe,
            prefix,
            after,
            self._settings.watch_silence,
        )
        try:
            yield stream
        finally:
            # After a working watch, the next one starts without delay.
            if stream.received_any:
                self._backoff.reset()
            await connections.close(conn)

    async def _open_watch(
        self, conn: httpcore.AsyncHTTPConnection, body: codec.Json
    ) -> httpcore.Response | interface.Unavailable:
        """Send a watch request.

        Raises httpcore's errors, and `trio.TooSlowError` if no reply arrives.
        """
        await trio.sleep(self._backoff.next_delay())
        refused = self._budget.take(budget.CallKind.WATCH)
        if refused is not None:
            return refused
        req = self._connections.request(
            '/v3/watch', orjson.dumps(body), connections.SendTrace()
        )
        with trio.fail_after(self._settings.call_timeout):
            response = await conn.handle_async_request(req)
        budget.count_outcome(budget.CallKind.WATCH, response)
        return response

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._connections.aclose()

    async def _read(self, path: str, body: codec.Json) -> CallOutcome:
        """Send an idempotent call; retry once if the reply is lost."""
        kind = _KINDS[path]
        first = await self._call(path, body)
        if not isinstance(first, interface.Unknown):
            return first
        # The connection may have been dead; a new one may work.
        budget.count_retry(kind)
        return await self._call(path, body)

    async def _call(self, path: str, body: codec.Json) -> CallOutcome:
        kind = _KINDS[path]
        refused = self._budget.take(kind)
        if refused is not None:
            return refused
        outcome = await self._send(path, body)
        budget.count_outcome(kind, outcome)
        return outcome

    async def _send(self, path: str, body: codec.Json) -> CallOutcome:
        result = await self._connections.post(path, orjson.dumps(body))
        match result:
            case connections.NotSent(detail):
                return interface.Unavailable(detail)
            case connections.ReplyLost(detail):
                return interface.Unknown(detail)
            case connections.Reply(status, raw):
                try:
                    era = self._observe(result.headers)
                except ValueError as exc:
                    return interface.Unknown(f'{path}: malformed era: {exc}')
                return _outcome(path, status, raw, era)
        typing.assert_never(result)

    def _observe(self, headers: connections.Headers) -> ids.Era:
        """Return the era that a reply states.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        return self._eras.observe(
            connections.find_header(headers, self._era_header)
        )


def _outcome(path: str, status: int, raw: bytes, era: ids.Era) -> CallOutcome:
    decoded = codec.decode(raw)
    if status == HTTP_OK and decoded is not None:
        return codec.Answer(decoded, era)
    detail = f'{path}: status {status}'
    if status in CLIENT_ERRORS:
        return interface.Unavailable(detail)
    return interface.Unknown(detail)
