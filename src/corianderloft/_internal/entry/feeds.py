"""Feeds the decisions: configuration, hosts, backend servers, load."""

import collections.abc
import itertools
import typing

import orjson
import trio

from corianderloft._internal.entry import parts as entry_parts
from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.network import outbound

POLL_TIME = 1.0
"""Longest silence of an engine that is polled, in seconds."""

MAX_POLL_BYTES = 1048576
"""Longest answer to a poll."""

Json = dict[str, typing.Any]


class Feeds:
    """Hands what the host learns to its dispatcher.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    """

    def __init__(self, parts: entry_parts.Parts) -> None:
        self._parts = parts
        self._cfg = parts.settings.backends
        self._own = ids.HostId(parts.settings.host.host_id)
        self._next_event: dict[ids.EngineId, int] = {}

    async def follow_shared_state(self) -> None:
        """Put each new configuration and list in force."""
        shared = self._parts.shared
        dispatcher = self._parts.dispatcher
        catalog = backends_seen = hosts = None
        seen = 0
        while True:
            if (now := shared.current_catalog()) is not catalog:
                catalog = now
                dispatcher.use_catalog(now)
            if (listed := shared.current_backends()) != backends_seen:
                backends_seen = listed
                dispatcher.use_backends(listed)
            live = tuple(host.host_id for host in shared.live_hosts())
            if live != hosts:
                hosts = live
                dispatcher.use_hosts(self._own, live)
            seen = await shared.wait_change(seen)

    async def poll_engines(self) -> None:
        """Poll load and cache events of the engines in use, in turn."""
        if not self._cfg.polls_per_second:
            return
        interval = 1 / self._cfg.polls_per_second
        while True:
            polled = False
            for backend, poll in itertools.product(
                self._in_use(), (self._poll_load, self._poll_cache)
            ):
                polled = True
                await trio.sleep(interval)
                await poll(backend)
            if not polled:
                await trio.sleep(interval)

    def _in_use(self) -> collections.abc.Iterator[backends.Backend]:
        for backend in self._parts.shared.current_backends():
            if self._parts.kept.used_within(backend, self._cfg.polled_time):
                yield backend

    async def _poll_load(self, backend: backends.Backend) -> None:
        load = await self._read(backend, b'/v1/load')
        if load is None:
            return
        try:
            report = backends.LoadReport(
                backend.engine_id,
                trio.current_time() - float(load['age_s']),
                int(load['running']),
                int(load['waiting']),
                float(load.get('cached_fraction', 0.0)),
            )
        except (KeyError, TypeError, ValueError):
            return
        self._parts.dispatcher.report_load(report)

    async def _poll_cache(self, backend: backends.Backend) -> None:
        after = self._next_event.get(backend.engine_id, 0)
        target = b'/v1/cache/events?after=%d' % after
        events = await self._read(backend, target)
        if events is None:
            return
        try:
            for event in events['events']:
                self._parts.dispatcher.update_cached_prefixes(
                    backend.engine_id,
                    [int(h) for h in event['added']],
                    [int(h) for h in event['removed']],
                )
            self._next_event[backend.engine_id] = int(events['next'])
        except (KeyError, TypeError, ValueError):
            self._next_event.pop(backend.engine_id, None)

    async def _read(
        self, backend: backends.Backend, target: bytes
    ) -> Json | None:
        """Return the JSON that an engine serves, or None."""
        exchange = outbound.Outbound(
            self._parts.kept,
            self._parts.watch,
            backend,
            f'engine {backend.engine_id!r}',
            self._cfg.connect_time,
        )
        try:
            head = await exchange.send(
                outbound.Message('GET', target, [], b''), POLL_TIME
            )
            if isinstance(head, outbound.Failure):
                return None
            body = await exchange.read_all(MAX_POLL_BYTES, POLL_TIME)
            if isinstance(body, outbound.Failure) or head.status != 200:
                return None
            value = orjson.loads(body)
            return value if isinstance(value, dict) else None
        except orjson.JSONDecodeError:
            return None
        finally:
            await exchange.close()
