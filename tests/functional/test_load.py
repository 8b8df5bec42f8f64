"""Load against a whole system, with an engine killed on the way."""

import trio

from corianderloft._internal import load
from tests.lib import processes
from tests.lib import system

KEY = f'clk_example_{system.WORKSPACE}'


def workload() -> load.Workload:
    """Return a few seconds of answers and bookings."""
    common = {'key': KEY, 'timeout': 60, 'rate': 10}
    classes = [
        common
        | {
            'name': 'groom-answer',
            'service': system.MODEL_SERVICE,
            'model': 'rug-8b-v3',
            'answer': {'median': 40, 'most': 200},
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


async def kill_when_busy(
    engine: processes.Process, running: system.System
) -> None:
    """Kill an engine as soon as requests run."""
    await processes.wait_for(
        running.running_on_engines, 'an engine runs a request'
    )
    engine.kill()


async def test_every_answer_is_whole_and_every_booking_runs_once() -> None:
    async with system.running(hosts=2, engines=2) as running:
        hosts = [
            f"{system.ADDRESS}:{host.announced['caller_port']}"
            for host in running.hosts.values()
        ]
        service = running.backends['counter-1']
        reports = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                kill_when_busy, running.backends['engine-1'], running
            )
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
    for item in (answers, bookings):
        wrong = set(item['outcomes']) - {'complete', 'refused'}
        assert not wrong, item
        assert item['repeated_tokens'] == 0
    assert answers['outcomes']['complete'] > 0
    booked = report.payload['bookings']
    assert booked['ran_more_than_once'] == 0
    assert booked['ran_though_not_run'] == 0
    assert booked['answered_and_not_run'] == 0
