"""Starts the shared state of one entry host."""

import dataclasses
import logging
import random
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.settings import peers as peer_settings
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.membership import incarnations
from corianderloft._internal.shared.peers import codec
from corianderloft._internal.shared.peers import keys
from corianderloft._internal.shared.peers import transport
from corianderloft._internal.shared import state
from corianderloft._internal.utils import tasks

logger = logging.getLogger(__name__)


async def run_shared(
    settings: root.Settings,
    kv: kv_interface.KeyValueClient,
    host: interface.Host,
    *,
    task_status: tasks.TaskStatus[
        interface.SharedState
    ] = trio.TASK_STATUS_IGNORED,
) -> typing.NoReturn:
    """Run the shared state of one host until cancelled.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    kv : KeyValueClient
        Client of the platform's key-value service.
    host : Host
        This host, with its caller port and the incarnation of this start.
        The peer port is bound here, as set in the section ``peers``.
    task_status : TaskStatus
        Receives the `interface.SharedState`.
    """
    if settings.peers.keys == peer_settings.DEFAULT_KEYS:
        logger.warning(
            'peers.keys is not set: any process that can reach the peer port'
            ' can impersonate a host'
        )
    ring = keys.KeyRing(
        [(key.key_id, key.secret.encode()) for key in settings.peers.keys]
    )
    peers = await transport.open_transport(
        host.address, settings.peers.port, codec.Codec(ring)
    )
    own = dataclasses.replace(
        host,
        incarnation=incarnations.first_incarnation(host.incarnation),
        peer_port=peers.address.port,
    )
    shared = state.HostSharedState(
        settings, kv, own, peers, random.Random()  # noqa: S311
    )
    task_status.started(shared)
    await shared.run()
    raise RuntimeError('the shared state task ended unexpectedly')
