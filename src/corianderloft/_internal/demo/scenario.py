"""Scenario of the demo: load, a slow engine, a drained host, a summary."""

import collections.abc
import dataclasses
import importlib.resources
import pathlib
import secrets
import typing

import httpcore
import orjson
import trio

from corianderloft._internal import declarations
from corianderloft._internal.demo import cluster as demo_cluster
from corianderloft._internal import load
from corianderloft._internal.metrics import reasons as reason_counters
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import states
from corianderloft._internal import security
from corianderloft._internal.settings import root
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.standin import platform_file

OPERATOR_KEY = 'clk_demo_operator'
_PEER_SECRET = secrets.token_hex()
SLOWED_ENGINE = 'ravi-2'
DRAINED_HOST = 'host-2'

SLOW_AT_S = 3.0
HEALTHY_AT_S = 10.0
DRAIN_AT_S = 6.0
SLOW_FACTOR = 8.0
ADDRESS_TTL_S = 2.0
ENGINE_STEP_TIME_S = 0.02
START_TIMEOUT_S = 15.0
DRAIN_TIMEOUT_S = 20.0
DEMO_TIMEOUT_S = 55.0
POLL_INTERVAL_S = 0.05

PrintLine = collections.abc.Callable[[str], None]
OnProgress = collections.abc.Callable[[load.Progress], None]


@dataclasses.dataclass(frozen=True)
class DemoReport:
    """Results of the demo.

    Attributes
    ----------
    measured : LoadReport or LoadProblem
        Measurements of the load generator.
    refused, retried, not_retried : dict of str to int
        Count of each reason that occurred.
    drained : bool
        Whether the drained host stopped once nothing was in flight.
    """

    measured: load.LoadReport | load.LoadProblem
    refused: dict[str, int]
    retried: dict[str, int]
    not_retried: dict[str, int]
    drained: bool


@dataclasses.dataclass(frozen=True)
class DemoProblem:
    """Reason why the demo could not be run."""

    detail: str


async def run_demo(
    print_line: PrintLine, on_progress: OnProgress, seed: int = 1
) -> DemoReport | DemoProblem:
    """Run the demo, which takes less than a minute.

    Parameters
    ----------
    print_line : callable
        Called with a description of each step.
    on_progress : callable
        Called about once a second with the progress of the load.
    seed : int
        Random seed of arrival times and lengths.
    """
    with trio.move_on_after(DEMO_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            report = await _run(nursery, print_line, on_progress, seed)
            nursery.cancel_scope.cancel()
        return report
    return DemoProblem('the demo did not end in time')


async def _run(
    nursery: trio.Nursery,
    print_line: PrintLine,
    on_progress: OnProgress,
    seed: int,
) -> DemoReport | DemoProblem:
    print_line('starting a key-value service, 3 engines and 3 entry hosts')
    cluster = await _start(nursery)
    problem = await _apply_declarations(cluster)
    if problem is not None:
        return problem
    workload = load.read_workload(_data() / 'workload.yaml')
    if isinstance(workload, load.LoadProblem):
        return DemoProblem(workload.detail)
    seeded = workload.model_copy(update={'seed': seed})
    print_line(f'three classes for {seeded.duration:g} s, seed {seed}')
    before = _reason_counts()
    nursery.start_soon(_inject_faults, cluster, print_line)
    measured = await load.run_load(
        seeded,
        [f'{h.address}:{h.caller_port}' for h in cluster.hosts.values()],
        [f'{demo_cluster.LOOPBACK}:{p}' for p in cluster.backends.values()],
        on_progress=on_progress,
    )
    with trio.move_on_after(DRAIN_TIMEOUT_S):
        await cluster.drained[DRAINED_HOST].wait()
        print_line(f'{DRAINED_HOST} had nothing left in flight and ended')
    increases = {
        reason_type: _increases(before[reason_type], count)
        for reason_type, count in _reason_counts().items()
    }
    return DemoReport(
        measured,
        increases[reasons.RefusalReason],
        increases[reasons.RetryReason],
        increases[reasons.RetryRefusalReason],
        cluster.drained[DRAINED_HOST].is_set(),
    )


def _data() -> pathlib.Path:
    package = importlib.resources.files(__package__ or __name__)
    return pathlib.Path(str(package)) / 'data'


async def _start(nursery: trio.Nursery) -> demo_cluster.Cluster:
    path = _data() / 'platform.yaml'
    lists = platform_file.read_platform_file(str(path))
    assert isinstance(lists, platform_file.PlatformFile), lists
    return await demo_cluster.start(
        nursery,
        lists,
        [_settings(name, item) for name, item in lists.hosts.items()],
        {'drafting-desk': states.ServiceKind.MODEL},
        {'step_time': ENGINE_STEP_TIME_S},
    )


def _settings(host_id: str, listed: platform_file.ListedHost) -> root.Settings:
    return root.Settings.model_validate(
        {
            'host': {
                'host_id': host_id,
                'failure_domain': listed.failure_domain,
            },
            'peers': {
                'answer_ttl_s': ADDRESS_TTL_S,
                'keys': [{'key_id': 1, 'secret': _PEER_SECRET}],
            },
            'operators': {
                'credentials': [
                    {
                        'name': 'demo',
                        'role': 'operator',
                        'token_sha256': security.hash_key(OPERATOR_KEY),
                    }
                ]
            },
        }
    )


async def _apply_declarations(
    cluster: demo_cluster.Cluster,
) -> DemoProblem | None:
    """Apply the declarations and wait until every host uses them."""
    declared = declarations.load_directory(_data() / 'declarations')
    if isinstance(declared, declarations.DeclarationErrors):
        return DemoProblem(str(declared))
    diff = declarations.compare(catalog.Catalog(ids.Revision(0)), declared)
    accepted = await edit.submit_change(
        cluster.client,
        diff.change,
        ids.Revision(0),
        ids.ChangeId('demo'),
        'demo',
    )
    if not isinstance(accepted, changes.Accepted):
        return DemoProblem(f'the declarations were refused: {accepted}')
    with trio.move_on_after(START_TIMEOUT_S):
        while not await _all_hosts_ready(cluster, accepted.revision):
            await trio.sleep(POLL_INTERVAL_S)
        return None
    return DemoProblem('the declarations did not reach every host')


async def _all_hosts_ready(
    cluster: demo_cluster.Cluster, revision: int
) -> bool:
    statuses = [
        await _call_operator_port(cluster, name, 'status')
        for name in cluster.hosts
    ]
    return all(
        status['revision'] >= revision
        and len(status['backends']) == len(cluster.backends)
        for status in statuses
    )


async def _inject_faults(
    cluster: demo_cluster.Cluster, print_line: PrintLine
) -> None:
    """Slow an engine, drain a host and restore the engine, on schedule."""
    started = trio.current_time()
    await trio.sleep_until(started + SLOW_AT_S)
    await _set_slow_factor(cluster, SLOW_FACTOR)
    print_line(f'engine {SLOWED_ENGINE} is now {SLOW_FACTOR:g} times slower')
    await trio.sleep_until(started + DRAIN_AT_S)
    await _call_operator_port(cluster, DRAINED_HOST, 'drain')
    print_line(f'{DRAINED_HOST} drains')
    await trio.sleep_until(started + HEALTHY_AT_S)
    await _set_slow_factor(cluster, 1.0)
    print_line(f'engine {SLOWED_ENGINE} is healthy again')


async def _set_slow_factor(
    cluster: demo_cluster.Cluster, factor: float
) -> None:
    port = cluster.backends[SLOWED_ENGINE]
    url = f'http://{demo_cluster.LOOPBACK}:{port}/control/faults'
    await _call('POST', url, {}, {'slow_factor': factor})


async def _call_operator_port(
    cluster: demo_cluster.Cluster, host_id: str, action: str
) -> typing.Any:
    host = cluster.hosts[host_id]
    url = f'http://{host.address}:{host.operator_port}/v1/{action}'
    method = 'GET' if action == 'status' else 'POST'
    headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
    return await _call(method, url, headers, {})


async def _call(
    method: str,
    url: str,
    headers: dict[str, str],
    body: dict[str, typing.Any],
) -> typing.Any:
    content = orjson.dumps(body)
    parsed_url = httpcore.URL(url)
    async with httpcore.AsyncHTTPConnection(origin=parsed_url.origin) as conn:
        response = await conn.request(
            method,
            parsed_url,
            headers=[
                ('Host', url.split('/')[2]),
                ('Content-Length', str(len(content))),
                *headers.items(),
            ],
            content=content,
        )
    return orjson.loads(response.content)


Counts = dict[typing.Any, dict[str, int]]


def _reason_counts() -> Counts:
    return {
        reason_type: reason_counters.counts(reason_type)
        for reason_type in _REASON_TYPES
    }


_REASON_TYPES = (
    reasons.RefusalReason,
    reasons.RetryReason,
    reasons.RetryRefusalReason,
)


def _increases(
    before: dict[str, int], after: dict[str, int]
) -> dict[str, int]:
    """Return the increase of each counter, omitting unchanged ones."""
    added = {name: count - before[name] for name, count in after.items()}
    return {name: count for name, count in added.items() if count}
