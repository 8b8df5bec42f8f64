"""Watches: changes sent as they come, progress in between."""

import dataclasses

import orjson
import trio

from corianderloft._internal.standin import http
from corianderloft._internal.standin.kv import codec
from corianderloft._internal.standin.kv import faults as kv_faults
from corianderloft._internal.standin.kv import store as kv_store


@dataclasses.dataclass(frozen=True)
class WatchRequest:
    """Keys from ``key`` up to ``end``, changes of ``start`` and later."""

    key: bytes
    end: bytes
    start: int


def parse(body: codec.Json | None) -> WatchRequest | None:
    """Return what a watch asks for, or None when it is malformed."""
    create = (body or {}).get('create_request')
    if not isinstance(create, dict):
        return None
    try:
        return WatchRequest(
            codec.decode(create, 'key'),
            codec.decode(create, 'range_end'),
            codec.number(create, 'start_revision'),
        )
    except codec.BadCall:
        return None


class Feed:
    """Sends the changes of a store to one watch.

    Parameters
    ----------
    store : Store
        What is watched.
    faults : Faults
        May keep the watch silent.
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
        """Answer a watch until it is cancelled."""
        await call.start(http.JSON_TYPE)
        await self._message(call, created=True)
        oldest = self._store.oldest_revision()
        if 0 < request.start < oldest:
            await self._message(
                call, canceled=True, compact_revision=str(oldest)
            )
            await call.finish()
            return
        following = request.start or self._store.revision + 1
        while True:
            with trio.move_on_after(self._progress_interval):
                await self._wait_for(following)
            await self._faults.watches_speak()
            events = self._events(request, following)
            following = max(following, self._store.revision + 1)
            await self._message(call, events=events)

    async def _wait_for(self, revision: int) -> None:
        while revision > self._store.revision:
            await self._store.changed.wait()

    def _events(
        self, request: WatchRequest, following: int
    ) -> list[codec.Json]:
        return [
            codec.event(change)
            for change in self._store.changes_from(following)
            if kv_store.covers(request.key, request.end, change.key)
        ]

    async def _message(self, call: http.Call, **fields: object) -> None:
        header = codec.header(self._store.revision)
        line = orjson.dumps({'result': header | fields})
        await call.chunk(line + b'\n')
