"""The demo's course: load, a slow engine, a drained host, a summary."""

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

SLOW_AT = 3.0  # s
HEALTHY_AT = 10.0  # s
DRAIN_AT = 6.0  # s
SLOW_FACTOR = 8.0
ANSWER_TTL = 2.0  # s
ENGINE_STEP = 0.02  # s
START_BOUND = 15.0  # s
END_BOUND = 20.0  # s
WHOLE_BOUND = 55.0  # s
POLL_INTERVAL = 0.05  # s

Say = collections.abc.Callable[[str], None]
OnProgress = collections.abc.Callable[[load.Progress], None]


@dataclasses.dataclass(frozen=True)
class DemoReport:
    """What the demo showed.

    Attributes
    ----------
    measured : LoadReport or LoadProblem
        What callers saw.
    refused, retried, not_retried : dict of str to int
        How often each reason was met, those met at least once.
    drained : bool
        Whether the drained host ended by itself.
    """

    measured: load.LoadReport | load.LoadProblem
    refused: dict[str, int]
    retried: dict[str, int]
    not_retried: dict[str, int]
    drained: bool


@dataclasses.dataclass(frozen=True)
class DemoProblem:
    """Why the demo could not be shown."""

    detail: str


async def run_demo(
    say: Say, on_progress: OnProgress, seed: int = 1
) -> DemoReport | DemoProblem:
    """Run the demo; it ends by itself within a minute.

    Parameters
    ----------
    say : callable
        Told each step.
    on_progress : callable
        Told about once a second how far the load is.
    seed : int
        Seed of arrivals and lengths.
    """
    with trio.move_on_after(WHOLE_BOUND):
        async with trio.open_nursery() as nursery:
            report = await _run(nursery, say, on_progress, seed)
            nursery.cancel_scope.cancel()
        return report
    return DemoProblem('the demo did not end in time')


async def _run(
    nursery: trio.Nursery, say: Say, on_progress: OnProgress, seed: int
) -> DemoReport | DemoProblem:
    say('starting a key-value service, 3 engines and 3 entry hosts')
    cluster = await _start(nursery)
    problem = await _declare(cluster)
    if problem is not None:
        return problem
    workload = load.read_workload(_data() / 'workload.yaml')
    if isinstance(workload, load.LoadProblem):
        return DemoProblem(workload.detail)
    seeded = workload.model_copy(update={'seed': seed})
    say(f'three classes for {seeded.duration:g} s, seed {seed}')
    before = _counts()
    nursery.start_soon(_interfere, cluster, say)
    measured = await load.run_load(
        seeded,
        [f'{h.address}:{h.caller_port}' for h in cluster.hosts.values()],
        [f'{demo_cluster.LOOPBACK}:{p}' for p in cluster.backends.values()],
        on_progress=on_progress,
    )
    with trio.move_on_after(END_BOUND):
        await cluster.ended[DRAINED_HOST].wait()
        say(f'{DRAINED_HOST} had nothing left in flight and ended')
    met = {
        kind: _grown(before[kind], count) for kind, count in _counts().items()
    }
    return DemoReport(
        measured,
        met[reasons.RefusalReason],
        met[reasons.RetryReason],
        met[reasons.RetryRefusalReason],
        cluster.ended[DRAINED_HOST].is_set(),
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
        {'step_time': ENGINE_STEP},
    )


def _settings(host_id: str, listed: platform_file.ListedHost) -> root.Settings:
    return root.Settings.model_validate(
        {
            'host': {
                'host_id': host_id,
                'failure_domain': listed.failure_domain,
            },
            'peers': {
                'answer_ttl_s': ANSWER_TTL,
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


async def _declare(cluster: demo_cluster.Cluster) -> DemoProblem | None:
    """Put the declarations in force and wait until every host has them."""
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
    with trio.move_on_after(START_BOUND):
        while not await _all_have(cluster, accepted.revision):
            await trio.sleep(POLL_INTERVAL)
        return None
    return DemoProblem('the declarations did not reach every host')


async def _all_have(cluster: demo_cluster.Cluster, revision: int) -> bool:
    seen = [await _operate(cluster, name, 'status') for name in cluster.hosts]
    return all(
        status['revision'] >= revision
        and len(status['backends']) == len(cluster.backends)
        for status in seen
    )


async def _interfere(cluster: demo_cluster.Cluster, say: Say) -> None:
    """Slow an engine, drain a host, and heal the engine, on time."""
    started = trio.current_time()
    await trio.sleep_until(started + SLOW_AT)
    await _slow(cluster, SLOW_FACTOR)
    say(f'engine {SLOWED_ENGINE} is now {SLOW_FACTOR:g} times slower')
    await trio.sleep_until(started + DRAIN_AT)
    await _operate(cluster, DRAINED_HOST, 'drain')
    say(f'{DRAINED_HOST} drains')
    await trio.sleep_until(started + HEALTHY_AT)
    await _slow(cluster, 1.0)
    say(f'engine {SLOWED_ENGINE} is healthy again')


async def _slow(cluster: demo_cluster.Cluster, factor: float) -> None:
    port = cluster.backends[SLOWED_ENGINE]
    url = f'http://{demo_cluster.LOOPBACK}:{port}/control/faults'
    await _call('POST', url, {}, {'slow_factor': factor})


async def _operate(
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
    sent = orjson.dumps(body)
    parts = httpcore.URL(url)
    async with httpcore.AsyncHTTPConnection(origin=parts.origin) as conn:
        response = await conn.request(
            method,
            parts,
            headers=[
                ('Host', url.split('/')[2]),
                ('Content-Length', str(len(sent))),
                *headers.items(),
            ],
            content=sent,
        )
    return orjson.loads(response.content)


Counts = dict[typing.Any, dict[str, int]]


def _counts() -> Counts:
    return {kind: reason_counters.counts(kind) for kind in _KINDS}


_KINDS = (
    reasons.RefusalReason,
    reasons.RetryReason,
    reasons.RetryRefusalReason,
)


def _grown(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    """Return what was added, without what stayed the same."""
    added = {name: count - before[name] for name, count in after.items()}
    return {name: count for name, count in added.items() if count}
