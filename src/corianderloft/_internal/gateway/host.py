"""Wires the components of a gateway host together and runs them."""

import collections.abc
import dataclasses
import functools
import logging
import os
import random
import secrets
import signal

import trio

from corianderloft._internal.gateway import app
from corianderloft._internal.gateway import auxiliary_apps
from corianderloft._internal.gateway import crash_record
from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway.duties import host_duties
from corianderloft._internal.gateway.duties import interface as duty_interface
from corianderloft._internal.gateway.duties import runs
from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.gateway import following
from corianderloft._internal.gateway import layout
from corianderloft._internal.gateway import load_exchange
from corianderloft._internal.gateway import membership
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import stopping
from corianderloft._internal.gateway import view
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import engine_pool
from corianderloft._internal.network import memory
from corianderloft._internal.network import pending
from corianderloft._internal.network import pending_connections
from corianderloft._internal.network import serving
from corianderloft._internal.network import start_limit
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import placer
from corianderloft._internal.utils import supervision

logger = logging.getLogger(__name__)

RESERVED_FILE_DESCRIPTORS = 700
"""File descriptors reserved for files, readiness checks and connections to
backend servers."""

STALL_TIMEOUT_S = 10.0
"""Time after which a caller that acknowledges no data is disconnected."""

HOUSEKEEPING_INTERVAL_S = 1.0
"""Interval between clean-ups of idle connections."""

SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval between checks for changed settings."""

AUXILIARY_CONNECTIONS = 200
"""Maximum number of connections to each auxiliary port (readiness checks,
address lists, metrics)."""

SMALL_HOST_PUBLIC_CONNECTIONS = 24
"""The same for ports that clients reach on a host that states its memory.
Requests there are short, and clients that wait share the connections."""

AUXILIARY_MAX_PENDING = 16
"""Accepted connections to such a port that wait for others to end. They take
descriptors from those that are reserved."""

AUXILIARY_MAX_WAIT_S = 0.7
"""Time that a request to such a port waits for a connection. Clients wait a
second for an answer there, whatever time their requests have."""

MAX_AUXILIARY_HEADER_BYTES = 8192
"""Maximum size of the head of a request to an auxiliary port."""


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Settings and plug-ins that a host is built from.

    Attributes
    ----------
    cfg : GatewaySettings
        Settings of the process.
    store : KeyValueClient
        The platform's store.
    store_layout : StoreLayout
        Keys in the store and decoders of their values.
    header_dialect : Dialect
        Parses and builds HTTP headers.
    decode_domain : callable
        Returns the failure domain in the query of a caller who asks for
        addresses, or None.
    read_settings : callable
        Reads the settings again; returns None if they are invalid.
    platform_api : PlatformApi or None
        The platform's API, if it asks for duties.
    """

    cfg: settings.GatewaySettings
    store: kv.KeyValueClient
    store_layout: layout.StoreLayout
    header_dialect: dialect.Dialect
    decode_domain: auxiliary_apps.DecodeDomain
    read_settings: collections.abc.Callable[
        [], settings.GatewaySettings | None
    ]
    platform_api: duty_interface.PlatformApi | None = None


class Host:
    """A gateway host."""

    def __init__(self, dependencies: Dependencies) -> None:
        cfg = dependencies.cfg
        self._cfg = cfg
        self._read_settings = dependencies.read_settings
        self._store = dependencies.store
        self._decode_domain = dependencies.decode_domain
        self._view = view.View(
            dependencies.store_layout,
            cfg.bounds.revocation_time,
            max(cfg.bounds.entry_expiry, membership.LEASE_TTL_S),
            dependencies.store_layout.hosts_prefix + cfg.host_id,
            cfg.bounds.min_outage,
            cfg.bounds.apply_time,
        )
        self._retry_budget = budget.RetryBudget(
            cfg.bounds.retry_ratio,
            cfg.bounds.retry_slack,
            cfg.bounds.retry_window,
        )
        self._placer = placer.Placer(
            cfg.failure_domain,
            self._retry_budget,
            random.Random(),
            memory_admission=cfg.memory_admission,
        )
        self._placer.hedges.set_extra_work(cfg.hedge_extra_work)
        self._view.add_listener(self._placer)
        self._pool = engine_pool.EnginePool()
        if cfg.memory_bytes:
            self._pool.receive_buffer = (
                engine_connection.SMALL_HOST_RECEIVE_BUFFER
            )
        self._byte_sizes = byte_budget.sizes(cfg.memory_bytes)
        self._memory = memory.Memory(byte_budget.ByteBudget(self._byte_sizes))
        metrics.use_budget(self._memory.budget)
        self._shutdown = stopping.GracefulShutdown()
        own = _member(cfg)
        self._load_exchange = load_exchange.LoadExchange(
            self._placer, own, self._view
        )
        self._view.add_listener(self._load_exchange)
        self._follower = following.Follower(
            dependencies.store, self._view, lambda: self._cfg.bounds, own
        )
        self._view.add_listener(self._follower)
        self._membership = membership.Membership(
            dependencies.store,
            dependencies.store_layout.hosts_prefix + cfg.host_id,
            lambda: dependencies.store_layout.encode_member(
                dataclasses.replace(
                    own,
                    version=self._view.version,
                    era=dependencies.store.era,
                )
            ),
            self._follower.note_store_failure,
            cfg.store.min_lease_ttl,
        )
        self._crash_record = crash_record.CrashRecord(
            dependencies.store,
            dependencies.store_layout.crashes_prefix,
            self._placer.crashes,
            lambda: eras.era_of(self._view.revision),
            self._view.has_entry,
        )
        self._duties = self._host_duties(dependencies, own)
        counter: runs.RunCounter | None = None
        if self._duties is not None:
            counter = self._duties.usage
        self._app = app.GatewayApp(
            self._view,
            self._placer,
            self._pool,
            dependencies.header_dialect,
            self._shutdown,
            counter or runs.NoCounter(),
        )
        self._readiness = auxiliary_apps.Readiness(self._view, self._shutdown)

    def _host_duties(
        self, dependencies: Dependencies, own: members.Member
    ) -> host_duties.HostDuties | None:
        """Return the duties, if the platform asks for any."""
        api = dependencies.platform_api
        bounds = self._cfg.duty_bounds
        if api is None or self._cfg.platform_api is None or bounds is None:
            return None
        if bounds.report_window <= 0:
            logger.error('duties not performed: the report window is 0')
            return None
        duties = host_duties.HostDuties(
            self._cfg,
            dependencies.store,
            dependencies.store_layout.duties_prefix,
            api,
            own,
            true_time.TrueTime(),
            self._load_exchange.send,
            random.Random(),
            self._view.has_entry,
        )
        if settings.DutyKind.SCALING in self._cfg.platform_api.duties:
            duties.add_scaling(self._cfg.host_id, self._placer, api)
        self._load_exchange.add_handler(duties.exchange)
        self._view.add_listener(duties)
        return duties

    async def _run_duties(self) -> None:
        if self._duties is not None:
            await self._duties.run(self._shutdown.wait_draining)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP reloads the settings.
        """
        servers = self._servers()
        stopped = trio.Event()
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                for task in (
                    self._follower.run,
                    self._follower.expire_missing,
                    self._placer.run,
                    self._load_exchange.run,
                    self._crash_record.run,
                    self._run_membership,
                    self._run_duties,
                    self._housekeeping,
                    self._poll_settings,
                ):
                    nursery.start_soon(supervision.restarting, task)
                for server in servers:
                    nursery.start_soon(server.serve, stopped)
                logger.info(
                    'started',
                    extra={'host': self._cfg.host_id, 'pid': os.getpid()},
                )
                async for signum in signals:
                    if signum != signal.SIGHUP:
                        break
                    self._reload()
                await self._shutdown.run(
                    self._membership, self._cfg.bounds.termination_grace
                )
                if self._duties is not None:
                    await self._duties.send_last()
                self._pool.close()
                nursery.cancel_scope.cancel()

    async def _run_membership(self) -> None:
        """Keep this host registered from when it is ready until it drains."""
        while not self._readiness.is_ready():
            await trio.sleep(0.02)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._membership.run)
                await self._shutdown.wait_draining()
                scope.cancel()

    async def _poll_settings(self) -> None:
        """Reload settings that changed without a signal."""
        while True:
            await trio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload(only_if_changed=True)

    def _reload(self, only_if_changed: bool = False) -> None:
        """Apply changed bounds and hedging; the rest needs a restart.

        Parameters
        ----------
        only_if_changed : bool
            Whether to do and log nothing if the settings did not change.
        """
        cfg = self._read_settings()
        if cfg is None or (only_if_changed and cfg == self._cfg):
            return
        with_old_bounds = dataclasses.replace(
            cfg,
            bounds=self._cfg.bounds,
            hedge_extra_work=self._cfg.hedge_extra_work,
        )
        logger.info(
            'settings reloaded',
            extra={
                'bounds_changed': cfg.bounds != self._cfg.bounds,
                'restart_needed': with_old_bounds != self._cfg,
            },
        )
        self._cfg = cfg
        self._view.use_bounds(
            cfg.bounds.revocation_time, cfg.bounds.apply_time
        )
        self._retry_budget.set_limits(
            cfg.bounds.retry_ratio,
            cfg.bounds.retry_slack,
            cfg.bounds.retry_window,
        )
        self._placer.hedges.set_extra_work(cfg.hedge_extra_work)

    async def _housekeeping(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._pool.close_expired()
            self._memory.relieve()

    def _servers(self) -> list[serving.Server]:
        cfg = self._cfg
        limits = serving.ServerLimits(
            max_connections=min(
                cfg.max_open_files - RESERVED_FILE_DESCRIPTORS,
                self._byte_sizes.connections,
            ),
            max_header_bytes=app.MAX_HEADER_BYTES,
            idle_time=60.0,
            stalled_time=STALL_TIMEOUT_S,
        )
        limits = serving.small_buffers(limits, cfg.memory_bytes)
        auxiliary_limits = dataclasses.replace(
            limits,
            max_connections=AUXILIARY_CONNECTIONS,
            max_header_bytes=MAX_AUXILIARY_HEADER_BYTES,
            max_pending=AUXILIARY_MAX_PENDING,
        )
        public_limits = auxiliary_limits
        if cfg.memory_bytes:
            public_limits = dataclasses.replace(
                auxiliary_limits,
                max_connections=SMALL_HOST_PUBLIC_CONNECTIONS,
            )
        addresses = auxiliary_apps.Addresses(
            self._view,
            cfg.host_id,
            self._readiness,
            cfg.bounds.max_address_ttl,
            self._decode_domain,
        )
        # Readiness checks and other hosts do not wait for callers.
        starts = start_limit.StartLimit()
        caller_server = self._server(
            self._app, cfg.caller_port, limits, 'callers', starts=starts
        )
        peer_endpoints = auxiliary_apps.PeerEndpoints(self._follower.log)
        self._view.add_listener(_CallerLimitsUpdater(caller_server))
        return [
            caller_server,
            self._auxiliary_server(
                self._readiness.serve,
                cfg.ready_port,
                public_limits,
                'readiness',
            ),
            self._auxiliary_server(
                addresses.serve,
                cfg.address_port,
                public_limits,
                'addresses',
                starts,
            ),
            *(
                self._auxiliary_server(
                    peer_endpoints.serve, port, auxiliary_limits, 'peers'
                )
                for port in {cfg.metrics_port, cfg.peer_port}
            ),
        ]

    def _auxiliary_server(
        self,
        handler: auxiliary_apps.Handler,
        port: int,
        limits: serving.ServerLimits,
        port_name: str,
        starts: start_limit.StartLimit | None = None,
    ) -> serving.Server:
        return self._server(
            auxiliary_apps.HandlerApp(handler),
            port,
            limits,
            port_name,
            AUXILIARY_MAX_WAIT_S,
            starts,
        )

    def _server(
        self,
        application: serving.App,
        port: int,
        limits: serving.ServerLimits,
        port_name: str,
        max_wait: float = pending.MAX_WAIT_S,
        starts: start_limit.StartLimit | None = None,
    ) -> serving.Server:
        sock = serving.bind(self._cfg.address, port)
        return serving.Server(
            application,
            sock,
            limits,
            memory=self._memory,
            port_name=port_name,
            starts=starts,
            max_wait=max_wait,
            # These callers give up an attempt in a third of their time.
            max_wait_for_start=max_wait,
            build_refusal=functools.partial(
                _refuse_connection, random.Random()
            ),
        )


class _CallerLimitsUpdater(listener.Listener):
    """Applies the declared limits for callers to the server."""

    def __init__(self, server: serving.Server) -> None:
        self._server = server

    def use_table(self, table: routing.RoutingTable) -> None:
        """Apply the limits of new declarations."""
        self._server.set_limits(
            table.limits.header_bytes, table.limits.idle_time
        )


def _refuse_connection(rng: random.Random) -> bytes:
    """Return the response to a request whose connection got no slot."""
    refusal = refusals.no_connection(rng)
    metrics.count_ended('', 'refused', refusal.reason.value)
    return pending_connections.final_response(
        refusal.status, refusal.headers(), refusal.body()
    )


def _member(cfg: settings.GatewaySettings) -> members.Member:
    return members.Member(
        host_id=cfg.host_id,
        address=cfg.address,
        port=cfg.caller_port,
        peer_port=cfg.peer_port,
        failure_domain=cfg.failure_domain,
        start=secrets.token_hex(4),
        link_kbps=cfg.link_kbps,
    )
