"""Demand for engines at each host, as reported to the host that orders them.

Demand is measured when a request arrives, so that it does not shrink when
requests are queued or refused for lack of engines.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

import trio

from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.placement import interface
from corianderloft._internal.utils import integers

RECENT_S = 0.8
"""Time constant of the averages that follow a burst: they show 70 % of it
after a second. Shorter ones mostly show the randomness of arrivals."""

STEADY_S = 10.0
"""Time constant of the averages of what changes slowly: the share of the most
urgent requests, and the time for which requests run."""

REFUSED_S = 3.0
"""Time constant of the rates of arrivals and refusals: long enough for a
share of a few in a hundred to show."""

DEFAULT_STAY_S = 2.0
MIN_STAY_S = 0.05
MAX_STAY_S = 600.0
"""Time for which a request runs, assumed before it has been measured, and
bounds on the measured one."""

SHARED_KV_FRACTION = 0.2
"""Part of the shared prompt tokens of a running request that counts as memory
of its own even if all of them were cached: one of five requests that run
together is taken to bring a copy."""

MISS_EWMA_WEIGHT = 0.03
"""Weight of the newest request in the mean fraction of shared prompt tokens
that are not cached."""

REPEAT_WINDOW_S = 10.0
MAX_KNOWN_REQUESTS = 4096
"""Time for which a request is recognized when it comes again, and the number
of requests that are remembered for it."""

MAX_URGENCIES = 32
MAX_SERVICES = 256
MAX_HOSTS = 4096
MAX_NAME_CHARS = 200
MAX_RATE = 1e12
"""Bounds on what a report may contain."""

EXPIRE_AFTER_S = 5.0
"""Time without a report after which the demand of a host no longer counts.
Hosts report once a second, in the largest fleets every two seconds, so at
least one report may be lost."""


@dataclasses.dataclass(frozen=True)
class DemandReport:
    """Demand for the engines of a service at one host.

    Attributes
    ----------
    service : ServiceName
        The service.
    failure_domain : FailureDomain
        Failure domain of the host.
    prefill_tokens_per_s : float
        Prompt tokens to be prefilled, average over `RECENT_S`.
    kv_tokens : float
        KV tokens that the arrived requests need while they run.
    running : float
        Requests that run, or would run if there were engines for them.
    waiting_tokens : float
        Prompt tokens of the requests that wait at the host.
    arrivals_per_s : float
        Requests that arrived.
    refused_per_s : float
        Requests that were refused for lack of engines.
    urgency : int
        Urgency of the most urgent class with demand; 0 goes first.
    urgent_fraction : float
        Fraction of the demand that belongs to that class.
    engine_tokens_per_s : float
        Prefill rate of one engine, as learned at the host.
    """

    service: ids.ServiceName
    failure_domain: ids.FailureDomain
    prefill_tokens_per_s: float
    kv_tokens: float
    running: float
    waiting_tokens: float = 0.0
    arrivals_per_s: float = 0.0
    refused_per_s: float = 0.0
    urgency: int = 0
    urgent_fraction: float = 1.0
    engine_tokens_per_s: float = 0.0


_NUMBERS = (
    'prefill_tokens_per_s',
    'kv_tokens',
    'running',
    'waiting_tokens',
    'arrivals_per_s',
    'refused_per_s',
    'urgent_fraction',
    'engine_tokens_per_s',
)
"""Fields of a report in the order in which they are encoded."""


def encode(report: DemandReport) -> list[typing.Any]:
    """Return a report as a JSON-compatible value."""
    numbers = (round(getattr(report, name), 3) for name in _NUMBERS)
    return [report.service, report.failure_domain, report.urgency, *numbers]


def decode(value: typing.Any) -> DemandReport:
    """Return a report that another host sent.

    Raises
    ------
    ValueError, TypeError
        If it is malformed or out of range.
    """
    service, domain, urgency, *numbers = value
    fields = dict(zip(_NUMBERS, map(_amount, numbers), strict=True))
    fields['urgent_fraction'] = min(1.0, fields['urgent_fraction'])
    return DemandReport(
        service=ids.ServiceName(_name(service)),
        failure_domain=ids.FailureDomain(_name(domain)),
        urgency=integers.bounded(urgency, 0, 10**6),
        **fields,
    )


def _name(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError('not a name')
    return value


def _amount(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{value!r} is not a number')
    if not 0 <= value <= MAX_RATE:
        raise ValueError(f'{value!r} is out of range')
    return float(value)


class _Average:
    """Exponential average of a rate, or of a sum that decays."""

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float, time_constant: float) -> None:
        """Add an amount."""
        self._value = self.at(now, time_constant) + amount

    def at(self, now: float, time_constant: float) -> float:
        """Return the decayed sum of the amounts."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._value *= math.exp(-elapsed / time_constant)
        return self._value


class DemandMeter:
    """Measures the demand for one service at this host.

    Sums of arrivals that decay with the time for which requests run stand for
    the running requests: after an arrival rate has been constant for that
    time, they are the rate times the time.
    """

    def __init__(self) -> None:
        self._prefill = _Average()
        self._arrivals = _Average()
        self._refused = _Average()
        self._kv = _Average()
        self._running = _Average()
        self._urgencies: dict[int, _Average] = {}
        self._assigned = _Average()
        self._in_flight = _Average()
        self._sampled_at: float | None = None
        self._waiting_tokens = 0
        self._miss_fraction = 1.0

    def record_arrival(self, job: interface.Job, now: float) -> None:
        """Record a request that arrived for the first time.

        Parameters
        ----------
        job : Job
            The request.
        now : float
            Current time on trio's clock.
        """
        prefill, kv = 0.0, 0.0
        if job.prompt is not None:
            unshared = job.prompt.unshared_tokens
            shared = max(0, job.prompt.tokens - unshared)
            prefill = unshared + shared * self._miss_fraction
            kv = (
                unshared
                + shared * max(self._miss_fraction, SHARED_KV_FRACTION)
                + job.prompt.max_output // 2
            )
        stay = self.stay(now)
        self._prefill.add(prefill / RECENT_S, now, RECENT_S)
        self._arrivals.add(1 / REFUSED_S, now, REFUSED_S)
        self._kv.add(kv, now, stay)
        self._running.add(1.0, now, stay)
        urgency = job.urgency
        if len(self._urgencies) < MAX_URGENCIES or urgency in self._urgencies:
            average = self._urgencies.setdefault(urgency, _Average())
            average.add(prefill + 1.0, now, STEADY_S)

    def record_waiting(self, job: interface.Job, sign: int) -> None:
        """Add a request to those that wait, or remove it with sign -1."""
        if job.prompt is not None:
            self._waiting_tokens += sign * job.prompt.tokens

    def record_refused(self, now: float) -> None:
        """Record a request that was refused for lack of engines."""
        self._refused.add(1 / REFUSED_S, now, REFUSED_S)

    def record_assigned(
        self, job: interface.Job, prefill_tokens: int, now: float
    ) -> None:
        """Record a request that is sent to an engine.

        Parameters
        ----------
        job : Job
            The request.
        prefill_tokens : int
            Tokens of its prompt that are probably not cached there.
        now : float
            Current time on trio's clock.
        """
        self._assigned.add(1 / STEADY_S, now, STEADY_S)
        if job.prompt is None:
            return
        unshared = job.prompt.unshared_tokens
        shared = job.prompt.tokens - unshared
        if shared > 0:
            missed = min(1.0, max(0, prefill_tokens - unshared) / shared)
            self._miss_fraction += MISS_EWMA_WEIGHT * (
                missed - self._miss_fraction
            )

    def stay(self, now: float) -> float:
        """Return the mean time for which requests run, in seconds.

        By Little's law it is the mean number in flight over the rate at
        which requests are sent.
        """
        rate = self._assigned.at(now, STEADY_S)
        in_flight = self._in_flight.at(now, STEADY_S)
        if self._sampled_at is None or rate * STEADY_S < 1.0:
            return DEFAULT_STAY_S
        return min(MAX_STAY_S, max(MIN_STAY_S, in_flight / rate))

    def sample(self, in_flight: int, now: float) -> None:
        """Record how many requests are in flight."""
        if self._sampled_at is not None:
            elapsed = max(0.0, now - self._sampled_at)
            weight = 1 - math.exp(-elapsed / STEADY_S)
            self._in_flight.add(in_flight * weight, now, STEADY_S)
        self._sampled_at = now

    def report(
        self,
        service: ids.ServiceName,
        domain: ids.FailureDomain,
        in_flight: int,
        engine_tokens_per_s: float,
        now: float,
    ) -> DemandReport:
        """Return the present demand.

        Parameters
        ----------
        service : ServiceName
            The service.
        domain : FailureDomain
            Failure domain of this host.
        in_flight : int
            Requests of this host that engines have.
        engine_tokens_per_s : float
            Prefill rate of an engine.
        now : float
            Current time on trio's clock.
        """
        stay = self.stay(now)
        shares = {
            urgency: amount
            for urgency, average in self._urgencies.items()
            if (amount := average.at(now, STEADY_S)) > 1e-3
        }
        urgency = min(shares, default=0)
        return DemandReport(
            service=service,
            failure_domain=domain,
            prefill_tokens_per_s=self._prefill.at(now, RECENT_S),
            kv_tokens=self._kv.at(now, stay),
            running=max(float(in_flight), self._running.at(now, stay)),
            waiting_tokens=float(self._waiting_tokens),
            arrivals_per_s=self._arrivals.at(now, REFUSED_S),
            refused_per_s=self._refused.at(now, REFUSED_S),
            urgency=urgency,
            urgent_fraction=(
                shares[urgency] / sum(shares.values()) if shares else 0.0
            ),
            engine_tokens_per_s=engine_tokens_per_s,
        )


class EngineFigures(typing.Protocol):
    """What reports state beside the arrivals."""

    def in_flight(self) -> collections.abc.Mapping[ids.ServiceName, int]:
        """Return the requests of this host at engines, by service."""

    def prefill_rate(self, service: ids.ServiceName) -> float:
        """Return the learned prefill rate of an engine."""


class LocalDemand:
    """Demand at this host for the services whose engines can be ordered.

    Nothing is measured for other services.

    Parameters
    ----------
    domain : FailureDomain
        Failure domain of this host.
    """

    def __init__(self, domain: ids.FailureDomain) -> None:
        self._domain = domain
        self._meters: dict[ids.ServiceName, DemandMeter] = {}
        self._known: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def use_table(self, table: routing.RoutingTable) -> None:
        """Measure the services whose engines can be ordered."""
        self._meters = {
            name: self._meters.get(name) or DemandMeter()
            for name, service in table.services.items()
            if service.scaling is not None
        }

    def meter(self, service: ids.ServiceName) -> DemandMeter | None:
        """Return the meter of a service; None if it is not measured."""
        return self._meters.get(service)

    def record_arrival(self, job: interface.Job, now: float) -> None:
        """Record a request unless it is known to have come before.

        Parameters
        ----------
        job : Job
            The request.
        now : float
            Current time on trio's clock.
        """
        meter = self._meters.get(job.service)
        if meter is not None and not self._came_before(job, now):
            meter.record_arrival(job, now)

    def reports(
        self, figures: EngineFigures, now: float
    ) -> list[DemandReport]:
        """Return the present demand for each service.

        Parameters
        ----------
        figures : EngineFigures
            Requests at engines and the speed of these.
        now : float
            Current time on trio's clock.
        """
        if not self._meters:
            return []
        in_flight = figures.in_flight()
        found = []
        for service, meter in self._meters.items():
            count = in_flight.get(service, 0)
            meter.sample(count, now)
            found.append(
                meter.report(
                    service,
                    self._domain,
                    count,
                    figures.prefill_rate(service),
                    now,
                )
            )
        return found[:MAX_SERVICES]

    def _came_before(self, job: interface.Job, now: float) -> bool:
        """Return whether a request is repeated by this host or its caller."""
        if not job.request_id:
            return False
        key = hash((job.service, job.workspace, job.request_id))
        while self._known and (
            next(iter(self._known.values())) < now - REPEAT_WINDOW_S
            or len(self._known) > MAX_KNOWN_REQUESTS
        ):
            self._known.popitem(last=False)
        if key in self._known:
            return True
        self._known[key] = now
        return False


@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """Demand for the engines of a service at all hosts.

    Attributes
    ----------
    prefill_tokens_per_s, kv_tokens, running, waiting_tokens : float
        Sums of the fields of `DemandReport`.
    arrivals_per_s, refused_per_s : float
        Sums of the fields of `DemandReport`.
    urgent_fraction : float
        Fraction of the demand that belongs to the most urgent class.
    engine_tokens_per_s : float
        Prefill rate of an engine: the median over the hosts, weighted by
        their demand; 0 if no host states one.
    by_domain : dict
        Prompt tokens to be prefilled a second by failure domain of the hosts.
    hosts : int
        Hosts with a report.
    """

    prefill_tokens_per_s: float = 0.0
    kv_tokens: float = 0.0
    running: float = 0.0
    waiting_tokens: float = 0.0
    arrivals_per_s: float = 0.0
    refused_per_s: float = 0.0
    urgent_fraction: float = 1.0
    engine_tokens_per_s: float = 0.0
    by_domain: collections.abc.Mapping[ids.FailureDomain, float] = (
        dataclasses.field(default_factory=dict)
    )
    hosts: int = 0


def total(
    reports: collections.abc.Collection[DemandReport],
) -> ServiceDemand:
    """Return the sum of the reports on one service."""
    work = sum(report.prefill_tokens_per_s + 1 for report in reports)
    urgency = min(
        (report.urgency for report in reports if report.urgent_fraction > 0),
        default=0,
    )
    urgent = sum(
        (report.prefill_tokens_per_s + 1) * report.urgent_fraction
        for report in reports
        if report.urgency == urgency
    )
    by_domain: dict[ids.FailureDomain, float] = {}
    for report in reports:
        by_domain[report.failure_domain] = (
            by_domain.get(report.failure_domain, 0.0)
            + report.prefill_tokens_per_s
        )
    return ServiceDemand(
        prefill_tokens_per_s=sum(r.prefill_tokens_per_s for r in reports),
        kv_tokens=sum(r.kv_tokens for r in reports),
        running=sum(r.running for r in reports),
        waiting_tokens=sum(r.waiting_tokens for r in reports),
        arrivals_per_s=sum(r.arrivals_per_s for r in reports),
        refused_per_s=sum(r.refused_per_s for r in reports),
        urgent_fraction=urgent / work if work else 1.0,
        engine_tokens_per_s=_weighted_median(
            [
                (r.engine_tokens_per_s, r.prefill_tokens_per_s + 1)
                for r in reports
                if r.engine_tokens_per_s > 0
            ]
        ),
        by_domain=by_domain,
        hosts=len(reports),
    )


def _weighted_median(
    weighted: collections.abc.Collection[tuple[float, float]],
) -> float:
    """Return the median of pairs of value and weight; 0 if there are none."""
    half = sum(weight for _, weight in weighted) / 2
    for value, weight in sorted(weighted):
        half -= weight
        if half <= 0:
            return value
    return 0.0


@dataclasses.dataclass
class _Received:
    """Last reports of one host.

    Attributes
    ----------
    received_at : float
        When they arrived, on `clock.now`, in seconds.
    reports : dict
        Reports by service.
    """

    received_at: float
    reports: dict[ids.ServiceName, DemandReport]


class FleetDemand:
    """Last reports of all hosts, at the host that orders engines."""

    def __init__(self) -> None:
        self._hosts: dict[ids.HostId, _Received] = {}

    def receive(
        self, host_id: ids.HostId, start: str, value: typing.Any, now: float
    ) -> None:
        """Replace the reports of a host.

        Parameters
        ----------
        host_id : HostId
            The host.
        start : str
            Distinguishes restarts of the host; the last report counts, of
            whichever start.
        value
            Reports as decoded from JSON; not checked yet.
        now : float
            Current time on `clock.now`.

        Raises
        ------
        ValueError, TypeError
            If the value is malformed.
        """
        if not isinstance(value, list) or len(value) > MAX_SERVICES:
            raise ValueError('not a list of reports')
        reports = [decode(row) for row in value]
        if host_id not in self._hosts and len(self._hosts) >= MAX_HOSTS:
            self._expire(now)
            if len(self._hosts) >= MAX_HOSTS:
                raise ValueError('reports of too many hosts')
        self._hosts[host_id] = _Received(now, {r.service: r for r in reports})

    def demand(self, service: ids.ServiceName, now: float) -> ServiceDemand:
        """Return the demand for a service at all hosts.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Current time on `clock.now`.
        """
        self._expire(now)
        return total(
            [
                received.reports[service]
                for received in self._hosts.values()
                if service in received.reports
            ]
        )

    def _expire(self, now: float) -> None:
        for host_id, received in list(self._hosts.items()):
            if received.received_at < now - EXPIRE_AFTER_S:
                del self._hosts[host_id]


class DemandSection:
    """Part of the datagrams to the candidates that contains the demand.

    Parameters
    ----------
    local : LocalDemand
        Demand at this host.
    figures : EngineFigures
        Requests at engines and the speed of these.

    Attributes
    ----------
    fleet : FleetDemand
        What hosts have reported to this one.
    """

    def __init__(self, local: LocalDemand, figures: EngineFigures) -> None:
        self._local = local
        self._figures = figures
        self.fleet = FleetDemand()

    def encode(self) -> typing.Any:
        """Return the reports of this host; None without any service."""
        found = self._local.reports(self._figures, trio.current_time())
        return [encode(report) for report in found] or None

    def receive(
        self, host_id: ids.HostId, start: str, value: typing.Any, now: float
    ) -> None:
        """Use the reports of a host; see `FleetDemand.receive`."""
        self.fleet.receive(host_id, start, value, now)
