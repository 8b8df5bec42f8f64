"""Stand-ins and entry hosts in one process, on loopback sockets."""

import collections.abc
import dataclasses
import functools
import typing

import trio

from corianderloft._internal.entry import daemon
from corianderloft._internal.kv import etcd
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import states
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.settings import root
from corianderloft._internal import standin
from corianderloft._internal.standin import platform_file

LOOPBACK = '127.0.0.1'

ServiceKinds = collections.abc.Mapping[str, states.ServiceKind]
EngineOptions = collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass
class Cluster:
    """Running processes of a cluster and their ports.

    Attributes
    ----------
    kv_url : str
        URL of the key-value service.
    client : KeyValueClient
        Client for it.
    backends : dict of str to int
        Port of each backend server.
    hosts : dict of str to Started
        Bound ports of each entry host.
    drained : dict of str to Event
        Event of each host, set once it has drained and stopped.
    """

    kv_url: str
    client: kv_interface.KeyValueClient
    backends: dict[str, int] = dataclasses.field(default_factory=dict)
    hosts: dict[str, daemon.Started] = dataclasses.field(default_factory=dict)
    drained: dict[str, trio.Event] = dataclasses.field(default_factory=dict)


async def start(
    nursery: trio.Nursery,
    lists: platform_file.PlatformFile,
    hosts: collections.abc.Sequence[root.Settings],
    kinds: ServiceKinds,
    engine_options: EngineOptions | None = None,
) -> Cluster:
    """Start a key-value service, backend servers and entry hosts.

    The kernel assigns all ports, which are written to the platform's lists.

    Parameters
    ----------
    nursery : Nursery
        Nursery that runs them.
    lists : PlatformFile
        Backend servers to start, and hosts; their ports are replaced.
    hosts : sequence of Settings
        Entry hosts to start.
    kinds : mapping of str to ServiceKind
        Kind of each service.
    engine_options : mapping, optional
        Settings for all stand-in engines.
    """
    port = await nursery.start(standin.serve_kv, standin.KvSettings())
    url = f'http://{LOOPBACK}:{port}'
    client = etcd.EtcdClient(kv_settings.KvSettings(endpoint=url))
    cluster = Cluster(url, client)
    for engine_id, listed in lists.backends.items():
        cluster.backends[engine_id] = await _start_backend(
            nursery, engine_id, listed, kinds, engine_options or {}
        )
    for settings in hosts:
        await _start_host(nursery, cluster, settings)
    await _publish_lists(cluster, lists)
    return cluster


async def _start_backend(
    nursery: trio.Nursery,
    engine_id: str,
    listed: platform_file.ListedBackend,
    kinds: ServiceKinds,
    options: EngineOptions,
) -> int:
    if kinds[listed.service] is states.ServiceKind.PLAIN:
        service: int = await nursery.start(
            standin.serve_service, standin.ServiceSettings()
        )
        return service
    settings = standin.EngineSettings(
        engine_id=engine_id,
        model=listed.model,
        slots=listed.slots,
        **options,
    )
    engine: int = await nursery.start(standin.serve_engine, settings)
    return engine


async def _start_host(
    nursery: trio.Nursery, cluster: Cluster, settings: root.Settings
) -> None:
    host_id = settings.host.host_id
    drained = cluster.drained[host_id] = trio.Event()
    bound_settings = _with_assigned_ports(settings, cluster.kv_url)
    cluster.hosts[host_id] = await nursery.start(
        functools.partial(_run_host, bound_settings, drained)
    )


async def _run_host(
    settings: root.Settings,
    drained: trio.Event,
    task_status: trio.TaskStatus[daemon.Started] = trio.TASK_STATUS_IGNORED,
) -> None:
    await daemon.run(settings, handle_signals=False, task_status=task_status)
    drained.set()


def _with_assigned_ports(
    settings: root.Settings, kv_url: str
) -> root.Settings:
    """Return settings with kernel-assigned ports and this ``kv_url``."""
    data = settings.model_dump()
    for section in ('callers', 'operators', 'peers'):
        data[section]['port'] = 0
    data['kv']['endpoint'] = kv_url
    return root.Settings.model_validate(data)


async def _publish_lists(
    cluster: Cluster, lists: platform_file.PlatformFile
) -> None:
    """Publish the platform's lists with the bound ports.

    Raises
    ------
    RuntimeError
        If the key-value service rejects the write.
    """
    servers = {
        engine_id: listed.model_copy(
            update={'port': cluster.backends[engine_id]}
        )
        for engine_id, listed in lists.backends.items()
    }
    hosts = {
        host_id: host.model_copy(
            update={
                'caller_port': cluster.hosts[host_id].caller_port,
                'peer_port': cluster.hosts[host_id].peer_port,
            }
        )
        for host_id, host in lists.hosts.items()
    }
    bound_lists = platform_file.PlatformFile(hosts=hosts, backends=servers)
    written = await platform_file.write_entries(
        cluster.client, platform_file.entries(bound_lists)
    )
    if not isinstance(written, kv_interface.Written):
        raise RuntimeError(f'the platform lists were not written: {written}')
