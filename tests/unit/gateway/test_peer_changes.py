"""One host asks another over HTTP; the other may answer anything."""

import contextlib

import pytest
import trio

from corianderloft._internal.gateway import auxiliary_apps
from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import peer_changes
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
    """Serve an application; yield the host that callers see."""
    port = ports.reserve()
    server = serving.Server(app, serving.bind('127.0.0.1', port), LIMITS)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, stopped)
        yield members.Member('h', '127.0.0.1', 1, port, 'cairo-a', 's')
        stopped.set()
        nursery.cancel_scope.cancel()


def followed():
    """Return the application of a host, and its log after one read."""
    log = change_log.ChangeLog()
    log.begin(10, clock.now())
    return auxiliary_apps.SideApp(auxiliary_apps.BetweenHosts(log).serve), log


async def take(items, count):
    """Return the next items."""
    return [await anext(items) for _ in range(count)]


async def test_changes_come_as_soon_as_they_are_known():
    app, log = followed()
    event = kv.WatchEvent('k', None, 11)
    async with served(app) as host:
        async with contextlib.aclosing(peer_changes.watch(host, 10)) as items:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_note_later, log, event)
                got, progress = await take(items, 2)
    assert got == event
    assert progress.revision == 11


async def _note_later(log, event):
    await trio.sleep(0.1)
    log.note((event,), kv.WatchProgress(11, clock.now()))


async def test_what_is_confirmed_is_never_newer_than_the_store_said():
    app, log = followed()
    said = clock.now()
    log.note((), kv.WatchProgress(10, said))
    async with served(app) as host:
        async with contextlib.aclosing(peer_changes.watch(host, 10)) as items:
            (progress,) = await take(items, 1)
    assert said - 0.5 < progress.as_of <= said


async def test_a_quiet_host_answers_in_time_that_nothing_changed():
    app, _ = followed()
    async with served(app) as host:
        async with contextlib.aclosing(peer_changes.watch(host, 10)) as items:
            first, second = await take(items, 2)
    assert first.revision == second.revision == 10


@pytest.mark.parametrize('direct', (True, False))
async def test_a_host_that_cannot_tell_ends_the_watch(direct):
    app, log = followed()
    if not direct:
        log.end()
    async with served(app) as host:
        items = peer_changes.watch(host, 3)
        (ended,) = [item async for item in items]
    assert isinstance(ended, kv.WatchEnded)
    assert isinstance(ended, peer_changes.Gap) is direct


@pytest.mark.parametrize('body', (b'', b'[]', b'\xff', b'[1, 1e400, []]'))
async def test_a_malformed_answer_ends_the_watch(body):
    async def serve(asked):
        await asked.answer(200, body)

    async with served(auxiliary_apps.SideApp(serve)) as host:
        items = peer_changes.watch(host, 10)
        (ended,) = [item async for item in items]
    assert isinstance(ended, kv.WatchEnded)


async def test_a_host_that_says_nothing_ends_the_watch():
    async def serve(asked):
        await trio.sleep_forever()

    async with served(auxiliary_apps.SideApp(serve)) as host:
        with trio.fail_after(10 * peer_changes.ASK_WAIT):
            items = peer_changes.watch(host, 10)
            (ended,) = [item async for item in items]
    assert isinstance(ended, kv.WatchEnded)


@pytest.mark.parametrize(
    'target',
    ('/changes', '/changes?after=x&wait_ms=1', '/changes?after=1', HUGE_WAIT),
)
async def test_a_malformed_question_is_refused(target):
    app, _ = followed()
    async with served(app) as host:
        answer = await gateway.fetch(host.peer_port, 'GET', target)
    assert answer.status == 400


async def test_metrics_are_at_the_same_port():
    app, _ = followed()
    async with served(app) as host:
        answer = await gateway.fetch(host.peer_port, 'GET', '/metrics')
    assert answer.status == 200
    assert b'corianderloft' in answer.body
