"""Watches: streams of changes with periodic progress notifications."""

import dataclasses

import orjson
import trio

from corianderloft._internal.standin import http
from corianderloft._internal.standin.kv import codec
from corianderloft._internal.standin.kv import faults as kv_faults
from corianderloft._internal.standin.kv import store as kv_store


@dataclasses.dataclass(frozen=True)
class WatchRequest:
    """Watch of the keys from ``key`` up to ``end``.

    Changes are sent from revision ``start`` on; 0 means the next revision.
    """

    key: bytes
    end: bytes
    start: int


def parse(body: codec.Json | None) -> WatchRequest | None:
    """Parse a watch request; return None if it is malformed."""
    create = (body or {}).get('create_request')
    if not isinstance(create, dict):
        return None
    try:
        return WatchRequest(
            codec.decode(create, 'key'),
            codec.decode(create, 'range_end'),
            codec.decode_integer(create, 'start_revision'),
        )
    except codec.InvalidRequestError:
        return None


class WatchSender:
    """Sends the changes of a store to one watch.

    Parameters
    ----------
    store : Store
        Store to watch.
    faults : Faults
        Faults that may keep the watch from sending.
    progress_interval : float
        Interval of progress notifications, in seconds.
    """

    def __init__(
        self,
        store: kv_store.Store,
        faults: kv_faults.Faults,
        progress_interval: float,
    ) -> None:
        self._store = store
        self._faults = faults
        self._progress_interval = progress_interval

    async def send(self, call: http.Call, request: WatchRequest) -> None:
        """Send changes until cancelled."""
        await call.start(http.JSON_TYPE)
        await self._send_message(call, created=True)
        oldest = self._store.oldest_watch_revision()
        if 0 < request.start < oldest:
            await self._send_message(
                call, canceled=True, compact_revision=str(oldest)
            )
            await call.finish()
            return
        next_revision = request.start or self._store.revision + 1
        era = self._store.era
        while era == self._store.era:
            with trio.move_on_after(self._progress_interval):
                await self._wait_for_revision(next_revision)
            await self._faults.wait_until_watches_deliver()
            if era != self._store.era:
                break
            events = self._events(request, next_revision)
            next_revision = max(next_revision, self._store.revision + 1)
            await self._send_message(call, events=events)
        await call.finish()

    async def _wait_for_revision(self, revision: int) -> None:
        era = self._store.era
        while revision > self._store.revision and era == self._store.era:
            await self._store.changed.wait()

    def _events(
        self, request: WatchRequest, next_revision: int
    ) -> list[codec.Json]:
        return [
            codec.encode_event(change)
            for change in self._store.changes_from(next_revision)
            if kv_store.in_range(request.key, request.end, change.key)
        ]

    async def _send_message(self, call: http.Call, **fields: object) -> None:
        header = codec.header(self._store.revision)
        line = orjson.dumps({'result': header | fields})
        await call.chunk(line + b'\n')
