"""Guards against metrics that count late or failed answers as good ones."""

import pytest

from corianderloft._internal.gateway import forwarding
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import route_outcomes
from corianderloft._internal.models import ids
from corianderloft._internal.models import routing

ANSWERED = forwarding.Result.ANSWERED
REFUSED = forwarding.Result.REFUSED


def route(kind):
    shares = (routing.Share(ids.ServiceName('desk'), 1.0),)
    return routing.Route(
        'r', 'h', '/', kind, ids.Tier(0), 4.0, 0.5, 0.2, 1, True, shares
    )


@pytest.mark.parametrize(
    ('result', 'may_have_run', 'status', 'first', 'gap', 'expected'),
    [
        (ANSWERED, True, 200, 0.4, 0.1, 'in_target'),
        (ANSWERED, True, 200, 0.6, 0.1, 'late'),
        (ANSWERED, True, 200, 0.4, 0.3, 'late'),
        (ANSWERED, True, 500, 0.1, 0.0, 'failed'),
        (REFUSED, False, None, None, 0.0, 'refused'),
        (REFUSED, True, None, None, 0.0, 'failed'),
        (forwarding.Result.CUT, True, 200, 0.1, 0.0, 'failed'),
        (forwarding.Result.CALLER_LEFT, True, None, None, 0, 'caller_left'),
    ],
)
def test_outcome_of_a_stream(
    result, may_have_run, status, first, gap, expected
):
    ended = route_outcomes.Ended(result, may_have_run, status, first, gap, 3.0)
    stream = route(routing.RequestKind.STREAM)
    assert route_outcomes.classify(stream, ended).value == expected


def test_the_whole_answer_of_a_plain_service_counts():
    ended = route_outcomes.Ended(ANSWERED, True, 200, 0.1, 0.0, 0.6)
    plain = route(routing.RequestKind.IDEMPOTENT)
    outcome = route_outcomes.classify(plain, ended)
    assert outcome is route_outcomes.RouteOutcome.LATE


def test_only_times_of_refusals_are_recorded():
    metrics.take_refusal_times()
    metrics.count_outcome('r', 'late', 2.0)
    metrics.count_outcome('r', 'refused', 0.1)
    assert metrics.take_refusal_times() == [('r', 0.1)]
