"""Entry host processes in deployments of other sizes and bounds."""

import signal

import pytest
import trio

from tests.lib import processes
from tests.soak import __main__ as soak
from tests.soak import checks
from tests.soak import environment

APPLY_TIME_S = 2.0  # until all hosts accept a new key
SHORT_BOUNDS = environment.BOUNDS | {
    'stable_ms': 1000,
    'drain_ms': 1200,
    'config_apply_ms': 1200,
    'grace_s': 2.0,
    'revoke_ms': 2500,
}
FAIL_OPEN_BOUNDS = {
    name: value
    for name, value in environment.BOUNDS.items()
    if name not in ('fail_closed', 'drain_ms')
}

DEPLOYMENTS = {
    'one host and one server': {'hosts': 1, 'engines': 1},
    'ten hosts': {'hosts': 10, 'engines': 2},
    'short bounds': {'bounds': SHORT_BOUNDS},
    'keys outlive the store': {
        'bounds': FAIL_OPEN_BOUNDS | {'drain_ms': 2000}
    },
    'long leases only': {'min_ttl_ms': 12000},
}


async def make_changes(env, rng, log):
    """Change the API key, drain a server and restart a host in turn."""
    log.append(trio.current_time())
    env.keys = {'key-new'}
    env.configure()
    await trio.sleep(1.0)
    if len(env.engines) > 1:
        env.register(0, 'draining')
    host = env.hosts[0]
    host.send(signal.SIGTERM)
    await processes.wait_for(lambda: not host.running(), 'the host has ended')
    log.append(host.process.returncode)
    host.start()
    assert await env.wait_ready(host)
    env.register(0)
    await processes.wait_for(
        lambda: len(_registered_hosts(env)) == len(env.hosts),
        'all hosts are registered',
    )


def _registered_hosts(env):
    return [key for key in env.store.store.items if key.startswith('hosts/')]


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_changes_interrupt_no_request(name, tmp_path):
    deployment = DEPLOYMENTS[name]
    result = trio.run(
        lambda: soak.run(2, tmp_path, make_changes, **deployment)
    )
    assert result.violations == []
    changed_at, code = result.log
    assert code == 0
    ran = {
        seen.headers['corianderloft-attempt-id']
        for seen, _, _ in result.executions
    }
    cut = {
        record.request_id for record in result.records if not record.complete
    }
    assert not cut & ran
    stale = [
        record for record in result.records if b'stale_keys' in record.body
    ]
    assert [
        record for record in stale if not result.store_was_late(record)
    ] == []
    in_force = changed_at + APPLY_TIME_S + checks.SLACK_S
    unauthorized = [
        record for record in result.records if record.status == 401
    ]
    assert all(record.sent_at < in_force for record in unauthorized)
    outdated = [
        record
        for record in result.records
        if b'outdated_declarations' in record.body
    ]
    assert all(record.sent_at < in_force for record in outdated)
