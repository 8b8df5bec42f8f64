"""Serves the ports of an entry host until it has drained."""

import collections.abc
import contextlib
import dataclasses
import functools
import signal
import socket
import ssl

import trio

from corianderloft._internal.decisions import interface as decisions
from corianderloft._internal.entry import callers_app
from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import drain
from corianderloft._internal.entry import feeds
from corianderloft._internal.entry import operators_app
from corianderloft._internal.entry import refusals
from corianderloft._internal.metrics import budget
from corianderloft._internal.metrics import queues
from corianderloft._internal.network import serving
from corianderloft._internal.network import tls
from corianderloft._internal.settings import callers
from corianderloft._internal.settings import operators
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface as shared_state
from corianderloft._internal.utils import tasks

HOUSEKEEPING_INTERVAL_S = 1.0
"""Interval between evictions of old responses and connections, in seconds."""

BackgroundTask = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Sockets:
    """Bound listening sockets of a host."""

    callers: socket.socket
    operators: socket.socket

    @property
    def caller_port(self) -> int:
        """TCP port for callers."""
        return int(self.callers.getsockname()[1])

    @property
    def operator_port(self) -> int:
        """TCP port for operators."""
        return int(self.operators.getsockname()[1])


def bind(settings: root.Settings) -> Sockets:
    """Bind both ports, so that they are known before the host starts.

    Raises
    ------
    OSError
        If a port is in use or the address is not local.
    """
    address = settings.host.address
    return Sockets(
        serving.bind(address, settings.callers.port),
        serving.bind(address, settings.operators.port),
    )


async def serve_host(
    settings: root.Settings,
    shared: shared_state.SharedState,
    dispatcher: decisions.Dispatcher,
    sockets: Sockets | None = None,
    background: collections.abc.Sequence[BackgroundTask] = (),
    stop: trio.Event | None = None,
    handle_signals: bool = True,
    task_status: tasks.TaskStatus[Sockets] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers and operators until the host has drained.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    shared : SharedState
        State shared between hosts; its own tasks belong in
        ``background``.
    dispatcher : Dispatcher
        Schedules and routes requests.
    sockets : Sockets or None
        Bound sockets; None binds the ports from the settings.
    background : sequence of callables
        Tasks that run as long as the host serves.
    stop : Event or None
        Drains the host when set, like SIGTERM does.
    handle_signals : bool
        Whether SIGTERM and SIGINT drain the host.
    task_status : TaskStatus
        Reports the bound sockets once the host serves.
    """
    sockets = sockets or bind(settings)
    components = host_components.build_components(settings, shared, dispatcher)
    drain_controller = drain.DrainController(components)
    stopped = trio.Event()
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(budget.registered_source(components.memory.budget))
        stack.enter_context(queues.registered_source(dispatcher.queue_states))
        nursery = await stack.enter_async_context(trio.open_nursery())
        for task in (*background, *_host_tasks(components)):
            nursery.start_soon(task)
        if handle_signals:
            await nursery.start(_drain_on_signals, drain_controller)
        if stop is not None:
            nursery.start_soon(_drain_on_event, stop, drain_controller)
        async with trio.open_nursery() as servers:
            for server in _servers(
                components, drain_controller, sockets, nursery
            ):
                servers.start_soon(server.serve, stopped)
            task_status.started(sockets)
            await drain_controller.run()
            stopped.set()
        await components.connections.close()
        nursery.cancel_scope.cancel()


def _host_tasks(
    components: host_components.HostComponents,
) -> tuple[BackgroundTask, ...]:
    dispatcher_feed = feeds.DispatcherFeed(components)
    return (
        components.silence_watch.run,
        components.priority_updater.run,
        functools.partial(_housekeeping, components),
        dispatcher_feed.follow_shared_state,
        dispatcher_feed.poll_engines,
    )


def _servers(
    components: host_components.HostComponents,
    drain_controller: drain.DrainController,
    sockets: Sockets,
    nursery: trio.Nursery,
) -> tuple[serving.Server, serving.Server]:
    cfg = components.settings.callers
    operator_cfg = components.settings.operators
    limits = serving.ServerLimits(
        min(
            cfg.max_connections,
            host_components.byte_sizes(components.settings).connections,
        ),
        cfg.max_header_bytes,
        cfg.idle_time,
        cfg.stalled_time,
    )
    limits = serving.small_buffers(
        limits, components.settings.host.memory_bytes
    )
    operator_limits = dataclasses.replace(
        limits, max_connections=operator_cfg.max_connections
    )
    return (
        serving.Server(
            callers_app.CallersApp(components, drain_controller),
            sockets.callers,
            limits,
            _tls(cfg, nursery),
            components.memory,
            build_refusal=refusals.refuse_connection,
        ),
        serving.Server(
            operators_app.OperatorsApp(components, drain_controller),
            sockets.operators,
            operator_limits,
            _tls(operator_cfg, nursery),
            components.memory,
            'operators',
            build_refusal=refusals.refuse_connection,
        ),
    )


def _tls(
    cfg: callers.CallerSettings | operators.OperatorSettings,
    nursery: trio.Nursery,
) -> ssl.SSLContext | None:
    if cfg.tls_certificate is None:
        return None
    certificate = tls.Certificate(cfg.tls_certificate, cfg.tls_key)
    nursery.start_soon(certificate.watch)
    return certificate.context


async def _housekeeping(components: host_components.HostComponents) -> None:
    while True:
        await trio.sleep(HOUSEKEEPING_INTERVAL_S)
        components.responses.evict_expired()
        components.memory.relieve()
        await components.connections.close_expired()


async def _drain_on_event(
    stop: trio.Event, drain_controller: drain.DrainController
) -> None:
    await stop.wait()
    drain_controller.begin()


async def _drain_on_signals(
    drain_controller: drain.DrainController,
    task_status: tasks.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started(None)
        async for _ in signals:
            drain_controller.begin()
