"""Key-value service as an ASGI application."""

import collections.abc

import trio

from corianderloft._internal.standin import faults
from corianderloft._internal.standin import http
from corianderloft._internal.standin.kv import codec
from corianderloft._internal.standin.kv import faults as kv_faults
from corianderloft._internal.standin.kv import limits
from corianderloft._internal.standin.kv import store as kv_store
from corianderloft._internal.standin.kv import watching
from corianderloft._internal.standin import settings as standin_settings

LEASE_CHECK_INTERVAL_S = 0.1
PLATFORM_PREFIX = b'platform/'

Handler = collections.abc.Callable[
    [codec.Json], collections.abc.Awaitable[tuple[int, codec.Json]]
]


async def serve_kv(
    settings: standin_settings.KvSettings,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the key-value service on loopback.

    Reports the bound port through ``task_status``.
    """
    async with trio.open_nursery() as nursery:
        service = KvService(settings, nursery)
        nursery.start_soon(service.expire_leases)
        await http.serve(service.routes(), settings.port, task_status)


class KvService:
    """Serves the calls of the key-value service from one store.

    Parameters
    ----------
    settings : KvSettings
        Rate limits, delays and size of the history.
    nursery : trio.Nursery
        Runs writes that take effect after a delay.
    """

    def __init__(
        self, settings: standin_settings.KvSettings, nursery: trio.Nursery
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self.store = kv_store.Store(settings.history_limit)
        self._saved = self.store.copy()
        self.faults = kv_faults.Faults(platform_lag=settings.platform_lag)
        self.limits = limits.CallLimits(settings)

    def routes(self) -> http.Routes:
        """Return the ASGI application."""
        return http.Routes(
            {
                'POST /v3/kv/range': self._read(self._range),
                'POST /v3/kv/put': self._write(self._put),
                'POST /v3/kv/deleterange': self._write(self._delete),
                'POST /v3/kv/txn': self._write(self._transact),
                'POST /v3/lease/grant': self._write(self._grant),
                'POST /v3/lease/keepalive': self._write(self._renew),
                'POST /v3/kv/lease/revoke': self._write(self._revoke),
                'POST /v3/watch': self._watch,
                'POST /control/faults': self._set_faults,
                'POST /control/expire-leases': self._expire_all,
                'POST /control/copy': self._copy,
                'POST /control/restore': self._restore,
                'GET /control/counts': self._counts,
            }
        )

    async def expire_leases(self) -> None:
        """Revoke expired leases at regular intervals, forever."""
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire()

    def _read(self, handler: Handler) -> http.Handler:
        async def handle(call: http.Call) -> None:
            if await self._admit(call, limits.CallKind.READ):
                await self._execute_and_reply(call, handler)

        return handle

    def _write(self, handler: Handler) -> http.Handler:
        async def handle(call: http.Call) -> None:
            if not await self._admit(call, limits.CallKind.WRITE):
                return
            if self.faults.consume_lost_reply():
                await self._execute(call, handler)
                await call.drop_connection()
                return
            await self._execute_and_reply(call, handler)

        return handle

    async def _admit(self, call: http.Call, kind: limits.CallKind) -> bool:
        """Apply rate limits and faults; return whether to execute the call.

        A call that is not to be executed has been handled here.
        """
        if self.store.era:
            call.common_headers['Store-Era'] = str(self.store.era)
        if not self.limits.admit(kind):
            await call.reply(_error('too many requests', 8), 429)
            return False
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        match self.faults.outage:
            case kv_faults.Outage.REFUSE:
                await call.reply(_error('service unavailable', 14), 503)
                return False
            case kv_faults.Outage.SILENT:
                await call.wait_disconnected()
                return False
        return True

    async def _execute_and_reply(
        self, call: http.Call, handler: Handler
    ) -> None:
        status, body = await self._execute(call, handler)
        await call.reply(body, status)

    async def _execute(
        self, call: http.Call, handler: Handler
    ) -> tuple[int, codec.Json]:
        body = call.json()
        if body is None:
            return 400, _error('the body is not a JSON object', 3)
        try:
            return await handler(body)
        except codec.InvalidRequestError as exc:
            return 400, _error(str(exc), 3)

    async def _range(self, body: codec.Json) -> tuple[int, codec.Json]:
        key = codec.decode(body, 'key')
        end = codec.decode(body, 'range_end')
        revision = codec.decode_integer(body, 'revision')
        if not revision:
            revision = self.store.revision_at_age(self.faults.read_age)
        items = self.store.select_at(key, end, revision)
        if items is None:
            raise codec.InvalidRequestError(
                f'revision {revision} has been compacted'
            )
        limit = codec.decode_integer(body, 'limit')
        return 200, codec.range_response(revision, items, limit)

    def _select(self, key: bytes) -> codec.Json:
        return codec.range_response(
            self.store.revision, self.store.select(key, b'')
        )

    async def _put(self, body: codec.Json) -> tuple[int, codec.Json]:
        return 200, codec.header(self._apply([codec.decode_put(body)]))

    async def _delete(self, body: codec.Json) -> tuple[int, codec.Json]:
        operation = codec.decode_delete(body)
        count = len(self.store.select(operation.key, operation.end))
        revision = self._apply([operation])
        return 200, codec.header(revision) | {'deleted': str(count)}

    async def _transact(self, body: codec.Json) -> tuple[int, codec.Json]:
        compares = body.get('compare', [])
        succeeded = all(
            self._compare_succeeds(compare) for compare in compares
        )
        if not succeeded:
            responses = [
                {'response_range': self._select(codec.decode(part, 'key'))}
                for request in body.get('failure', [])
                if (part := request.get('request_range')) is not None
            ]
            return 200, codec.header(self.store.revision) | {
                'responses': responses
            }
        revision = self._apply(
            codec.decode_operations(body.get('success', []))
        )
        return 200, codec.header(revision) | {'succeeded': True}

    def _compare_succeeds(self, compare: codec.Json) -> bool:
        if compare.get('target') != 'MOD':
            raise codec.InvalidRequestError('only the target MOD is supported')
        key = codec.decode(compare, 'key')
        expected = codec.decode_integer(compare, 'mod_revision')
        return self.store.mod_revision(key) == expected

    def _apply(self, operations: list[kv_store.Operation]) -> int:
        """Apply writes; those below ``platform/`` after ``platform_lag``."""
        self._check_leases(operations)
        lag = self.faults.platform_lag
        delayed = [
            operation
            for operation in operations
            if lag and operation.key.startswith(PLATFORM_PREFIX)
        ]
        if delayed:
            self._nursery.start_soon(self._apply_delayed, delayed, lag)
        return self.store.apply(
            operation for operation in operations if operation not in delayed
        )

    def _check_leases(self, operations: list[kv_store.Operation]) -> None:
        self.store.expire()
        for operation in operations:
            lease_id = getattr(operation, 'lease_id', 0)
            if lease_id and lease_id not in self.store.leases:
                raise codec.InvalidRequestError(f'lease {lease_id} not found')

    async def _apply_delayed(
        self, operations: list[kv_store.Operation], lag: float
    ) -> None:
        await trio.sleep(lag)
        self.store.apply(operations)

    async def _grant(self, body: codec.Json) -> tuple[int, codec.Json]:
        ttl = codec.decode_integer(body, 'TTL')
        if ttl <= 0:
            raise codec.InvalidRequestError('TTL must be positive')
        lease = self.store.grant(ttl)
        return 200, codec.header(self.store.revision) | {
            'ID': str(lease.lease_id),
            'TTL': str(lease.ttl),
        }

    async def _renew(self, body: codec.Json) -> tuple[int, codec.Json]:
        lease_id = codec.decode_integer(body, 'ID')
        lease = self.store.renew(lease_id)
        result = codec.header(self.store.revision) | {
            'ID': str(lease_id),
            'TTL': str(lease.ttl if lease else 0),
        }
        return 200, {'result': result}

    async def _revoke(self, body: codec.Json) -> tuple[int, codec.Json]:
        lease_id = codec.decode_integer(body, 'ID')
        if not self.store.revoke(lease_id):
            return 404, _error(f'lease {lease_id} not found', 5)
        return 200, codec.header(self.store.revision)

    async def _watch(self, call: http.Call) -> None:
        if not await self._admit(call, limits.CallKind.WATCH):
            return
        request = watching.parse(call.json())
        if request is None:
            await call.reply(_error('malformed watch', 3), 400)
            return
        sender = watching.WatchSender(
            self.store, self.faults, self._settings.progress_interval
        )
        with self.limits.waiting_watch():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.send, call, request)
                await call.wait_disconnected()
                nursery.cancel_scope.cancel()

    async def _set_faults(self, call: http.Call) -> None:
        await faults.handle_update(call, self.faults)

    async def _expire_all(self, call: http.Call) -> None:
        expired = sorted(self.store.leases)
        for lease_id in expired:
            self.store.revoke(lease_id)
        await call.reply({'expired': expired})

    async def _copy(self, call: http.Call) -> None:
        self._saved = self.store.copy()
        await call.reply({'revision': self.store.revision})

    async def _restore(self, call: http.Call) -> None:
        """Go back to the last copy, or to an empty store without one."""
        self.store.restore(self._saved)
        await call.reply({'era': self.store.era})

    async def _counts(self, call: http.Call) -> None:
        await call.reply(
            self.limits.counts()
            | {
                'revision': self.store.revision,
                'leases': len(self.store.leases),
            }
        )


def _error(text: str, code: int) -> codec.Json:
    return {'error': text, 'message': text, 'code': code}
