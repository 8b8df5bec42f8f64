"""A service that is declared after its backend servers have registered.

They stayed servers without a model: their prefix caches were not estimated,
and other hosts were told nothing of their loads.
"""

import random

import orjson
import pytest
import trio

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer
from corianderloft._internal.platform import configuration
from tests.lib import gateway

MEMORY_TOKENS = 9000
PROMPT = instances.Prompt(
    900,
    20,
    (
        instances.PromptPart(ids.PromptPartId('a1'), 800),
        instances.PromptPart(ids.PromptPartId('b2'), 100),
    ),
)


def table(version, model):
    """Return declarations in which the service may serve a model."""
    document = orjson.loads(gateway.configuration(version))
    if model:
        document['services'][0]['engine'] = {
            'slots': 8,
            'kv_capacity_tokens': MEMORY_TOKENS,
        }
    return configuration.decode(orjson.dumps(document))


@pytest.mark.parametrize('first', ['servers', 'declarations'])
async def test_servers_of_a_service_declared_later_serve_its_model(
    first, autojump_clock
):
    server = instances.Instance(
        engine_id=ids.EngineId('e-1'),
        started_at_ms=1,
        service=ids.ServiceName('desk'),
        address='127.0.0.1',
        port=1,
        failure_domain=ids.FailureDomain('cairo-a'),
        slots=8,
        state=states.BackendState.LIVE,
    )
    request_placer = placer.Placer(
        ids.FailureDomain('cairo-a'),
        budget.RetryBudget(0.2, 1.0, 1.0),
        random.Random(0),
    )
    request_placer.use_table(table(1, model=False))
    if first == 'servers':
        request_placer.use_instances([server])
        request_placer.use_table(table(2, model=True))
    else:
        request_placer.use_table(table(2, model=True))
        request_placer.use_instances([server])
    route = table(2, model=True).find(gateway.HOST, '/quote/1')
    job = interface.Job(
        request_id='r',
        route=route,
        service=ids.ServiceName('desk'),
        workspace=None,
        tier=route.tier,
        arrived=trio.current_time(),
        deadline=trio.current_time() + 2.0,
        prompt=PROMPT,
    )
    grant = await request_placer.acquire(job)
    assert grant.engine.memory_tokens == MEMORY_TOKENS
    assert grant.engine.cache.cached_tokens(PROMPT) > 0
    assert grant.engine.key in request_placer.own_loads()
    kept = grant.engine.cache
    request_placer.use_table(table(3, model=True))
    assert grant.engine.cache is kept
