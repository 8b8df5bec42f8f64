"""Supplies the dispatcher with configuration, hosts, backends and load."""

import collections.abc
import itertools
import typing

import orjson
import trio

from corianderloft._internal.entry import components as host_components
from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.network import outbound

POLL_TIMEOUT_S = 1.0
"""Timeout for a poll of an engine, in seconds."""

MAX_POLL_RESPONSE_BYTES = 1048576
"""Limit on the response to a poll, in bytes."""

Json = dict[str, typing.Any]


class DispatcherFeed:
    """Passes shared state and polled engine data to the dispatcher.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    """

    def __init__(self, components: host_components.HostComponents) -> None:
        self._components = components
        self._cfg = components.settings.backends
        self._host_id = ids.HostId(components.settings.host.host_id)
        self._next_event: dict[ids.EngineId, int] = {}

    async def follow_shared_state(self) -> None:
        """Pass catalog, backend and host changes to the dispatcher."""
        shared = self._components.shared
        dispatcher = self._components.dispatcher
        last_catalog = last_backends = last_hosts = None
        change_count = 0
        while True:
            if (
                current_catalog := shared.current_catalog()
            ) is not last_catalog:
                last_catalog = current_catalog
                dispatcher.use_catalog(current_catalog)
            if (
                current_backends := shared.current_backends()
            ) != last_backends:
                last_backends = current_backends
                dispatcher.use_backends(current_backends)
            live_hosts = tuple(host.host_id for host in shared.live_hosts())
            if live_hosts != last_hosts:
                last_hosts = live_hosts
                dispatcher.use_hosts(self._host_id, live_hosts)
            change_count = await shared.wait_change(change_count)

    async def poll_engines(self) -> None:
        """Poll load and cache events of recently used engines in turn."""
        if not self._cfg.polls_per_second:
            return
        interval = 1 / self._cfg.polls_per_second
        while True:
            polled = False
            for backend, poll in itertools.product(
                self._recently_used(), (self._poll_load, self._poll_cache)
            ):
                polled = True
                await trio.sleep(interval)
                await poll(backend)
            if not polled:
                await trio.sleep(interval)

    def _recently_used(self) -> collections.abc.Iterator[backends.Backend]:
        for backend in self._components.shared.current_backends():
            if self._components.connections.used_within(
                backend, self._cfg.polled_time
            ):
                yield backend

    async def _poll_load(self, backend: backends.Backend) -> None:
        load = await self._fetch_json(backend, b'/v1/load')
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
        self._components.dispatcher.report_load(report)

    async def _poll_cache(self, backend: backends.Backend) -> None:
        after = self._next_event.get(backend.engine_id, 0)
        target = b'/v1/cache/events?after=%d' % after
        events = await self._fetch_json(backend, target)
        if events is None:
            return
        try:
            for event in events['events']:
                self._components.dispatcher.update_cached_prefixes(
                    backend.engine_id,
                    [int(h) for h in event['added']],
                    [int(h) for h in event['removed']],
                )
            self._next_event[backend.engine_id] = int(events['next'])
        except (KeyError, TypeError, ValueError):
            self._next_event.pop(backend.engine_id, None)

    async def _fetch_json(
        self, backend: backends.Backend, target: bytes
    ) -> Json | None:
        """Return a JSON object from an engine; None on any failure."""
        exchange = outbound.Outbound(
            self._components.connections,
            self._components.silence_watch,
            backend,
            f'engine {backend.engine_id!r}',
            self._cfg.connect_time,
        )
        try:
            head = await exchange.send(
                outbound.Message('GET', target, [], b''), POLL_TIMEOUT_S
            )
            if isinstance(head, outbound.Failure):
                return None
            body = await exchange.read_all(
                MAX_POLL_RESPONSE_BYTES, POLL_TIMEOUT_S
            )
            if isinstance(body, outbound.Failure) or head.status != 200:
                return None
            value = orjson.loads(body)
            return value if isinstance(value, dict) else None
        except orjson.JSONDecodeError:
            return None
        finally:
            await exchange.close()
