"""A fleet of real hosts that is too large for each to watch the store."""

import math
import signal

import pytest
import trio

from tests.lib import processes
from tests.soak import __main__ as soak
from tests.soak import checks
from tests.soak import environment

HOSTS = environment.LARGE_FLEET
SETTLE = 3.0  # s
CALM = 6.0  # s
WATCHES = 2  # most watches a second of one host
DELEGATES = 2  # groups of eight hosts at most

BOUNDS = environment.LARGE_BOUNDS
APPLY_TIME = BOUNDS['config_apply_ms'] / 1000


async def _play_then_add_a_key(stage, log, lost):
    """Add a key, and note when all hosts but the lost ones know it."""
    stage.keys = {'key-new'}
    stage.configure()
    began = trio.current_time()
    for host in set(stage.hosts) - set(lost):
        await processes.wait_for(
            lambda: stage.serves(host, 'key-new'), f'{host.name} knows it'
        )
    log.append(trio.current_time() - began)


def _followed(stage):
    """Return the hosts that others follow, as the logs say."""
    names = {
        name
        for host in stage.hosts
        for name in host.logged('following a host', 'host')[-1:]
    }
    return [host for host in stage.hosts if host.name in names]


def _play(tmp_path, script):
    return trio.run(
        lambda: soak.play(5, tmp_path, script, hosts=HOSTS, bounds=BOUNDS)
    )


def test_few_hosts_watch_the_store(tmp_path):
    async def calm(stage, rng, log):
        await trio.sleep(SETTLE)
        before = stage.store.calls['kv-watch']
        await trio.sleep(CALM)
        log.append(stage.store.calls['kv-watch'] - before)
        await _play_then_add_a_key(stage, log, ())

    played = _play(tmp_path, calm)
    assert played.broken == []
    watches, took = played.log
    assert watches <= DELEGATES * WATCHES * CALM
    assert took < APPLY_TIME + checks.SLACK


def _kill(host):
    host.send(signal.SIGKILL)


def _freeze(host):
    host.pauses.append((trio.current_time(), math.inf))
    host.send(signal.SIGSTOP)


def _cut_off(host):
    host.store_way.to_server.silence()
    host.store_way.to_client.silence()


@pytest.mark.parametrize('lose', (_kill, _freeze, _cut_off))
def test_changes_are_known_without_the_hosts_that_watch(tmp_path, lose):
    async def script(stage, rng, log):
        await trio.sleep(SETTLE)
        lost = _followed(stage)
        assert lost
        for host in lost:
            lose(host)
        await _play_then_add_a_key(stage, log, lost)

    played = _play(tmp_path, script)
    assert played.broken == []
    assert played.log[0] < APPLY_TIME + checks.SLACK
