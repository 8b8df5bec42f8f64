"""Puts an entry host together from its packages and runs it."""

import dataclasses
import functools
import random
import time

import trio

from corianderloft._internal.decisions import dispatcher
from corianderloft._internal.entry import host
from corianderloft._internal.kernel import registry
from corianderloft._internal import kv
from corianderloft._internal.metrics import kv_calls
from corianderloft._internal.models import ids
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import state
from corianderloft._internal.utils import tasks


@dataclasses.dataclass(frozen=True)
class BoundHost:
    """Where a host that serves is reached.

    Attributes
    ----------
    host_id : str
        Identity of the host.
    address : str
        IP number.
    caller_port, operator_port, peer_port : int
        Bound ports.
    """

    host_id: str
    address: str
    caller_port: int
    operator_port: int
    peer_port: int


async def run_host(
    settings: root.Settings,
    stop: trio.Event | None = None,
    handle_signals: bool = True,
    task_status: tasks.TaskStatus[BoundHost] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry host until it has drained.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    stop : Event, optional
        Drains the host when set, like SIGTERM.
    handle_signals : bool
        Whether SIGTERM and SIGINT drain the host.
    task_status : TaskStatus
        Started with the bound ports.

    Raises
    ------
    LookupError
        If the settings name a plug-in that nobody registered; `check`
        finds that before.
    OSError
        If a port is taken or the address is not this host's.
    """
    client = _kv_client(settings)
    rng = random.Random()
    sockets = host.bind(settings)
    own = _own_host(settings, sockets)
    shared = state.HostSharedState(settings, client, own, rng)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            functools.partial(
                host.serve_host,
                settings,
                shared,
                dispatcher.LocalDispatcher(settings.decisions, rng),
                sockets,
                (shared.run,),
                stop,
                handle_signals,
            )
        )
        task_status.started(_bound_host(own, sockets))


def _kv_client(settings: root.Settings) -> kv_calls.CountedClient:
    factory = kv.CLIENTS.find(settings.kv.client)
    if isinstance(factory, registry.UnknownPlugin):
        raise LookupError(str(factory))
    return kv_calls.CountedClient(factory(settings.kv))


def _own_host(
    settings: root.Settings, sockets: host.Sockets
) -> interface.Host:
    return interface.Host(
        ids.HostId(settings.host.host_id),
        ids.Incarnation(int(time.time())),
        settings.host.address,
        sockets.caller_port,
        settings.peers.port,
        ids.FailureDomain(settings.host.failure_domain),
    )


def _bound_host(own: interface.Host, sockets: host.Sockets) -> BoundHost:
    return BoundHost(
        own.host_id,
        own.address,
        sockets.caller_port,
        sockets.operator_port,
        own.peer_port,
    )
