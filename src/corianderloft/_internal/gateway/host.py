"""Puts the parts of a gateway host together and runs them."""

import collections.abc
import dataclasses
import logging
import os
import random
import secrets
import signal

import trio

from corianderloft._internal.gateway import app
from corianderloft._internal.gateway import auxiliary_apps
from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway import following
from corianderloft._internal.gateway import layout
from corianderloft._internal.gateway import load_exchange
from corianderloft._internal.gateway import membership
from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import stopping
from corianderloft._internal.gateway import view
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_pool
from corianderloft._internal.network import serving
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import placer

logger = logging.getLogger(__name__)

RESERVED_FILES = 700
"""Descriptors left for files, checks, and connections to backend servers."""

STALLED_TIME = 10.0
"""Time after which a caller that acknowledges nothing is cut, in seconds."""

HOUSEKEEPING_INTERVAL = 1.0
"""Time between two clean-ups of idle connections, in seconds."""

SETTINGS_INTERVAL = 2.0
"""Time between two looks whether the settings changed, in seconds."""

SIDE_CONNECTIONS = 200
"""Connections for checks, address answers or metrics, each."""


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What a host is made of.

    Attributes
    ----------
    cfg : GatewaySettings
        Settings of the process.
    store : KeyValueClient
        The platform's store.
    store_layout : StoreLayout
        Where things lie in the store.
    header_dialect : Dialect
        Writes and reads heads.
    read_settings : callable
        Reads the settings again; None when they cannot be used.
    """

    cfg: settings.GatewaySettings
    store: kv.KeyValueClient
    store_layout: layout.StoreLayout
    header_dialect: dialect.Dialect
    read_settings: collections.abc.Callable[
        [], settings.GatewaySettings | None
    ]


class Host:
    """One host of the gateway."""

    def __init__(self, dependencies: Dependencies) -> None:
        cfg = dependencies.cfg
        self._cfg = cfg
        self._read_settings = dependencies.read_settings
        self._store = dependencies.store
        self._beliefs = view.View(
            dependencies.store_layout, cfg.bounds.revocation_time
        )
        self._retries = budget.RetryBudget(
            cfg.bounds.retry_ratio,
            cfg.bounds.retry_slack,
            cfg.bounds.retry_window,
        )
        self._placer = placer.Placer(
            cfg.failure_domain, self._retries, random.Random()
        )
        self._beliefs.listen(self._placer)
        self._pool = engine_pool.EnginePool()
        self._stop = stopping.Stopping()
        own = _member(cfg)
        self._loads = load_exchange.LoadExchange(self._placer, own)
        self._beliefs.listen(self._loads)
        self._follower = following.Follower(
            dependencies.store, self._beliefs, lambda: self._cfg.bounds, own
        )
        self._beliefs.listen(self._follower)
        self._entry = membership.Membership(
            dependencies.store,
            dependencies.store_layout.hosts_prefix + cfg.host_id,
            dependencies.store_layout.encode_member(own),
            self._follower.note_store_failure,
            cfg.store.min_lease_ttl,
        )
        self._app = app.GatewayApp(
            self._beliefs,
            self._placer,
            self._pool,
            dependencies.header_dialect,
            self._stop,
        )
        self._readiness = auxiliary_apps.Readiness(self._beliefs, self._stop)

    async def run(self) -> None:
        """Serve until SIGTERM has ended all that is in flight."""
        servers = self._servers()
        stopped = trio.Event()
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follower.run)
                nursery.start_soon(self._follower.drop_held)
                nursery.start_soon(self._placer.run)
                nursery.start_soon(self._loads.run)
                nursery.start_soon(self._keep_entry)
                nursery.start_soon(self._housekeeping)
                nursery.start_soon(self._watch_settings)
                for server in servers:
                    nursery.start_soon(server.serve, stopped)
                logger.info(
                    'started',
                    extra={'host': self._cfg.host_id, 'pid': os.getpid()},
                )
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    self._reload()
                await self._stop.run(
                    self._entry, self._cfg.bounds.termination_grace
                )
                self._pool.close()
                nursery.cancel_scope.cancel()

    async def _keep_entry(self) -> None:
        """Register once this host can serve, until it leaves."""
        while not self._readiness.ready():
            await trio.sleep(0.02)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._entry.run)
                await self._stop.wait_leaving()
                scope.cancel()

    async def _watch_settings(self) -> None:
        """Take over settings that changed without a signal."""
        while True:
            await trio.sleep(SETTINGS_INTERVAL)
            self._reload(quietly=True)

    def _reload(self, quietly: bool = False) -> None:
        """Put changed bounds in force; the rest takes a restart.

        Parameters
        ----------
        quietly : bool
            Whether to say nothing when nothing changed.
        """
        cfg = self._read_settings()
        if cfg is None or (quietly and cfg == self._cfg):
            return
        fixed = dataclasses.replace(cfg, bounds=self._cfg.bounds)
        logger.info(
            'settings reloaded',
            extra={
                'bounds_changed': cfg.bounds != self._cfg.bounds,
                'restart_needed': fixed != self._cfg,
            },
        )
        self._cfg = cfg
        self._beliefs.use_revocation_time(cfg.bounds.revocation_time)
        self._retries.use_bounds(
            cfg.bounds.retry_ratio,
            cfg.bounds.retry_slack,
            cfg.bounds.retry_window,
        )

    async def _housekeeping(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL)
            self._pool.close_old()

    def _servers(self) -> list[serving.Server]:
        cfg = self._cfg
        limits = serving.ServerLimits(
            max_connections=cfg.max_open_files - RESERVED_FILES,
            max_header_bytes=app.MAX_HEADER_BYTES,
            idle_time=60.0,
            stalled_time=STALLED_TIME,
        )
        side = dataclasses.replace(limits, max_connections=SIDE_CONNECTIONS)
        addresses = auxiliary_apps.Addresses(
            self._beliefs,
            cfg.host_id,
            self._readiness,
            cfg.bounds.max_address_ttl,
        )
        callers = self._server(self._app, cfg.caller_port, limits)
        between = auxiliary_apps.BetweenHosts(self._follower.log)
        self._beliefs.listen(_LimitsOfCallers(callers))
        return [
            callers,
            self._side(self._readiness.serve, cfg.ready_port, side),
            self._side(addresses.serve, cfg.address_port, side),
            *(
                self._side(between.serve, port, side)
                for port in {cfg.metrics_port, cfg.peer_port}
            ),
        ]

    def _side(
        self,
        serve: auxiliary_apps.Serve,
        port: int,
        limits: serving.ServerLimits,
    ) -> serving.Server:
        return self._server(auxiliary_apps.SideApp(serve), port, limits)

    def _server(
        self, served: serving.App, port: int, limits: serving.ServerLimits
    ) -> serving.Server:
        sock = serving.bind(self._cfg.address, port)
        return serving.Server(served, sock, limits)


class _LimitsOfCallers(listener.Listener):
    """Puts the declared limits of callers in force."""

    def __init__(self, server: serving.Server) -> None:
        self._server = server

    def use_table(self, table: routing.RoutingTable) -> None:
        """Take over new declarations."""
        self._server.use_limits(
            table.limits.header_bytes, table.limits.idle_time
        )


def _member(cfg: settings.GatewaySettings) -> members.Member:
    return members.Member(
        host_id=cfg.host_id,
        address=cfg.address,
        port=cfg.caller_port,
        peer_port=cfg.peer_port,
        failure_domain=cfg.failure_domain,
        start=secrets.token_hex(4),
    )
