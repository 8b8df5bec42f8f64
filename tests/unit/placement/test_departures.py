"""Requests that wait for a server which leaves meanwhile."""

import dataclasses
import random

import pytest
import trio

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer
from corianderloft._internal.platform import configuration
from tests.lib import gateway

SERVICE = ids.ServiceName('desk')
TABLE = configuration.decode(gateway.configuration())
ROUTE = dataclasses.replace(TABLE.find(gateway.HOST, '/look/1'), target=2.0)


def server(name, state=states.BackendState.LIVE):
    return instances.Instance(
        engine_id=ids.EngineId(name),
        started_at_ms=1,
        service=SERVICE,
        address='127.0.0.1',
        port=1,
        failure_domain=ids.FailureDomain('cairo-a'),
        slots=8,
        state=state,
    )


def job():
    now = trio.current_time()
    return interface.Job('r', ROUTE, SERVICE, None, ROUTE.tier, now, now + 4.0)


def start(names):
    """Return a placer, and a grant for each server by its name."""
    request_placer = placer.Placer(
        ids.FailureDomain('cairo-a'),
        budget.RetryBudget(0.2, 9.0, 1.0),
        random.Random(0),
    )
    request_placer.use_table(TABLE)
    request_placer.use_instances([server(name) for name in names])
    by_name, tried = {}, set()
    for _ in names:
        grant = request_placer.try_acquire(job(), tried)
        tried.add(grant.engine.key)
        by_name[grant.engine.engine_id] = grant
    return request_placer, by_name


def leave(how, request_placer, grant, others):
    """Let a server leave by its entry, without it, or by a response."""
    name = grant.engine.engine_id
    if how == 'says':
        grant.engine.statements.record_response(
            True, None, trio.current_time()
        )
    elif how == 'drains':
        left = server(name, states.BackendState.LEAVING)
        request_placer.use_instances([left, *map(server, others)])
    else:
        request_placer.use_instances([*map(server, others)])


@pytest.mark.parametrize('how', ['says', 'drains', 'gone'])
async def test_a_request_in_the_queue_gets_no_server_that_leaves_meanwhile(
    how, autojump_clock
):
    request_placer, by_name = start(['one'])
    engine = by_name['one'].engine
    engine.statements.record_response(False, 0.5, trio.current_time())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(request_placer.run)
        with trio.move_on_after(0.2):
            await request_placer.acquire(job())
            pytest.fail('the server wants nothing yet')
        outcomes = []

        async def wait():
            outcomes.append(await request_placer.acquire(job()))

        nursery.start_soon(wait)
        await trio.sleep(0.1)
        leave(how, request_placer, by_name['one'], [])
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    assert [outcome.reason for outcome in outcomes] == [
        interface.RefusalReason.NO_BACKEND
    ]


@pytest.mark.parametrize('how', ['says', 'drains', 'gone'])
async def test_a_second_attempt_gets_no_server_that_left_meanwhile(
    how, autojump_clock
):
    request_placer, by_name = start(['one', 'two', 'three'])
    leave(how, request_placer, by_name['two'], ['one', 'three'])
    tried = {by_name['one'].engine.key}
    for _ in range(20):
        grant = request_placer.try_acquire(job(), tried)
        assert isinstance(grant, grants.Grant)
        assert grant.engine.engine_id == 'three'
        assert grant.engine.in_use
        grant.close(interface.AttemptOutcome.COMPLETE)
    assert not by_name['two'].engine.in_use
