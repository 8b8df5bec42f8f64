"""Reads the platform's lists of hosts and backend servers from a file."""

import collections.abc
import itertools
import pathlib

import pydantic

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.settings import base
from corianderloft._internal.utils import checking
from corianderloft._internal.utils import yaml_files

HOST_PREFIX = 'platform/hosts/'
BACKEND_PREFIX = 'platform/backends/'

_BACKEND = pydantic.TypeAdapter(backends.Backend)


class ListedHost(base.Section):
    """One entry host in the platform's list."""

    address: str = base.setting('127.0.0.1', 'IP number.')
    caller_port: int = base.setting(..., 'TCP port for callers.')
    peer_port: int = base.setting(..., 'UDP port for peers.')
    failure_domain: str = base.setting(..., 'Where it stands.')
    state: states.HostState = base.setting(
        states.HostState.LIVE, 'Whether it is leaving.'
    )


class ListedBackend(base.Section):
    """One backend server in the platform's list."""

    service: str = base.setting(..., 'Service that it belongs to.')
    supplier: str = base.setting(..., 'Supplier or engine vendor.')
    model: str = base.setting(..., 'Model version that it serves.')
    address: str = base.setting('127.0.0.1', 'IP number.')
    port: int = base.setting(..., 'TCP port.')
    failure_domain: str = base.setting(..., 'Where it stands.')
    slots: int = base.setting(8, 'Requests that it runs at once.', ge=1)
    state: states.BackendState = base.setting(
        states.BackendState.LIVE, 'Whether it is leaving.'
    )


class PlatformFile(base.Section):
    """The lists of entry hosts and backend servers."""

    hosts: dict[str, ListedHost] = base.setting({}, 'Entry hosts by id.')
    backends: dict[str, ListedBackend] = base.setting(
        {}, 'Backend servers by id.'
    )


def read_platform_file(
    path: str,
) -> PlatformFile | tuple[checking.Problem, ...]:
    """Return the lists in a file, or all validation errors in it."""
    data = yaml_files.read_yaml(pathlib.Path(path))
    if isinstance(data, checking.Problem):
        return (data,)
    return checking.check(PlatformFile, data, path)


def entries(lists: PlatformFile) -> dict[str, bytes]:
    """Return both lists as keys and values of the key-value service."""
    hosts = (
        (HOST_PREFIX + host_id, host.model_dump_json().encode())
        for host_id, host in lists.hosts.items()
    )
    servers = (
        (BACKEND_PREFIX + engine_id, encode_backend(engine_id, listed))
        for engine_id, listed in lists.backends.items()
    )
    return dict(itertools.chain(hosts, servers))


def encode_backend(engine_id: str, listed: ListedBackend) -> bytes:
    """Return the value stored for one backend server."""
    return _BACKEND.dump_json(
        backends.Backend(
            engine_id=ids.EngineId(engine_id),
            service=ids.ServiceName(listed.service),
            supplier=ids.SupplierName(listed.supplier),
            model=ids.ModelVersion(listed.model),
            address=listed.address,
            port=listed.port,
            failure_domain=ids.FailureDomain(listed.failure_domain),
            slots=listed.slots,
            state=listed.state,
        )
    )


async def write_entries(
    client: kv_interface.KeyValueClient,
    listed: collections.abc.Mapping[str, bytes],
) -> kv_interface.Write:
    """Write both lists in one transaction."""
    puts = [kv_interface.Put(key, value) for key, value in listed.items()]
    return await client.transact((), puts)
