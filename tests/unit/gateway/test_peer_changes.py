"""A host polls another one for changes over HTTP.

The other host may be silent, lack the changes or send a malformed response.
"""

import contextlib

import pytest
import trio

from corianderloft._internal.gateway import auxiliary_apps
from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import peer_changes
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import members
from corianderloft._internal.network import serving
from corianderloft._internal.utils import clock
from tests.lib import gateway
from tests.lib import ports

HUGE_WAIT = f'/changes?after=1&wait_ms={10**400}'
LIMITS = serving.ServerLimits(20, 4096, 5.0, 5.0)


@contextlib.asynccontextmanager
async def served(app):
    """Serve an application; yield its host entry."""
    port = ports.reserve()
    server = serving.Server(app, serving.bind('127.0.0.1', port), LIMITS)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, stopped)
        yield members.Member('h', '127.0.0.1', 1, port, 'cairo-a', 's')
        stopped.set()
        nursery.cancel_scope.cancel()


def app_and_log():
    """Return the application for peers and its log after one read."""
    log = change_log.ChangeLog()
    log.reset(10, clock.now())
    return (
        auxiliary_apps.HandlerApp(auxiliary_apps.PeerEndpoints(log).serve),
        log,
    )


async def take(items, count):
    """Return the next ``count`` items."""
    return [await anext(items) for _ in range(count)]


async def test_changes_are_delivered_at_once():
    app, log = app_and_log()
    event = kv.WatchEvent('k', None, 11)
    async with served(app) as host:
        async with contextlib.aclosing(peer_changes.watch(host, 10)) as items:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_record_later, log, event)
                got, progress = await take(items, 2)
    assert got == event
    assert progress.revision == 11


async def _record_later(log, event):
    await trio.sleep(0.1)
    log.record((event,), kv.WatchProgress(11, clock.now()))


async def test_as_of_is_never_later_than_the_store_confirmed():
    app, log = app_and_log()
    confirmed_at = clock.now()
    log.record((), kv.WatchProgress(10, confirmed_at))
    async with served(app) as host:
        async with contextlib.aclosing(peer_changes.watch(host, 10)) as items:
            (progress,) = await take(items, 1)
    assert confirmed_at - 0.5 < progress.as_of <= confirmed_at


async def test_a_poll_without_changes_reports_progress():
    app, _ = app_and_log()
    async with served(app) as host:
        async with contextlib.aclosing(peer_changes.watch(host, 10)) as items:
            first, second = await take(items, 2)
    assert first.revision == second.revision == 10


@pytest.mark.parametrize('watches_store', (True, False))
async def test_a_host_that_lacks_the_changes_ends_the_watch(watches_store):
    app, log = app_and_log()
    if not watches_store:
        log.stop()
    async with served(app) as host:
        items = peer_changes.watch(host, 3)
        (ended,) = [item async for item in items]
    assert isinstance(ended, kv.WatchEnded)
    assert isinstance(ended, peer_changes.Gap) is watches_store


@pytest.mark.parametrize('body', (b'', b'[]', b'\xff', b'[1, 1e400, []]'))
async def test_a_malformed_response_ends_the_watch(body):
    async def serve(request):
        await request.respond(200, body)

    async with served(auxiliary_apps.HandlerApp(serve)) as host:
        items = peer_changes.watch(host, 10)
        (ended,) = [item async for item in items]
    assert isinstance(ended, kv.WatchEnded)


async def test_a_host_that_does_not_respond_ends_the_watch():
    async def serve(request):
        await trio.sleep_forever()

    async with served(auxiliary_apps.HandlerApp(serve)) as host:
        with trio.fail_after(10 * peer_changes.LONG_POLL_S):
            items = peer_changes.watch(host, 10)
            (ended,) = [item async for item in items]
    assert isinstance(ended, kv.WatchEnded)


@pytest.mark.parametrize(
    'target',
    ('/changes', '/changes?after=x&wait_ms=1', '/changes?after=1', HUGE_WAIT),
)
async def test_a_malformed_request_is_refused(target):
    app, _ = app_and_log()
    async with served(app) as host:
        response = await gateway.fetch(host.peer_port, 'GET', target)
    assert response.status == 400


async def test_metrics_are_served_on_the_same_port():
    app, _ = app_and_log()
    async with served(app) as host:
        response = await gateway.fetch(host.peer_port, 'GET', '/metrics')
    assert response.status == 200
    assert b'corianderloft' in response.body


async def test_host_of_an_earlier_era_gets_the_changes_of_the_restore():
    app, log = app_and_log()
    known, restored = eras.qualify(1, 20), eras.qualify(2, 15)
    log.reset(known, clock.now())
    event = kv.WatchEvent('k', None, restored)
    progress = kv.WatchProgress(restored, clock.now())
    assert log.resume(known, [event], progress)
    async with served(app) as host:
        watch = peer_changes.watch(host, known)
        async with contextlib.aclosing(watch) as items:
            got, reached = await take(items, 2)
    assert got == event
    assert reached.revision == restored


async def test_host_that_has_not_met_a_restore_is_not_followed():
    app, log = app_and_log()
    log.reset(eras.qualify(1, 20), clock.now())
    async with served(app) as host:
        watch = peer_changes.watch(host, eras.qualify(2, 15))
        async with contextlib.aclosing(watch) as items:
            (ended,) = await take(items, 1)
    assert type(ended) is kv.WatchEnded


@pytest.mark.parametrize('own, other', [(0, 2), (2, 0)])
async def test_revisions_without_an_era_are_not_mixed_with_others(own, other):
    app, log = app_and_log()
    log.reset(eras.qualify(other, 20), clock.now())
    path = '/changes?after=10&wait_ms=1'
    async with served(app) as host:
        if own:
            watch = peer_changes.watch(host, eras.qualify(own, 10))
            async with contextlib.aclosing(watch) as items:
                (ended,) = await take(items, 1)
            assert type(ended) is kv.WatchEnded
        else:
            answer = await gateway.fetch(host.peer_port, 'GET', path)
            assert answer.status == 503
