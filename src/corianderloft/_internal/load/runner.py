"""The open-loop load generator.

Requests are sent at their scheduled times regardless of earlier ones, and each
latency is measured from the scheduled time, so that a slow system cannot hide
queueing delay (coordinated omission).
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
    """Results of a load run.

    Attributes
    ----------
    payload : dict
        All results, as JSON values.
    """

    payload: Json

    @property
    def classes(self) -> list[Json]:
        """Measurements of each class."""
        return list(self.payload['classes'])


@dataclasses.dataclass(frozen=True)
class Progress:
    """Progress of a run; ``elapsed`` is in seconds."""

    elapsed: float
    sent: int
    ended: int
    scheduled: int


Endpoints = collections.abc.Sequence[workload.Endpoint]
OnProgress = collections.abc.Callable[[Progress], None]

PROGRESS_INTERVAL_S = 1.0


async def run_load(
    load: workload.Workload,
    entry_hosts: collections.abc.Sequence[str],
    engines: collections.abc.Sequence[str] = (),
    services: collections.abc.Sequence[str] = (),
    look_up: bool = True,
    on_progress: OnProgress | None = None,
) -> LoadReport | workload.LoadProblem:
    """Send a workload and measure the results from the callers' side.

    Parameters
    ----------
    load : Workload
        Workload to send.
    entry_hosts : sequence of str
        ``ADDRESS:PORT`` of entry hosts, on loopback.
    engines, services : sequence of str
        ``ADDRESS:PORT`` of stand-ins, whose counters show wasted work and
        repeated runs.
    look_up : bool
        Whether callers look up addresses first; otherwise they use
        ``entry_hosts`` in rotation, which may be engines for comparison.
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
    runs = await backends.booking_runs(service_endpoints)
    return LoadReport(
        run.to_json()
        | {
            'waste': run.waste(before, after),
            'bookings': run.booking_counts(runs),
        }
    )


class LoadRun:
    """One run of a workload.

    Parameters
    ----------
    load : Workload
        Workload to send.
    hosts : sequence of Endpoint
        Entry hosts.
    look_up : bool
        Whether callers look up addresses.
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
        self._start_lag = measures.LatencyHistogram()
        self._books = {
            (item.name, number): addresses.AddressBook(
                _rotate(hosts, number), look_up
            )
            for item in load.classes
            for number in range(item.callers)
        }
        self._booking_outcomes: dict[str, outcomes.Outcome] = {}
        self._sent = 0
        self._ended = 0

    async def send_all(self, on_progress: OnProgress | None) -> None:
        """Send each request at its scheduled time and wait for all to end."""
        started_at = trio.current_time()
        async with trio.open_nursery() as reporting:
            if on_progress is not None:
                reporting.start_soon(
                    self._report_progress, started_at, on_progress
                )
            async with trio.open_nursery() as nursery:
                for arrival in self._arrivals:
                    await trio.sleep_until(started_at + arrival.at)
                    self._send(nursery, arrival, started_at + arrival.at)
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
        nursery.start_soon(self._run_request, arrival, scheduled)

    async def _run_request(
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
            self._booking_outcomes[booking] = outcome

    async def _report_progress(
        self, started_at: float, on_progress: OnProgress
    ) -> None:
        while True:
            await trio.sleep(PROGRESS_INTERVAL_S)
            on_progress(
                Progress(
                    trio.current_time() - started_at,
                    self._sent,
                    self._ended,
                    len(self._arrivals),
                )
            )

    def to_json(self) -> Json:
        """Return the measurements from the callers' side."""
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
        """Return generated tokens that no caller received.

        Returns None if no engine could be read. An engine that restarted
        during the run has lost its counter, so that the result is too small.
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
            'engines_not_read': after.engines_not_read,
        }

    def booking_counts(self, runs: dict[str, int]) -> Json | None:
        """Return bookings that ran repeatedly or although refused as not run.

        Returns None if no service reported a booking.
        """
        if not runs:
            return None
        run_counts = {
            name: runs.get(name, 0) for name in self._booking_outcomes
        }
        return {
            'sent': len(run_counts),
            'ran': sum(count > 0 for count in run_counts.values()),
            'ran_more_than_once': sum(
                count > 1 for count in run_counts.values()
            ),
            'ran_though_not_run': sum(
                count > 0 and self._booking_outcomes[name].run == 'not_run'
                for name, count in run_counts.items()
            ),
            'answered_and_not_run': sum(
                not count
                and self._booking_outcomes[name].kind
                is outcomes.OutcomeKind.COMPLETE
                for name, count in run_counts.items()
            ),
        }


def _rotate(hosts: Endpoints, number: int) -> Endpoints:
    """Return the hosts, starting with a different one for each caller."""
    first = number % len(hosts)
    return [*hosts[first:], *hosts[:first]]
