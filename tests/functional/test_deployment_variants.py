"""Real hosts in deployments of other sizes and bounds."""

import signal

import pytest
import trio

from corianderloft._internal.platform import store
from tests.lib import processes
from tests.soak import __main__ as soak
from tests.soak import checks
from tests.soak import environment

APPLY_TIME = 2.0  # s, until a new key is known everywhere
SHORT = environment.BOUNDS | {
    'stable_ms': 1000,
    'drain_ms': 1200,
    'config_apply_ms': 1200,
    'grace_s': 2.0,
    'revoke_ms': 2500,
}
OPEN = {
    name: value
    for name, value in environment.BOUNDS.items()
    if name not in ('fail_closed', 'drain_ms')
}

DEPLOYMENTS = {
    'one host and one server': {'hosts': 1, 'engines': 1},
    'ten hosts': {'hosts': 10, 'engines': 2},
    'short bounds': {'bounds': SHORT},
    'keys outlive the store': {'bounds': OPEN | {'drain_ms': 2000}},
    'long leases only': {'min_ttl_ms': 6000},
}


async def changes(stage, rng, log):
    """Change keys, drain a server and restart a host, one after another."""
    log.append(trio.current_time())
    stage.keys = {'key-new'}
    stage.configure()
    await trio.sleep(1.0)
    if len(stage.engines) > 1:
        stage.register(0, 'draining')
    host = stage.hosts[0]
    host.send(signal.SIGTERM)
    await processes.wait_for(lambda: not host.running(), 'the host has ended')
    log.append(host.process.returncode)
    host.start()
    assert await stage.wait_ready(host)
    stage.register(0)
    await processes.wait_for(
        lambda: len(_members(stage)) == len(stage.hosts), 'all hosts are known'
    )


def _members(stage):
    return [key for key in stage.store.store.items if key.startswith('hosts/')]


def _store_was_late(played, refused):
    """Return whether the store missed the time to confirm the keys.

    A host that hears nothing from it has to refuse.
    """
    at = refused.sent_at + refused.took
    late = played.late_before(at, environment.KEY_LIFE_MS / 1000)
    return late > store.WATCH_SLACK


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_changes_cut_and_lose_nothing(name, tmp_path):
    deployment = DEPLOYMENTS[name]
    played = trio.run(lambda: soak.play(2, tmp_path, changes, **deployment))
    assert played.broken == []
    changed_at, code = played.log
    assert code == 0
    ran = {
        seen.headers['corianderloft-attempt-id'] for seen, _, _ in played.runs
    }
    cut = {one.request_id for one in played.noted if not one.whole}
    assert not cut & ran
    stale = [one for one in played.noted if b'stale_keys' in one.body]
    assert [one for one in stale if not _store_was_late(played, one)] == []
    in_force = changed_at + APPLY_TIME + checks.SLACK
    unknown = [one for one in played.noted if one.status == 401]
    assert all(one.sent_at < in_force for one in unknown)
