"""Load against a whole system, with an engine killed on the way."""

import pytest
import trio

from corianderloft._internal import load
from tests.lib import calls
from tests.lib import processes
from tests.lib import system

KEY = f'clk_example_{system.WORKSPACE}'


BOOKING = {
    'name': 'booking',
    'service': system.PLAIN_SERVICE,
    'call': 'booking',
    'key': KEY,
    'timeout': 60,
}


def workload() -> load.Workload:
    """Return a few seconds of answers and bookings."""
    # One engine alone can serve this rate.
    common = {'key': KEY, 'timeout': 60, 'rate': 4}
    classes = [
        common
        | {
            'name': 'groom-answer',
            'service': system.MODEL_SERVICE,
            'model': 'rug-8b-v3',
            'answer': {'median': 30, 'most': 100},
            'prompt': {'median': 50, 'most': 200},
        },
        common | BOOKING,
    ]
    return load.Workload.model_validate({'duration': 4, 'classes': classes})


async def kill_when_busy(victim: str, running: system.System) -> None:
    """Kill an engine or a host as soon as requests run."""
    await processes.wait_for(
        running.running_on_engines, 'an engine runs a request'
    )
    if victim in running.hosts:
        running.hosts[victim].kill()
    else:
        # Its load is not asked for again.
        running.backends.pop(victim).kill()


async def measured(
    body: load.Workload, running: system.System
) -> load.LoadReport:
    """Return what a workload measures on a running system."""
    hosts = [
        f"{system.ADDRESS}:{host.announced['caller_port']}"
        for host in running.hosts.values()
    ]
    service = running.backends['counter-1']
    report = await load.run_load(
        body, hosts, services=[f'{system.ADDRESS}:{service.port}']
    )
    assert isinstance(report, load.LoadReport)
    return report


def assert_ran_once(report: load.LoadReport) -> None:
    """Check the promises on calls that may not be repeated."""
    booked = report.payload['bookings']
    assert booked['ran_more_than_once'] == 0
    assert booked['ran_though_not_run'] == 0
    assert booked['answered_and_not_run'] == 0


@pytest.mark.parametrize('victim', ['engine-1', 'host-1'])
async def test_every_answer_is_whole_and_every_booking_runs_once(
    victim: str,
) -> None:
    async with system.running(hosts=2, engines=2) as running:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_when_busy, victim, running)
            report = await measured(workload(), running)
    answers, bookings = report.classes
    assert answers['outcomes'] == {'complete': answers['scheduled']}, answers
    assert set(bookings['outcomes']) <= {'complete', 'refused'}, bookings
    assert answers['repeated_tokens'] == 0
    assert_ran_once(report)


async def kill_after_bookings(running: system.System) -> None:
    """Kill a host once some bookings ran."""
    port = running.backends['counter-1'].port

    async def some_ran() -> bool:
        counts = await calls.get(port, '/control/counts')
        return bool(counts['runs'] >= 20)

    await processes.wait_for(some_ran, '20 bookings ran')
    running.hosts['host-1'].kill()


async def test_bookings_run_once_through_lost_answers_and_a_lost_host() -> (
    None
):
    body = load.Workload.model_validate(
        {'duration': 4, 'classes': [BOOKING | {'rate': 15}]}
    )
    async with system.running(hosts=3, engines=1) as running:
        service = running.backends['counter-1'].port
        await calls.set_faults(service, lose_answers=3, fail_after_run=2)
        await calls.set_faults(running.kv.port, lose_replies=3)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_after_bookings, running)
            report = await measured(body, running)
    (bookings,) = report.classes
    assert set(bookings['outcomes']) <= {'complete', 'refused'}, bookings
    assert_ran_once(report)
    unknown = [x for x in bookings['refusals'] if x['run'] == 'unknown']
    assert unknown, bookings['refusals']
