"""A fleet too large for every host to watch the store.

Only a few hosts watch it and the others follow them, so configuration changes
must still arrive after the watching hosts are lost.
"""

import math
import signal

import pytest
import trio

from tests.lib import processes
from tests.soak import __main__ as soak
from tests.soak import checks
from tests.soak import environment

HOSTS = environment.LARGE_FLEET
SETTLE_S = 3.0
CALM_S = 6.0
MAX_WATCHES_PER_S = 2  # watch calls of one host
MAX_WATCHING_HOSTS = 2  # one per group of up to eight hosts

BOUNDS = environment.LARGE_BOUNDS
APPLY_TIME_S = BOUNDS['config_apply_ms'] / 1000


async def _add_key_and_log_time(env, log, lost):
    """Add a key and log how long until all remaining hosts accept it."""
    env.keys = {'key-new'}
    env.configure()
    began = trio.current_time()
    for host in set(env.hosts) - set(lost):
        await processes.wait_for(
            lambda: env.serves(host, 'key-new'), f'{host.name} accepts it'
        )
    log.append(trio.current_time() - began)


def _followed_hosts(env):
    """Return the hosts that other hosts follow according to the logs."""
    names = {
        name
        for host in env.hosts
        for name in host.logged('following a host', 'host')[-1:]
    }
    return [host for host in env.hosts if host.name in names]


def _run_soak(tmp_path, script):
    return trio.run(
        lambda: soak.run(5, tmp_path, script, hosts=HOSTS, bounds=BOUNDS)
    )


def test_few_hosts_watch_the_store(tmp_path):
    async def calm(env, rng, log):
        await trio.sleep(SETTLE_S)
        before = env.store.calls['kv-watch']
        await trio.sleep(CALM_S)
        log.append(env.store.calls['kv-watch'] - before)
        await _add_key_and_log_time(env, log, ())

    result = _run_soak(tmp_path, calm)
    assert result.violations == []
    watch_calls, took = result.log
    assert watch_calls <= MAX_WATCHING_HOSTS * MAX_WATCHES_PER_S * CALM_S
    assert took < APPLY_TIME_S + checks.SLACK_S


def _kill(host):
    host.send(signal.SIGKILL)


def _freeze(host):
    host.pauses.append((trio.current_time(), math.inf))
    host.send(signal.SIGSTOP)


def _isolate(host):
    host.store_relay.to_server.silence()
    host.store_relay.to_client.silence()


@pytest.mark.parametrize('lose', (_kill, _freeze, _isolate))
def test_changes_arrive_after_losing_the_watching_hosts(tmp_path, lose):
    async def script(env, rng, log):
        await trio.sleep(SETTLE_S)
        lost = _followed_hosts(env)
        assert lost
        for host in lost:
            lose(host)
        await _add_key_and_log_time(env, log, lost)

    result = _run_soak(tmp_path, script)
    assert result.violations == []
    assert result.log[0] < APPLY_TIME_S + checks.SLACK_S
