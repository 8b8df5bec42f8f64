"""Load on a system of processes while an engine or a host is killed."""

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
    # A single engine can serve this rate.
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
    """Kill an engine or a host as soon as an engine runs a request."""
    await processes.wait_for(
        running.running_on_engines, 'an engine runs a request'
    )
    if victim in running.hosts:
        running.hosts[victim].kill()
    else:
        # Removed from the list, so that its load is not polled again.
        running.backends.pop(victim).kill()


async def run_workload(
    body: load.Workload, running: system.System
) -> load.LoadReport:
    """Run a workload on a system and return the report."""
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
    """Check that no booking ran twice or contrary to its response."""
    booked = report.payload['bookings']
    assert booked['ran_more_than_once'] == 0
    assert booked['ran_though_not_run'] == 0
    assert booked['answered_and_not_run'] == 0


@pytest.mark.parametrize('victim', ['engine-1', 'host-1'])
async def test_every_answer_completes_and_every_booking_runs_once(
    victim: str,
) -> None:
    async with system.running(hosts=2, engines=2) as running:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_when_busy, victim, running)
            report = await run_workload(workload(), running)
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


async def test_bookings_run_once_despite_lost_answers_and_a_kill() -> None:
    body = load.Workload.model_validate(
        {'duration': 4, 'classes': [BOOKING | {'rate': 15}]}
    )
    async with system.running(hosts=3, engines=1) as running:
        service = running.backends['counter-1'].port
        await calls.set_faults(service, lose_answers=3, fail_after_run=2)
        await calls.set_faults(running.kv.port, lose_replies=3)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_after_bookings, running)
            report = await run_workload(body, running)
    (bookings,) = report.classes
    assert set(bookings['outcomes']) <= {'complete', 'refused'}, bookings
    assert_ran_once(report)
    unknown = [x for x in bookings['refusals'] if x['run'] == 'unknown']
    assert unknown, bookings['refusals']
