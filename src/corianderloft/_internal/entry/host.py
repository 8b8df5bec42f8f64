"""Runs an entry host until it has drained."""

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
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import drain
from corianderloft._internal.entry import feeds
from corianderloft._internal.entry import operators_app
from corianderloft._internal.metrics import queues
from corianderloft._internal.network import serving
from corianderloft._internal.network import tls
from corianderloft._internal.settings import callers
from corianderloft._internal.settings import operators
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface as shared_state
from corianderloft._internal.utils import tasks

HOUSEKEEPING_INTERVAL = 1.0
"""Time between two clean-ups of what is kept, in seconds."""

Background = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Sockets:
    """Bound sockets of a host."""

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
    """Bind both ports, so that they are known before the host serves.

    Raises
    ------
    OSError
        If a port is taken or the address is not this host's.
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
    background: collections.abc.Sequence[Background] = (),
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
        What the hosts share; its own tasks belong into ``background``.
    dispatcher : Dispatcher
        Takes the decisions.
    sockets : Sockets or None
        Bound sockets; None binds those of the settings.
    background : sequence of callables
        Tasks that run as long as the host serves.
    stop : Event or None
        Drains the host when set, like SIGTERM.
    handle_signals : bool
        Whether SIGTERM and SIGINT drain the host.
    task_status : TaskStatus
        Started with the bound sockets.
    """
    sockets = sockets or bind(settings)
    parts = entry_components.assemble(settings, shared, dispatcher)
    draining = drain.Drain(parts)
    stopped = trio.Event()
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(queues.watched(dispatcher.queue_states))
        nursery = await stack.enter_async_context(trio.open_nursery())
        for task in (*background, *_tasks(parts)):
            nursery.start_soon(task)
        if handle_signals:
            await nursery.start(_drain_on_signals, draining)
        if stop is not None:
            nursery.start_soon(_drain_on, stop, draining)
        async with trio.open_nursery() as servers:
            for server in _servers(parts, draining, sockets, nursery):
                servers.start_soon(server.serve, stopped)
            task_status.started(sockets)
            await draining.run()
            stopped.set()
        await parts.kept.close()
        nursery.cancel_scope.cancel()


def _tasks(parts: entry_components.Parts) -> tuple[Background, ...]:
    feed = feeds.Feeds(parts)
    return (
        parts.watch.run,
        parts.priorities.run,
        functools.partial(_housekeeping, parts),
        feed.follow_shared_state,
        feed.poll_engines,
    )


def _servers(
    parts: entry_components.Parts,
    draining: drain.Drain,
    sockets: Sockets,
    nursery: trio.Nursery,
) -> tuple[serving.Server, serving.Server]:
    cfg = parts.settings.callers
    operator_cfg = parts.settings.operators
    limits = serving.ServerLimits(
        cfg.max_connections,
        cfg.max_header_bytes,
        cfg.idle_time,
        cfg.stalled_time,
    )
    operator_limits = dataclasses.replace(
        limits, max_connections=operator_cfg.max_connections
    )
    return (
        serving.Server(
            callers_app.CallersApp(parts, draining),
            sockets.callers,
            limits,
            _tls(cfg, nursery),
        ),
        serving.Server(
            operators_app.OperatorsApp(parts, draining),
            sockets.operators,
            operator_limits,
            _tls(operator_cfg, nursery),
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


async def _housekeeping(parts: entry_components.Parts) -> None:
    while True:
        await trio.sleep(HOUSEKEEPING_INTERVAL)
        parts.answers.drop_old()
        await parts.kept.close_old()


async def _drain_on(stop: trio.Event, draining: drain.Drain) -> None:
    await stop.wait()
    draining.begin()


async def _drain_on_signals(
    draining: drain.Drain,
    task_status: tasks.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started(None)
        async for _ in received:
            draining.begin()
