"""Synthetic hosts, engines, workspaces and requests."""

import hashlib

from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.peers import messages

SERVICE = ids.ServiceName('drafting-desk')
SUPPLIER = ids.SupplierName('supplier')
MODEL = ids.ModelVersion('model')
ADDRESS = '10.0.0.1'
FAILURE_DOMAINS = 9


def host(number: int) -> interface.Host:
    """Return an entry host."""
    return interface.Host(
        ids.HostId(f'host-{number}'),
        ids.Incarnation(1_700_000_000_000 + number),
        ADDRESS,
        8080,
        7070,
        ids.FailureDomain(f'domain-{number % FAILURE_DOMAINS}'),
    )


def backend(number: int) -> backends.Backend:
    """Return a model engine."""
    return backends.Backend(
        ids.EngineId(f'engine-{number}'),
        SERVICE,
        SUPPLIER,
        MODEL,
        ADDRESS,
        9090,
        ids.FailureDomain(f'domain-{number % FAILURE_DOMAINS}'),
    )


def datagram(members: int) -> messages.Datagram:
    """Return a probe that carries updates about ``members`` hosts."""
    sender = host(0)
    return messages.Datagram(
        messages.DatagramKind.PING,
        sender.host_id,
        sender.incarnation,
        1,
        ids.HostId('host-1'),
        ids.Revision(1_000_000),
        ids.Revision(1_000_000),
        1.0,
        12345,
        tuple(host(n) for n in range(members)),
    )


def template() -> catalog.ServiceTemplate:
    """Return the template of a service with one class and one route."""
    return catalog.ServiceTemplate(
        SERVICE,
        states.ServiceKind.MODEL,
        (catalog.RequestClass(ids.ClassName('short'), ids.Tier(0)),),
        (catalog.SupplierRoute(SUPPLIER, MODEL),),
    )


def workspace(number: int) -> catalog.Workspace:
    """Return a workspace with one key."""
    name = f'workspace-{number}'
    key_hash = hashlib.sha256(name.encode()).hexdigest()
    return catalog.Workspace(ids.WorkspaceId(name), (key_hash,), (SERVICE,))


def shard_entries(workspaces: int) -> tuple[mirror.Entry, ...]:
    """Return entries of the configuration with ``workspaces`` workspaces."""
    shards: dict[str, list[catalog.Workspace]] = {}
    for number in range(workspaces):
        new_workspace = workspace(number)
        shards.setdefault(
            layout.shard_key(new_workspace.workspace_id), []
        ).append(new_workspace)
    return tuple(
        mirror.Entry(
            key, layout.SHARD.dump_json(tuple(members)), ids.Revision(1)
        )
        for key, members in shards.items()
    )


def ticket(number: int, now: float) -> requests.Ticket:
    """Return a request that arrives now."""
    return requests.Ticket(
        ids.RequestId(f'request-{number}'),
        ids.WorkspaceId(f'workspace-{number % 100}'),
        SERVICE,
        ids.ClassName('short'),
        ids.Tier(0),
        now,
        now + 30.0,
        200,
        100,
    )
