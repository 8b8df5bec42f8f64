"""Tests of the exposed metrics."""

import enum
import typing

import pytest

from corianderloft._internal.metrics import classes
from corianderloft._internal.metrics import control
from corianderloft._internal.metrics import exposition
from corianderloft._internal.metrics import queues
from corianderloft._internal.metrics import reasons as reason_counters
from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons


def _exposed() -> str:
    return exposition.expose()[0].decode()


def _reason_enums() -> list[type[enum.Enum]]:
    return [
        item
        for item in vars(reasons).values()
        if isinstance(item, type) and issubclass(item, enum.Enum)
    ]


def test_each_reason_has_a_sample_from_the_start() -> None:
    exposed = _exposed()
    for kind in _reason_enums():
        name = reason_counters.COUNTERS[kind].name
        for reason in kind:
            assert f'{name}{{reason="{reason.value}"}}' in exposed


def test_reason_is_counted_under_its_value() -> None:
    before = reason_counters.counts(reasons.RetryReason)
    reason_counters.count(reasons.RetryReason.HEDGE)
    after = reason_counters.counts(reasons.RetryReason)
    assert {
        k: after[k] - before[k] for k in after if after[k] != before[k]
    } == {'hedge': 1}


def test_class_metrics_are_exposed() -> None:
    class_id = classes.ClassId(
        ids.ServiceName('s'), ids.ClassName('c'), ids.Tier(2)
    )
    classes.record(
        class_id, classes.RequestOutcome('answered', True, 10, 1, 0.3)
    )
    classes.record(class_id, classes.RequestOutcome('answered', False, 5))
    classes.record(class_id, classes.RequestOutcome('deadline', False))
    exposed = _exposed()
    labels = 'class="c",service="s",tier="2"'
    assert f'class_attained_total{{{labels}}} 1' in exposed
    assert f'class_goodput_tokens_total{{{labels}}} 10' in exposed
    assert f'class_delivered_tokens_total{{{labels}}} 15' in exposed
    assert f'class_wasted_tokens_total{{{labels}}} 1' in exposed
    assert 'outcome="deadline"' in exposed


def test_queue_metrics_are_updated_at_each_exposition() -> None:
    service, tier = ids.ServiceName('desk'), ids.Tier(7)
    states = [[queues.QueueState(service, tier, 3, 1.5)], []]
    labels = '{service="desk",tier="7"}'
    with queues.registered_source(lambda: states.pop(0)):
        exposed = _exposed()
        assert f'queue_oldest_seconds{labels} 1.5' in exposed
        assert f'queue_requests{labels} 3' in exposed
        assert f'queue_requests{labels} 0' in _exposed()
    assert f'queue_requests{labels} 0' in _exposed()


def test_modules_share_a_metric_of_the_same_name() -> None:
    assert registry.counter('twice_total', 'x') is registry.counter(
        'twice_total', 'x'
    )
    with pytest.raises(ValueError, match='twice_total'):
        registry.gauge('twice_total', 'x')


async def test_asgi_application_serves_the_exposition() -> None:
    sent: list[dict[str, typing.Any]] = []

    async def send(message: dict[str, typing.Any]) -> None:
        sent.append(message)

    await exposition.app({'headers': []}, None, send)
    assert sent[0]['status'] == 200
    assert b'corianderloft_refusals_total' in sent[1]['body']


def test_control_costs_are_summed() -> None:
    before = control.total_bytes()
    control.count_bytes(control.Direction.SENT, 100)
    control.count_bytes(control.Direction.RECEIVED, 11)
    assert control.total_bytes() - before == 111
    with control.measure_cpu_time('test'):
        sum(range(1000))
    exposed = _exposed()
    assert 'corianderloft_control_cpu_seconds_total{part="test"}' in exposed
    assert 'corianderloft_control_bytes_total{direction="sent"}' in exposed
    assert 'corianderloft_process_resident_bytes ' in exposed
