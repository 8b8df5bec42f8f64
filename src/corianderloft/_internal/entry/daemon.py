"""Builds and runs an entry host from its settings."""

import dataclasses
import functools

import trio

from corianderloft._internal.decisions import dispatcher
from corianderloft._internal.entry import host as entry_host
from corianderloft._internal import kernel
from corianderloft._internal.kv import etcd as _etcd  # noqa: F401
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.metrics import kv_calls
from corianderloft._internal.models import ids
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface as shared_interface
from corianderloft._internal.shared import start
from corianderloft._internal.utils import tasks


@dataclasses.dataclass(frozen=True)
class Started:
    """Identity and bound ports of a host that accepts requests.

    Attributes
    ----------
    host_id : HostId
        Identity of the host.
    address : str
        IP address.
    caller_port, operator_port : int
        Bound TCP ports.
    peer_port : int
        Bound UDP and TCP port for peers.
    """

    host_id: ids.HostId
    address: str
    caller_port: int
    operator_port: int
    peer_port: int


def make_kv(settings: root.Settings) -> kv_interface.KeyValueClient:
    """Return the key-value client named in the settings.

    Raises
    ------
    ValueError
        If no client plug-in has that name; validated settings always
        name one.
    """
    factory = kv_interface.CLIENTS.find(settings.kv.client)
    if isinstance(factory, kernel.UnknownPlugin):
        raise ValueError(str(factory))
    return kv_calls.CountingClient(factory(settings.kv))


def describe_host(
    settings: root.Settings, sockets: entry_host.Sockets
) -> shared_interface.Host:
    """Return the record of this host that its peers will see."""
    return shared_interface.Host(
        host_id=ids.HostId(settings.host.host_id),
        incarnation=ids.Incarnation(0),
        address=settings.host.address,
        caller_port=sockets.caller_port,
        peer_port=settings.peers.port,
        failure_domain=ids.FailureDomain(settings.host.failure_domain),
    )


async def run(
    settings: root.Settings,
    stop: trio.Event | None = None,
    handle_signals: bool = True,
    task_status: tasks.TaskStatus[Started] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one entry host until it has drained.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    stop : Event or None
        Drains the host when set, like SIGTERM does.
    handle_signals : bool
        Whether SIGTERM and SIGINT drain the host.
    task_status : TaskStatus
        Reports the started host once callers can connect.
    """
    sockets = entry_host.bind(settings)
    own_host = describe_host(settings, sockets)
    async with trio.open_nursery() as nursery:
        shared = await nursery.start(
            start.run_shared, settings, make_kv(settings), own_host
        )
        async with trio.open_nursery() as serving:
            await serving.start(
                functools.partial(
                    entry_host.serve_host,
                    settings,
                    shared,
                    dispatcher.LocalDispatcher(settings.decisions),
                    sockets,
                    stop=stop,
                    handle_signals=handle_signals,
                )
            )
            task_status.started(_started(own_host, shared, sockets))
        nursery.cancel_scope.cancel()


def _started(
    own_host: shared_interface.Host,
    shared: shared_interface.SharedState,
    sockets: entry_host.Sockets,
) -> Started:
    peer_port = next(
        host.peer_port
        for host in shared.live_hosts()
        if host.host_id == own_host.host_id
    )
    return Started(
        own_host.host_id,
        own_host.address,
        sockets.caller_port,
        sockets.operator_port,
        peer_port,
    )
