"""Tests of the load generator directly against stand-ins."""

import collections.abc
import contextlib
import dataclasses
import pathlib

import hypothesis
from hypothesis import strategies
import pytest
import trio

from corianderloft._internal import load
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload
from corianderloft._internal import standin
from corianderloft._internal.standin import http
from tests.lib import calls
from tests.lib import processes


def chat_class(**fields: object) -> dict[str, object]:
    """Return a class of short chat requests."""
    short = {'median': 10, 'most': 50}
    return {
        'name': 'groom',
        'service': 'yard-counter',
        'rate': 100,
        'answer': short,
        'prompt': short,
    } | fields


def make_workload(
    *classes: dict[str, object], **fields: object
) -> load.Workload:
    """Return a workload that lasts half a second."""
    body = {'duration': 0.5, 'classes': classes} | fields
    return load.Workload.model_validate(body)


@dataclasses.dataclass
class Standins:
    """Ports of one engine and one plain service."""

    engine: int
    service: int

    async def run(self, workload: load.Workload) -> load.LoadReport:
        """Send a workload directly to the engine."""
        report = await load.run_load(
            workload,
            [f'127.0.0.1:{self.engine}'],
            engines=[f'127.0.0.1:{self.engine}'],
            look_up=False,
        )
        assert isinstance(report, load.LoadReport)
        return report


@contextlib.asynccontextmanager
async def standins() -> collections.abc.AsyncGenerator[Standins]:
    """Start an engine and a plain service and yield their ports."""
    fast = standin.EngineSettings(
        step_time=0.001, step_time_per_request=0, prefill_time_per_token=0
    )
    async with trio.open_nursery() as nursery:
        yield Standins(
            await nursery.start(standin.serve_engine, fast),
            await nursery.start(
                standin.serve_service, standin.ServiceSettings()
            ),
        )
        nursery.cancel_scope.cancel()


async def test_correct_responses_are_complete_without_wasted_work() -> None:
    classes = [
        chat_class(),
        chat_class(name='quote', stream=False, token_gap_target=1),
    ]
    async with standins() as ports:
        report = await ports.run(make_workload(*classes))
    for item in report.classes:
        assert item['outcomes'] == {'complete': item['scheduled']}
        assert item['repeated_tokens'] == 0
    assert report.payload['waste']['wasted_fraction'] == 0.0
    assert 'groom' in load.text(report)


async def test_refused_and_late_requests_miss_their_targets() -> None:
    late = chat_class(name='late', first_token_target=1e-9)
    async with standins() as ports:
        report = await ports.run(make_workload(late))
        await calls.set_faults(ports.engine, leaving=True)
        refused = await ports.run(make_workload(chat_class()))
    assert report.classes[0]['attainment'] == 0.0
    assert report.classes[0]['outcomes'].keys() == {'complete'}
    count = refused.classes[0]['scheduled']
    assert refused.classes[0]['refusals'] == [
        {'reason': 'leaving', 'run': '', 'count': count}
    ]


async def test_requests_of_a_stalled_system_time_out_or_are_not_sent() -> None:
    """Requests to a stalled system count from their scheduled time.

    A closed-loop generator would send fewer requests and so hide the stall.
    """
    timeout = chat_class(timeout=0.3, rate=40)
    async with standins() as ports:
        await calls.set_faults(ports.engine, silent=True)
        report = await ports.run(make_workload(timeout, max_in_flight=5))
    ended = report.classes[0]['outcomes']
    assert ended.keys() == {'timeout', 'not_sent'}
    assert sum(ended.values()) == report.payload['scheduled']
    assert report.classes[0]['attainment'] == 0.0


async def _send_unrelated_completion(call: http.Call) -> None:
    message = {'role': 'assistant', 'content': ' 12345' * 10}
    await call.reply({'model': '', 'choices': [{'message': message}]})


async def test_completion_of_another_request_is_wrong(
    nursery: trio.Nursery,
) -> None:
    routes = http.Routes(
        {'POST /v1/chat/completions': _send_unrelated_completion}
    )
    port = await nursery.start(http.serve, routes, 0)
    report = await load.run_load(
        make_workload(chat_class()), [f'127.0.0.1:{port}'], look_up=False
    )
    assert isinstance(report, load.LoadReport)
    assert report.classes[0]['outcomes'].keys() == {'wrong'}
    assert report.classes[0]['attainment'] == 0.0


async def _addresses(call: http.Call) -> None:
    port = int(call.headers['host'].rpartition(':')[2])
    row = {'address': '127.0.0.1', 'port': port}
    await call.reply({'addresses': [row], 'ttl_s': 60})


async def test_bookings_are_compared_with_runs_of_the_service(
    nursery: trio.Nursery,
) -> None:
    """The entry host books one request twice and refuses one that ran."""
    settings = standin.ServiceSettings(service_time=0)
    service = await nursery.start(standin.serve_service, settings)

    async def book(call: http.Call) -> None:
        booking = call.json() or {}
        await calls.post(service, '/bookings', booking)
        if booking['booking'].endswith('-0'):
            await calls.post(service, '/bookings', booking)
        if booking['booking'].endswith('-1'):
            error = {'reason': 'draining', 'run': 'not_run'}
            await call.reply({'error': error}, 503)
            return
        await call.reply(booking)

    routes = http.Routes(
        {
            'GET /v1/addresses': _addresses,
            'POST /v1/services/desk/bookings': book,
        }
    )
    port = await nursery.start(http.serve, routes, 0)
    bookings = chat_class(name='b', service='desk', call='booking')
    report = await load.run_load(
        make_workload(bookings, max_requests=5),
        [f'127.0.0.1:{port}'],
        services=[f'127.0.0.1:{service}'],
    )
    assert isinstance(report, load.LoadReport)
    assert report.classes[0]['outcomes'] == {'complete': 4, 'refused': 1}
    assert report.payload['bookings'] == {
        'sent': 5,
        'ran': 5,
        'ran_more_than_once': 1,
        'ran_though_not_run': 1,
        'answered_and_not_run': 0,
    }


async def test_load_is_sent_to_loopback_only() -> None:
    problem = await load.run_load(
        make_workload(chat_class()), ['192.0.2.1:80']
    )
    assert isinstance(problem, load.LoadProblem)
    assert 'loopback only' in problem.detail


@hypothesis.given(
    seed=strategies.integers(0, 1000),
    factor=strategies.floats(0, 10),
    most=strategies.integers(1, 200),
)
def test_arrivals_are_ordered_bounded_and_the_same_for_a_seed(
    seed: int, factor: float, most: int
) -> None:
    swing = {'start': 0.1, 'duration': 0.2, 'factor': factor}
    body = make_workload(
        chat_class(swings=[swing]),
        chat_class(name='other', rate=20),
        seed=seed,
        max_requests=most,
    )
    first = schedule.arrivals(body)
    assert first == schedule.arrivals(body)
    assert len(first) <= most
    times = [arrival.at for arrival in first]
    assert times == sorted(times) and all(0 <= at < 0.5 for at in times)
    assert all(1 <= arrival.answer_tokens <= 50 for arrival in first)


def test_swing_multiplies_the_rate() -> None:
    swing = workload.Swing(start=1, duration=2, factor=4)
    item = workload.LoadClass(name='a', service='s', rate=10, swings=(swing,))
    rates = [schedule.rate_at(item, at) for at in (0.5, 1.0, 2.9, 3.0)]
    assert rates == [10, 40, 40, 10]


@pytest.mark.parametrize('name', ['nileknot', 'qureshi'])
def test_examples_are_valid_workloads(name: str) -> None:
    root = pathlib.Path(__file__).parents[3]
    path = root / 'examples' / 'workloads' / f'{name}.yaml'
    assert isinstance(load.read_workload(path), load.Workload)


def test_error_in_a_workload_names_the_field(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'w.yaml'
    path.write_text('classes: [{name: a, service: s, rte: 1}]')
    problem = load.read_workload(path)
    assert isinstance(problem, load.LoadProblem)
    assert 'w.yaml' in problem.detail and 'rte' in problem.detail


@pytest.mark.parametrize(
    ('resume', 'outcomes'),
    [(True, {'complete'}), (False, {'complete', 'cut'})],
)
async def test_caller_resumes_an_interrupted_stream(
    nursery: trio.Nursery, resume: bool, outcomes: set[str]
) -> None:
    slow = standin.EngineSettings(step_time=0.01, slots=100)
    ports = [await nursery.start(standin.serve_engine, slow) for _ in '12']
    equal = {'median': 50, 'most': 50, 'sigma': 0}
    body = make_workload(
        chat_class(rate=40, answer=equal, resume=resume, model='m')
    )

    async def crash() -> None:
        async def delivered() -> bool:
            counts = await calls.get(ports[0], '/control/counts')
            return bool(counts['tokens_delivered'])

        await processes.wait_for(delivered, 'the engine delivers tokens')
        await calls.set_faults(ports[0], crashed=True)

    nursery.start_soon(crash)
    report = await load.run_load(
        body, [f'127.0.0.1:{port}' for port in ports], look_up=False
    )
    assert isinstance(report, load.LoadReport)
    item = report.classes[0]
    assert item['outcomes'].keys() == outcomes
    assert item['repeated_tokens'] == 0
    assert (item['resumed'] > 0) == resume
    nursery.cancel_scope.cancel()
