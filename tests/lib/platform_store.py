"""HTTP stand-in for the store of the users' platform."""

import base64
import urllib.parse

import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.standin import http
from tests.lib import fake_kv

PAGE_ITEMS = 5

PERMANENT_PREFIXES = ('op/', 'servers/')
"""Keys of the operator and of backend servers, who write again what the store
lost."""


class PlatformStore:
    """Serves a `FakeStore` through the HTTP interface of the platform.

    Attributes
    ----------
    down : bool
        Whether every call fails with status 503.
    lose_replies : int
        Number of next writes that are applied but get no response.
    hold_writes : int
        Number of next writes that get no response and are held until
        `execute_held`.
    compacted : int
        Watches that start before this revision get status 410.
    min_ttl_ms : int
        Shortest accepted lease duration.
    era : int
        Times that the store came back from a copy, or one more.
    states_first_era : bool
        Whether responses state an era of 0.
    """

    def __init__(self):
        self.store = fake_kv.FakeStore()
        self.down = False
        self.lose_replies = 0
        self.hold_writes = 0
        self._held = []
        self.compacted = 0
        self.min_ttl_ms = 0
        self.era = 0
        self.states_first_era = False
        self.calls = self.store.calls

    def put(self, key, value, lease=None):
        """Write a key, as the operator or a backend server would."""
        self.store.write([kv.Put(key, value, lease)])

    def execute_held(self):
        """Execute the writes that were held, if their conditions hold."""
        held, self._held = self._held, []
        return [self._execute(body) is None for body in held]

    def remove(self, key):
        """Remove a key."""
        self.store.write([kv.Delete(key)])

    def restore(self, copied, rewrite=True):
        """Come back from a copy of `FakeStore.copy`.

        The operator and the backend servers write again what was lost,
        unless ``rewrite`` is false.
        """
        lost = self.store.items
        self.store.restore(copied)
        self.era += 1
        if rewrite:
            self.rewrite(lost)

    def rewrite(self, lost):
        """Write the keys of the operator and of servers as they were."""
        items = self.store.items
        for key in sorted({*lost, *items}):
            if not key.startswith(PERMANENT_PREFIXES):
                continue
            before, now = lost.get(key), items.get(key)
            if before is None:
                self.remove(key)
            elif now is None or now.value != before.value:
                self.put(key, before.value)

    def app(self):
        """Return the ASGI application."""
        handlers = {
            'GET /kv-key': self._get_key,
            'GET /kv-range': self._get_range,
            'GET /kv-watch': self._watch,
            'POST /kv-txn': self._txn,
            'POST /kv-lease': self._grant_lease,
            'POST /kv-keep/*': self._keep_lease,
            'DELETE /kv-lease-end/*': self._end_lease,
        }
        return http.Routes(
            {key: self._with_faults(value) for key, value in handlers.items()}
        )

    def _with_faults(self, handler):
        async def handle_with_faults(call):
            self.store.expire()
            self.calls[call.path.split('/')[1]] += 1
            if self.down:
                await self._reply(call, {}, 503)
                return
            await handler(call)

        return handle_with_faults

    async def _reply(self, call, body, status=200):
        is_stated = self.era or self.states_first_era
        stated = {'Store-Era': str(self.era)} if is_stated else None
        await call.reply(body, status, stated)

    async def _get_key(self, call):
        item = self.store.items.get(_query(call)['key'])
        if item is None:
            await self._reply(call, {'current_rev': self.store.revision}, 404)
            return
        rev = {'current_rev': self.store.revision}
        await self._reply(call, _item_json(item) | rev)

    async def _get_range(self, call):
        query = _query(call)
        found = sorted(
            key
            for key in self.store.items
            if key.startswith(query['path_prefix'])
            and key > query.get('after', '')
        )
        await self._reply(
            call,
            {
                'items': [
                    _item_json(self.store.items[key])
                    for key in found[:PAGE_ITEMS]
                ],
                'has_more': len(found) > PAGE_ITEMS,
                'current_rev': self.store.revision,
            },
        )

    async def _watch(self, call):
        query = _query(call)
        after = int(query['after'])
        if after < self.compacted or after > self.store.revision:
            await self._reply(call, {}, 410)
            return
        until = trio.current_time() + int(query['wait_ms']) / 1000
        era = self.era
        while True:
            if self.down or self.era != era:
                await call.drop_connection()
                return
            events = []
            if self.store.revision > after:
                events = self._changes(after, query['path_prefix'])
            if events or trio.current_time() >= until:
                break
            await trio.sleep(0.01)
            self.store.expire()
        await self._reply(
            call,
            {
                'events': [_event_json(event) for event in events],
                'current_rev': self.store.revision,
            },
        )

    def _changes(self, after, prefix):
        return [
            event
            for event in self.store.events
            if event.revision > after and event.key.startswith(prefix)
        ]

    async def _txn(self, call):
        if self.hold_writes:
            self.hold_writes -= 1
            self._held.append(call.json())
            await call.drop_connection()
            return
        refusal = self._execute(call.json())
        if refusal is not None:
            await self._reply(call, *refusal)
            return
        if self.lose_replies:
            self.lose_replies -= 1
            await call.drop_connection()
            return
        await self._reply(call, {'revision': self.store.revision})

    def _execute(self, body):
        """Execute a transaction; return the reply if it is refused."""
        expected = body.get('expected_revision', [])
        items = self.store.items
        for row in expected:
            item = items.get(row['key'])
            if (item.mod_revision if item else 0) != row['revision']:
                current_items = [
                    _item_json(items[r['key']])
                    for r in expected
                    if r['key'] in items
                ]
                return {'items': current_items}, 412
        leases = {w.get('lease') or None for w in body.get('writes', [])}
        if leases - {None} - set(self.store.leases):
            return {}, 404
        writes = [
            kv.Put(w['key'], base64.b64decode(w['value']), w.get('lease'))
            for w in body.get('writes', [])
        ]
        removals = [kv.Delete(key) for key in body.get('remove', [])]
        self.store.write([*writes, *removals])
        return None

    async def _grant_lease(self, call):
        ttl = call.json()['ttl_ms']
        if ttl < self.min_ttl_ms:
            await self._reply(call, {}, 400)
            return
        lease = self.store.new_lease(ttl / 1000)
        await self._reply(call, {'lease': lease, 'ttl_ms': ttl})

    async def _keep_lease(self, call):
        lease = ids.LeaseId(int(call.path.rpartition('/')[2]))
        if lease not in self.store.leases:
            await self._reply(call, {}, 404)
            return
        ttl, _ = self.store.leases[lease]
        self.store.leases[lease] = (ttl, trio.current_time() + ttl)
        await self._reply(call, {'ttl_ms': int(ttl * 1000)})

    async def _end_lease(self, call):
        self.store.drop_lease(ids.LeaseId(int(call.path.rpartition('/')[2])))
        await self._reply(call, {})


def _query(call):
    pairs = urllib.parse.parse_qsl(call.query, keep_blank_values=True)
    return dict(pairs)


def _item_json(item):
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.mod_revision,
        'created': item.mod_revision,
        'lease': item.lease_id or 0,
    }


def _event_json(event):
    if event.item is None:
        return {
            'key': event.key,
            'revision': event.revision,
            'deleted': True,
        }
    return _item_json(event.item)
