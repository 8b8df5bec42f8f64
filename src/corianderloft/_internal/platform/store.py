"""Client of the key-value store of the users' platform."""

import base64
import collections
import collections.abc
import contextlib
import dataclasses
import typing
import urllib.parse

import orjson

from corianderloft._internal.kv import connections
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids
from corianderloft._internal.platform import names
from corianderloft._internal.utils import clock

CONNECT_TIMEOUT_S = 0.6
"""The store usually replies within 4 ms."""

CALL_TIMEOUT_S = 1.0
"""A slow store may take 60 times the usual reply time of 4 ms."""

MAX_IDLE_CONNECTIONS = 2
IDLE_EXPIRY_S = 10.0

WATCH_WAIT_S = 2.0
"""Default time for which the store holds a watch call without changes."""

WATCH_MAX_LAG_S = 1.1
"""Longest delay until the store reports a change to a watch; the platform
specifies one second."""

WATCH_REPLY_MARGIN_S = 0.5
"""Time for a reply to a watch after its wait has ended: twice the reply time
of a store that is 60 times slower than usual."""

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class _Answer:
    """A reply that the client can use; ``era`` is that of the store."""

    status: int
    body: Json
    era: ids.Era


_Outcome = _Answer | interface.Unavailable | interface.Unknown


class PlatformStore:
    """Implements `kv.interface.KeyValueClient`.

    Parameters
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    """

    def __init__(self, address: str, port: int) -> None:
        self._connections = connections.Connections(
            f'http://{address}:{port}',
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
            MAX_IDLE_CONNECTIONS,
            IDLE_EXPIRY_S,
        )
        self._eras = eras.EraTracker()

    @property
    def era(self) -> ids.Era:
        """Newest era of the store that this process has seen."""
        return self._eras.current

    async def wait_newer_era(self, era: ids.Era) -> ids.Era:
        """Wait until the store is in an era later than ``era``."""
        return await self._eras.wait_newer(era)

    async def get(self, key: str) -> interface.Read:
        """Read one key; ``items`` is empty when it does not exist."""
        outcome = await self._get('/kv-key', {'key': key})
        if not isinstance(outcome, _Answer):
            return _unavailable(outcome)
        try:
            found = outcome.status != _NOT_FOUND
            items = (_item(outcome.body, outcome.era),) if found else ()
            return interface.Found(_revision(outcome), items)
        except _MALFORMED as exc:
            return interface.Unavailable(f'malformed item: {exc!r}')

    async def get_prefix(self, prefix: str) -> interface.Read:
        """Read all keys that begin with ``prefix``, in order.

        The pages are not a snapshot of one revision, so the result has the
        revision of the first page.
        """
        items: list[interface.KeyValue] = []
        first_revision: ids.Revision | None = None
        query: dict[str, str] = {'path_prefix': prefix}
        while True:
            outcome = await self._get('/kv-range', query)
            if not isinstance(outcome, _Answer):
                return _unavailable(outcome)
            try:
                page = [
                    _item(item, outcome.era) for item in outcome.body['items']
                ]
                first_revision = first_revision or _revision(outcome)
            except _MALFORMED as exc:
                return interface.Unavailable(f'malformed page: {exc!r}')
            if eras.era_of(first_revision) != outcome.era:
                return interface.Unavailable(eras.RESTORED)
            items += page
            if not outcome.body.get('has_more') or not page:
                return interface.Found(first_revision, tuple(items))
            query['after'] = page[-1].key

    async def transact(
        self,
        compares: collections.abc.Sequence[interface.Compare],
        operations: collections.abc.Sequence[interface.Put | interface.Delete],
    ) -> interface.Write:
        """Apply all operations if all compares hold."""
        if not self._eras.holds_leases(operations):
            return interface.Unavailable(eras.LEASE_NOT_HELD)
        outcome = await self._call(
            'POST', '/kv-txn', self._transaction(compares, operations)
        )
        if not isinstance(outcome, _Answer):
            return outcome
        status, reply, era = outcome.status, outcome.body, outcome.era
        try:
            if status == _OK:
                if self._eras.is_void(era, compares, operations):
                    return interface.Unknown(eras.RESTORED)
                return interface.Written(
                    eras.qualify(era, int(reply['revision']))
                )
            if status == _CONFLICT:
                items = tuple(
                    _item(item, era)
                    for item in reply['items']
                    if 'value' in item
                )
                return interface.Conflict(_revision(outcome), items)
        except _MALFORMED as exc:
            return interface.Unknown(f'malformed reply: {exc!r}')
        return interface.Unavailable(f'/kv-txn: status {status}')

    def _transaction(
        self,
        compares: collections.abc.Sequence[interface.Compare],
        operations: collections.abc.Sequence[interface.Put | interface.Delete],
    ) -> Json:
        puts = [op for op in operations if isinstance(op, interface.Put)]
        return {
            'expected_revision': [
                {
                    'key': compare.key,
                    'revision': self._eras.expected_counter(
                        compare.mod_revision
                    ),
                }
                for compare in compares
            ],
            'writes': [
                {
                    'key': put.key,
                    'value': base64.b64encode(put.value).decode('ascii'),
                    'lease': put.lease_id or 0,
                }
                for put in puts
            ],
            'remove': [
                op.key for op in operations if isinstance(op, interface.Delete)
            ],
        }

    async def grant_lease(self, ttl: float) -> interface.Grant:
        """Request a lease of ``ttl`` seconds."""
        outcome = await self._call(
            'POST', '/kv-lease', {'ttl_ms': int(ttl * 1000)}
        )
        if not isinstance(outcome, _Answer):
            return outcome
        try:
            lease_id = ids.LeaseId(int(outcome.body['lease']))
            granted = interface.LeaseGranted(
                lease_id, outcome.body['ttl_ms'] / 1000
            )
        except _MALFORMED as exc:
            return interface.Unknown(f'malformed reply: {exc!r}')
        if not self._eras.add_lease(lease_id, outcome.era):
            return interface.Unknown(eras.RESTORED)
        return granted

    async def renew_lease(self, lease_id: ids.LeaseId) -> interface.Renewal:
        """Extend a lease to its full time to live."""
        if not self._eras.holds_lease(lease_id):
            return interface.LeaseLost(lease_id)
        outcome = await self._call('POST', f'/kv-keep/{lease_id}', {})
        if not isinstance(outcome, _Answer):
            return _unavailable(outcome)
        if outcome.status == _NOT_FOUND or not self._eras.holds_lease(
            lease_id
        ):
            self._eras.drop_lease(lease_id)
            return interface.LeaseLost(lease_id)
        self._eras.add_lease(lease_id, outcome.era)
        try:
            return interface.LeaseGranted(
                lease_id, outcome.body['ttl_ms'] / 1000
            )
        except _MALFORMED as exc:
            return interface.Unavailable(f'malformed reply: {exc!r}')

    async def revoke_lease(
        self, lease_id: ids.LeaseId
    ) -> interface.Written | interface.Unavailable | interface.Unknown:
        """Revoke a lease; the keys attached to it are removed."""
        if not self._eras.holds_lease(lease_id):
            return interface.Unavailable(eras.LEASE_NOT_HELD)
        outcome = await self._call('DELETE', f'/kv-lease-end/{lease_id}', {})
        if not isinstance(outcome, _Answer):
            return outcome
        if not self._eras.holds_lease(lease_id):
            return interface.Unknown(eras.RESTORED)
        self._eras.drop_lease(lease_id)
        return interface.Written(ids.Revision(0))

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
        stream = self._watch(prefix, after, wait or _default_wait)
        async with contextlib.aclosing(stream) as items:
            yield items

    async def _watch(
        self, prefix: str, after: ids.Revision, next_wait: interface.Wait
    ) -> collections.abc.AsyncGenerator[interface.WatchItem]:
        revision = after
        while eras.era_of(revision) == self.era:
            requested_at, wait = clock.now(), next_wait()
            query = {
                'path_prefix': prefix,
                'after': str(eras.counter_of(revision)),
                'wait_ms': str(int(wait * 1000)),
            }
            outcome = await self._get(
                '/kv-watch',
                query,
                wait + WATCH_REPLY_MARGIN_S - CALL_TIMEOUT_S,
            )
            if not isinstance(outcome, _Answer):
                yield interface.WatchEnded(outcome.detail, revision, True)
                return
            if outcome.status != _OK:
                detail = f'status {outcome.status}'
                yield interface.WatchEnded(detail, revision)
                return
            if outcome.era != eras.era_of(revision):
                break
            try:
                events = [
                    _event(event, outcome.era)
                    for event in outcome.body['events']
                ]
                revision = _revision(outcome)
            except _MALFORMED as exc:
                detail = f'malformed events: {exc!r}'
                yield interface.WatchEnded(detail, revision)
                return
            for event in events:
                yield event
            heard_at = requested_at
            if not events:
                # The store holds a reply without changes for the whole wait,
                # so the time that the reply takes to arrive does not matter.
                heard_at = min(clock.now(), requested_at + wait)
            yield interface.WatchProgress(
                revision, _complete_until(heard_at, bool(events)), heard_at
            )
        yield interface.WatchEnded(eras.RESTORED, revision)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._connections.aclose()

    async def _get(
        self, path: str, query: dict[str, str], hold_time: float = 0.0
    ) -> _Outcome:
        target = f'{path}?{urllib.parse.urlencode(query, safe="/")}'
        result = await self._connections.call('GET', target, b'', hold_time)
        return self._outcome(path, result)

    async def _call(self, method: str, path: str, body: Json) -> _Outcome:
        content = orjson.dumps(body)
        return self._outcome(
            path, await self._connections.call(method, path, content)
        )

    def _outcome(self, path: str, result: connections.CallResult) -> _Outcome:
        match result:
            case connections.NotSent(detail):
                return interface.Unavailable(detail)
            case connections.ReplyLost(detail):
                return interface.Unknown(detail)
            case connections.Reply(status, raw):
                try:
                    era = self._eras.observe(result.header(names.STORE_ERA))
                except ValueError as exc:
                    return interface.Unknown(f'{path}: malformed era: {exc}')
                return _decoded(path, status, raw, era)
        typing.assert_never(result)


def _complete_until(heard_at: float, changed: bool) -> float:
    """Return the time up to which a watch reply includes all changes."""
    return heard_at if changed else heard_at - WATCH_MAX_LAG_S


def _default_wait() -> float:
    return WATCH_WAIT_S


_MALFORMED = (ValueError, KeyError, TypeError, AttributeError)

_HANDLED_STATUSES = (_OK, _NOT_FOUND, _CONFLICT, 410)

_UNAVAILABLE = 503
_CLIENT_ERRORS = range(400, 500)


def _decoded(path: str, status: int, raw: bytes, era: ids.Era) -> _Outcome:
    if status not in _HANDLED_STATUSES:
        detail = f'{path}: status {status}'
        if status == _UNAVAILABLE or status in _CLIENT_ERRORS:
            return interface.Unavailable(detail)
        # The store, or what is in front of it, may fail after a write.
        return interface.Unknown(detail)
    try:
        reply = orjson.loads(raw) if raw else {}
    except ValueError as exc:
        return interface.Unknown(f'{path}: status {status}, {exc}')
    return _Answer(status, reply if isinstance(reply, dict) else {}, era)


def _unavailable(
    outcome: interface.Unavailable | interface.Unknown,
) -> interface.Unavailable:
    return interface.Unavailable(outcome.detail)


def _revision(answer: _Answer) -> ids.Revision:
    return eras.qualify(answer.era, int(answer.body.get('current_rev', 0)))


def _item(item: Json, era: ids.Era) -> interface.KeyValue:
    lease = int(item.get('lease') or 0)
    return interface.KeyValue(
        key=item['key'],
        value=base64.b64decode(item['value'], validate=True),
        mod_revision=eras.qualify(era, int(item['revision'])),
        # The store does not count writes; it only marks the first one.
        version=1 if item.get('created') == item['revision'] else 2,
        lease_id=ids.LeaseId(lease) if lease else None,
    )


def _event(event: Json, era: ids.Era) -> interface.WatchEvent:
    revision = eras.qualify(era, int(event['revision']))
    if event.get('deleted'):
        return interface.WatchEvent(event['key'], None, revision)
    return interface.WatchEvent(event['key'], _item(event, era), revision)
