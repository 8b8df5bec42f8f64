"""A swap of supplier and model version under load fails no request."""

import collections.abc
import pathlib

import orjson
import trio

from corianderloft._internal import declarations
from corianderloft._internal.demo import cluster as clusters
from corianderloft._internal import load
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal import security
from corianderloft._internal.settings import root
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.standin import platform_file
from tests.lib import calls
from tests.lib import processes

KEY = 'clk_swap'
OPERATOR_KEY = 'clk_swap_operator'
SERVICE = 'lace-model'
OLD, NEW = 'delta-gpu', 'fayoum-cloud'
DURATION_S = 3.0
SWAP_AFTER_S = 1.0
MIN_REQUESTS = 5  # of 30 per round of load

DECLARATIONS = f"""
services:
  {SERVICE}:
    kind: model
    classes:
      quote: {{tier: 0, deadline_s: 20, max_tokens: 400}}
    routes:
      - {{supplier: SUPPLIER, model: MODEL}}
workspaces:
  cairo:
    key_hashes: [{security.hash_key(KEY)}]
    services: {{{SERVICE}: }}
"""
MODELS = {OLD: 'lace-7b-v1', NEW: 'lace-9b-v1'}


def _load_declarations(
    directory: pathlib.Path, supplier: str
) -> declarations.Declarations:
    text = DECLARATIONS.replace('SUPPLIER', supplier)
    path = directory / 'all.yaml'
    path.write_text(text.replace('MODEL', MODELS[supplier]))
    loaded = declarations.load_directory(directory)
    assert isinstance(loaded, declarations.Declarations), str(loaded)
    return loaded


async def _apply(
    stage: clusters.Cluster,
    declared: declarations.Declarations,
    change_id: str,
) -> ids.Revision:
    stored = await edit.read_configuration(stage.client)
    assert isinstance(stored, edit.StoredConfiguration)
    diff = declarations.compare(stored.catalog, declared)
    accepted = await edit.submit_change(
        stage.client,
        diff.change,
        stored.revision,
        ids.ChangeId(change_id),
        'amina',
    )
    assert isinstance(accepted, changes.Accepted)
    await processes.wait_for(
        lambda: _in_force(stage, accepted.revision), 'the change is in force'
    )
    return accepted.revision


async def _in_force(stage: clusters.Cluster, revision: int) -> bool:
    seen = [
        await calls.call(
            'GET',
            host.operator_port,
            '/v1/status',
            authorization=f'Bearer {OPERATOR_KEY}',
        )
        for host in stage.hosts.values()
    ]
    statuses = [orjson.loads(reply.content) for reply in seen]
    return all(
        status['revision'] >= revision
        and len(status['backends']) == len(stage.backends)
        for status in statuses
    )


async def _request_counts(stage: clusters.Cluster) -> dict[str, int]:
    """Return the number of requests received by each supplier's engine."""
    return {
        name: (await calls.get(port, '/control/counts'))['requests']
        for name, port in stage.backends.items()
    }


async def test_model_version_swap_fails_no_request(
    tmp_path: pathlib.Path, nursery: trio.Nursery
) -> None:
    stage = await _start(nursery)
    await _apply(stage, _load_declarations(tmp_path, OLD), 'old')
    swapped = trio.Event()

    async def swap() -> None:
        await trio.sleep(SWAP_AFTER_S)
        await _apply(stage, _load_declarations(tmp_path, NEW), 'new')
        swapped.set()

    nursery.start_soon(swap)
    # Keep sending requests until the swap is done; its duration depends on
    # the machine.
    while not swapped.is_set():
        await _check_all_complete(stage)
    after_swap = await _request_counts(stage)
    await _check_all_complete(stage)
    at_end = await _request_counts(stage)
    assert after_swap[OLD] > 0
    assert at_end[OLD] == after_swap[OLD]
    assert at_end[NEW] >= after_swap[NEW] + MIN_REQUESTS


async def _check_all_complete(stage: clusters.Cluster) -> None:
    """Run one round of load and check that every answer is complete."""
    report = await load.run_load(_workload(), _addresses(stage))
    assert isinstance(report, load.LoadReport)
    (measured,) = report.classes
    assert measured['outcomes'] == {'complete': measured['scheduled']}


def _addresses(stage: clusters.Cluster) -> collections.abc.Sequence[str]:
    hosts = stage.hosts.values()
    return [f'{host.address}:{host.caller_port}' for host in hosts]


def _workload() -> load.Workload:
    return load.Workload.model_validate(
        {
            'seed': 3,
            'duration': DURATION_S,
            'classes': [
                {
                    'name': 'quote',
                    'service': SERVICE,
                    'key': KEY,
                    'rate': 10,
                    'answer': {'median': 40, 'most': 200},
                    'timeout': 60,
                }
            ],
        }
    )


async def _start(nursery: trio.Nursery) -> clusters.Cluster:
    servers = {
        supplier: platform_file.ListedBackend(
            service=SERVICE,
            supplier=supplier,
            model=model,
            port=0,
            failure_domain='cairo-1',
            slots=16,
        )
        for supplier, model in MODELS.items()
    }
    hosts = [_settings('host-1'), _settings('host-2')]
    return await clusters.start(
        nursery,
        platform_file.PlatformFile(backends=servers),
        hosts,
        {SERVICE: states.ServiceKind.MODEL},
        {'check_model': True},
    )


def _settings(host_id: str) -> root.Settings:
    credential = {
        'name': 'amina',
        'role': 'viewer',
        'token_sha256': security.hash_key(OPERATOR_KEY),
    }
    return root.Settings.model_validate(
        {
            'host': {'host_id': host_id},
            'operators': {'credentials': [credential]},
        }
    )
