"""The open-loop load generator.

Requests leave at their scheduled times however earlier ones fare, and each
latency counts from the scheduled time, so that a slow system hides nothing.
"""

import collections.abc
import dataclasses
import itertools
import secrets
import typing

import trio

from corianderloft._internal.load import addresses
from corianderloft._internal.load import backends
from corianderloft._internal.load import bodies
from corianderloft._internal.load import caller
from corianderloft._internal.load import measures
from corianderloft._internal.load import outcomes
from corianderloft._internal.load import schedule
from corianderloft._internal.load import workload

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What a load run measured.

    Attributes
    ----------
    payload : dict
        All of it, as JSON values.
    """

    payload: Json

    @property
    def classes(self) -> list[Json]:
        """Measures of each class."""
        return list(self.payload['classes'])


@dataclasses.dataclass(frozen=True)
class Progress:
    """How far a run is; ``elapsed`` in seconds."""

    elapsed: float
    sent: int
    ended: int
    scheduled: int


Endpoints = collections.abc.Sequence[workload.Endpoint]
OnProgress = collections.abc.Callable[[Progress], None]

PROGRESS_INTERVAL = 1.0  # s


async def run_load(
    load: workload.Workload,
    entry_hosts: collections.abc.Sequence[str],
    engines: collections.abc.Sequence[str] = (),
    services: collections.abc.Sequence[str] = (),
    look_up: bool = True,
    on_progress: OnProgress | None = None,
) -> LoadReport | workload.LoadProblem:
    """Send a workload and measure what callers see.

    Parameters
    ----------
    load : Workload
        What to send.
    entry_hosts : sequence of str
        ``ADDRESS:PORT`` of entry hosts, on loopback.
    engines, services : sequence of str
        ``ADDRESS:PORT`` of stand-ins whose counters tell wasted work and
        double runs.
    look_up : bool
        Whether callers ask for addresses first; without, they use
        ``entry_hosts`` in turn, which may be engines for comparison.
    on_progress : callable, optional
        Called about once a second.
    """
    checked = [
        [workload.loopback_endpoint(text) for text in texts]
        for texts in (entry_hosts, engines, services)
    ]
    for item in itertools.chain(*checked):
        if isinstance(item, workload.LoadProblem):
            return item
    hosts, engine_endpoints, service_endpoints = (
        [item for item in row if isinstance(item, workload.Endpoint)]
        for row in checked
    )
    if not hosts:
        return workload.LoadProblem('no entry host to send to')
    run = LoadRun(load, hosts, look_up)
    before = await backends.engine_counts(engine_endpoints)
    await run.send_all(on_progress)
    after = await backends.engine_counts(engine_endpoints)
    runs = await backends.bookings(service_endpoints)
    return LoadReport(
        run.to_json()
        | {
            'waste': run.waste(before, after),
            'bookings': run.double_runs(runs),
        }
    )


class LoadRun:
    """One run of a workload.

    Parameters
    ----------
    load : Workload
        What to send.
    hosts : sequence of Endpoint
        Entry hosts.
    look_up : bool
        Whether callers ask for addresses.
    """

    def __init__(
        self, load: workload.Workload, hosts: Endpoints, look_up: bool
    ) -> None:
        self._load = load
        self._run_id = f'load-{load.seed}-{secrets.token_hex(4)}'
        self._arrivals = schedule.arrivals(load)
        self._measures = {
            item.name: measures.ClassMeasures(item, load.duration)
            for item in load.classes
        }
        self._start_lag = measures.Latencies()
        self._books = {
            (item.name, number): addresses.AddressBook(
                _rotated(hosts, number), look_up
            )
            for item in load.classes
            for number in range(item.callers)
        }
        self._booked: dict[str, outcomes.Outcome] = {}
        self._sent = 0
        self._ended = 0

    async def send_all(self, on_progress: OnProgress | None) -> None:
        """Send each request at its time, and wait until all have ended."""
        started = trio.current_time()
        async with trio.open_nursery() as reporting:
            if on_progress is not None:
                reporting.start_soon(self._report, started, on_progress)
            async with trio.open_nursery() as nursery:
                for arrival in self._arrivals:
                    await trio.sleep_until(started + arrival.at)
                    self._send(nursery, arrival, started + arrival.at)
            reporting.cancel_scope.cancel()
        for book in self._books.values():
            await book.aclose()

    def _send(
        self,
        nursery: trio.Nursery,
        arrival: schedule.Arrival,
        scheduled: float,
    ) -> None:
        if self._sent - self._ended >= self._load.max_in_flight:
            self._record(outcomes.Outcome(arrival))
            return
        self._sent += 1
        nursery.start_soon(self._run_one, arrival, scheduled)

    async def _run_one(
        self, arrival: schedule.Arrival, scheduled: float
    ) -> None:
        number = arrival.number % arrival.load_class.callers
        book = self._books[arrival.load_class.name, number]
        request = caller.CallerRequest(arrival, scheduled, book, self._run_id)
        outcome = await request.run()
        self._ended += 1
        self._start_lag.record(outcome.start_lag)
        self._record(outcome)

    def _record(self, outcome: outcomes.Outcome) -> None:
        load_class = outcome.arrival.load_class
        self._measures[load_class.name].record(outcome)
        if load_class.call is workload.CallKind.BOOKING:
            booking = bodies.request_id(outcome.arrival, self._run_id)
            self._booked[booking] = outcome

    async def _report(self, started: float, on_progress: OnProgress) -> None:
        while True:
            await trio.sleep(PROGRESS_INTERVAL)
            on_progress(
                Progress(
                    trio.current_time() - started,
                    self._sent,
                    self._ended,
                    len(self._arrivals),
                )
            )

    def to_json(self) -> Json:
        """Return what callers saw."""
        return {
            'kind': 'load',
            'workload': self._load.name,
            'run_id': self._run_id,
            'seed': self._load.seed,
            'duration_s': self._load.duration,
            'scheduled': len(self._arrivals),
            'generator_lag_s': self._start_lag.to_json(),
            'classes': [item.to_json() for item in self._measures.values()],
        }

    def waste(
        self, before: backends.EngineCounts, after: backends.EngineCounts
    ) -> Json | None:
        """Return tokens generated that no caller received.

        None when no engine could be read; a restarted engine has lost its
        count and makes the result too small.
        """
        generated = after.tokens_generated - before.tokens_generated
        if generated <= 0:
            return None
        received = sum(
            item.tokens_received for item in self._measures.values()
        )
        wasted = max(0, generated - received)
        return {
            'tokens_generated': generated,
            'tokens_received': received,
            'wasted_fraction': wasted / generated,
            'engines_not_read': after.unread,
        }

    def double_runs(self, runs: dict[str, int]) -> Json | None:
        """Return bookings that ran twice, or ran though refused."""
        if not runs:
            return None
        own = {name: runs.get(name, 0) for name in self._booked}
        return {
            'sent': len(own),
            'ran': sum(count > 0 for count in own.values()),
            'ran_more_than_once': sum(count > 1 for count in own.values()),
            'ran_though_not_run': sum(
                count > 0 and self._booked[name].run == 'not_run'
                for name, count in own.items()
            ),
            'answered_and_not_run': sum(
                not count
                and self._booked[name].kind is outcomes.OutcomeKind.COMPLETE
                for name, count in own.items()
            ),
        }


def _rotated(hosts: Endpoints, number: int) -> Endpoints:
    """Return the hosts, another one first for each caller."""
    first = number % len(hosts)
    return [*hosts[first:], *hosts[:first]]
