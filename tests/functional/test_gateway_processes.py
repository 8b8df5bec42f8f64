"""The gateway as real processes, between stand-ins of the platform."""

import signal

import pytest
import trio

from tests.lib import gateway
from tests.lib import processes
from tests.soak import __main__ as soak
from tests.soak import environment

KEY_LIFE = environment.KEY_LIFE_MS / 1000
CALM = 12.0  # s; several confirmations of the keys


def play(script, tmp_path):
    return trio.run(soak.play, 1, tmp_path, script)


async def ask(host, key):
    """Ask a host with a key; return the status."""
    answer = await gateway.fetch(host.port, 'GET', '/look/1', key=key)
    return answer.status if answer else None


def assert_unanswered_did_not_run(played):
    """A connection that ends without an answer promises nothing ran."""
    ran = {
        seen.headers['corianderloft-attempt-id'] for seen, _, _ in played.runs
    }
    cut = {one.request_id for one in played.noted if not one.whole}
    assert not cut & ran


def test_calm_time_serves_every_request(tmp_path):
    async def script(stage, rng, log):
        await trio.sleep(CALM)

    played = play(script, tmp_path)
    assert played.broken == []
    statuses = {one.status for one in played.noted if one.whole}
    assert statuses == {200}
    assert_unanswered_did_not_run(played)


def test_a_removed_key_ends_on_a_host_without_the_store(tmp_path):
    async def script(stage, rng, log):
        cut, other = stage.hosts[:2]
        (old,) = stage.keys
        cut.store_way.cut()
        stage.keys = {'key-new'}
        stage.configure()
        log.append(('before', await ask(cut, old)))
        await trio.sleep(KEY_LIFE)
        log.append(('after', await ask(cut, old), await ask(other, old)))
        cut.store_way.restore()
        await processes.wait_for(
            lambda: _is(cut, 'key-new', 200), 'the host knows the new key'
        )
        log.append(('restored', await ask(cut, old)))

    played = play(script, tmp_path)
    assert played.broken == []
    assert played.log == [
        ('before', 200),
        ('after', 503, 401),
        ('restored', 401),
    ]


async def _is(host, key, status):
    return await ask(host, key) == status


def test_a_rolling_restart_under_load_cuts_no_answer(tmp_path):
    async def script(stage, rng, log):
        for host in stage.hosts:
            host.send(signal.SIGTERM)
            await processes.wait_for(
                lambda host=host: not host.running(), f'{host.name} has ended'
            )
            log.append(host.process.returncode)
            host.start()
            assert await stage.wait_ready(host)

    played = play(script, tmp_path)
    assert played.broken == []
    assert played.log == [0, 0, 0]
    assert_unanswered_did_not_run(played)


def test_all_hosts_killed_at_once_serve_again(tmp_path):
    async def script(stage, rng, log):
        for _ in range(2):
            for host in stage.hosts:
                host.process.kill()
            for host in stage.hosts:
                host.end()
                host.start()
            for host in stage.hosts:
                assert await stage.wait_ready(host)
            log.append(len(stage.engines[0].seen))
            await trio.sleep(0.5)
        (key,) = stage.keys
        log.append([await ask(host, key) for host in stage.hosts])

    played = play(script, tmp_path)
    assert played.broken == []
    assert played.log[-1] == [200, 200, 200]


@pytest.mark.parametrize('trouble', ['down', 'slow', 'forgetful', 'lossy'])
def test_trouble_of_the_store_reaches_no_caller(trouble, tmp_path):
    async def script(stage, rng, log):
        if trouble == 'down':
            stage.store.down = True
            await trio.sleep(0.5)
            stage.store.down = False
        elif trouble == 'slow':
            for host in stage.hosts:
                host.store_way.to_client.delay = 0.24
        elif trouble == 'forgetful':
            for _ in range(4):
                stage.store.compacted = stage.store.store.revision
                stage.configure()
                await trio.sleep(0.5)
        else:
            stage.store.lose_replies = 3
        await trio.sleep(3.0)

    played = play(script, tmp_path)
    assert played.broken == []
    refused = {one.status for one in played.noted if one.whole} - {200}
    assert not refused
    assert_unanswered_did_not_run(played)
