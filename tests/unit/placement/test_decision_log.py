"""Guards against log records that do not explain a refusal or ejection."""

import logging
import random

import pytest
import trio

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import decision_log
from corianderloft._internal.placement import health
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

DESK = ids.ServiceName('desk')
DOMAIN = ids.FailureDomain('a')
ROUTE = routing.Route(
    'look',
    'h',
    '/',
    routing.RequestKind.IDEMPOTENT,
    ids.Tier(0),
    2.0,
    0.1,
    None,
    2,
    True,
    (routing.Share(DESK, 1.0),),
)


@pytest.fixture()
def records():
    """Log records of placement decisions."""
    captured = []
    handler = logging.Handler()
    handler.emit = captured.append
    logger = logging.getLogger(decision_log.__name__)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield captured
    logger.removeHandler(handler)
    logger.setLevel(level)


def create_placer(*names):
    made = placer.Placer(
        DOMAIN, budget.RetryBudget(0.2, 10.0, 10.0), random.Random(0)
    )
    made.use_instances(
        [
            instances.Instance(
                ids.EngineId(name),
                1,
                DESK,
                '10.0.0.1',
                80,
                DOMAIN,
                8,
                states.BackendState.LIVE,
            )
            for name in names
        ]
    )
    return made


def job():
    return interface.Job('r-1', ROUTE, DESK, None, ids.Tier(0), 0.0, 2.0, None)


async def test_refusal_is_logged_with_its_inputs(autojump_clock, records):
    outcome = await create_placer().acquire(job())
    assert isinstance(outcome, interface.Refused)
    (record,) = records
    assert record.request_id == 'r-1'
    assert record.reason == outcome.reason.value == 'no_backend'
    assert (record.live, record.usable, record.tried) == (0, 0, 0)
    assert record.waited_s == pytest.approx(0.07, abs=0.001)


async def test_ejection_and_readmission_are_logged_with_the_server(
    autojump_clock, records
):
    decisions = create_placer('e-1')
    first = await decisions.acquire(job())
    first.close(interface.AttemptOutcome.NOT_CONNECTED)
    refused = await decisions.acquire(job())
    assert isinstance(refused, interface.Refused)
    again = await _after_ejection(decisions)
    again.close(interface.AttemptOutcome.COMPLETE)
    assert [
        (record.getMessage(), record.__dict__.get('engine'))
        for record in records
    ] == [
        ('backend server ejected', 'e-1'),
        ('no backend server may take the request', None),
        ('backend server in use again', 'e-1'),
    ]
    assert (records[1].live, records[1].usable) == (1, 0)


async def _after_ejection(decisions):
    """Return the first grant after the ejection is over."""
    await trio.sleep(health.BASE_EJECTION_S)
    return await decisions.acquire(job())
