"""What the log says of decisions on where requests go."""

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
def lines():
    """Records of the decision log."""
    found = []
    handler = logging.Handler()
    handler.emit = found.append
    logger = logging.getLogger(decision_log.__name__)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield found
    logger.removeHandler(handler)
    logger.setLevel(level)


def host(*names):
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


async def test_a_refusal_says_what_it_was_decided_on(autojump_clock, lines):
    outcome = await host().acquire(job())
    assert isinstance(outcome, interface.Refused)
    (line,) = lines
    assert line.request_id == 'r-1'
    assert line.reason == outcome.reason.value == 'no_backend'
    assert (line.live, line.usable, line.tried) == (0, 0, 0)
    assert line.waited_s == pytest.approx(0.07, abs=0.001)


async def test_an_ejected_server_is_named_when_it_answers_again(
    autojump_clock, lines
):
    decisions = host('e-1')
    first = await decisions.acquire(job())
    first.close(interface.AttemptOutcome.NOT_CONNECTED)
    refused = await decisions.acquire(job())
    assert isinstance(refused, interface.Refused)
    again = await _after_ejection(decisions)
    again.close(interface.AttemptOutcome.COMPLETE)
    assert [
        (line.getMessage(), line.__dict__.get('engine')) for line in lines
    ] == [
        ('backend server ejected', 'e-1'),
        ('no backend server may take the request', None),
        ('backend server in use again', 'e-1'),
    ]
    assert (lines[1].live, lines[1].usable) == (1, 0)


async def _after_ejection(decisions):
    """Return the first grant after the ejection is over."""
    await trio.sleep(health.FIRST_EJECTION)
    return await decisions.acquire(job())
