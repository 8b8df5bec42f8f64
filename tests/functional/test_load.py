"""Load against a whole system, with an engine killed on the way."""

import pytest
import trio

from corianderloft._internal import load
from tests.lib import processes
from tests.lib import system

KEY = f'clk_example_{system.WORKSPACE}'


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
        common
        | {
            'name': 'booking',
            'service': system.PLAIN_SERVICE,
            'call': 'booking',
        },
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


@pytest.mark.parametrize('victim', ['engine-1', 'host-1'])
async def test_every_answer_is_whole_and_every_booking_runs_once(
    victim: str,
) -> None:
    async with system.running(hosts=2, engines=2) as running:
        hosts = [
            f"{system.ADDRESS}:{host.announced['caller_port']}"
            for host in running.hosts.values()
        ]
        service = running.backends['counter-1']
        reports = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_when_busy, victim, running)
            reports.append(
                await load.run_load(
                    workload(),
                    hosts,
                    services=[f'{system.ADDRESS}:{service.port}'],
                )
            )
    (report,) = reports
    assert isinstance(report, load.LoadReport)
    answers, bookings = report.classes
    assert answers['outcomes'] == {'complete': answers['scheduled']}, answers
    assert set(bookings['outcomes']) <= {'complete', 'refused'}, bookings
    assert answers['repeated_tokens'] == 0
    booked = report.payload['bookings']
    assert booked['ran_more_than_once'] == 0
    assert booked['ran_though_not_run'] == 0
    assert booked['answered_and_not_run'] == 0
