"""Services and request classes of both users, and seeded random arrivals."""

import dataclasses
import math
import random
import statistics

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states

SLOTS_PER_ENGINE = 8
TOKEN_INTERVAL_S = 0.030
"""Time between tokens on a healthy engine with all slots in use."""

PREFILL_TOKENS_PER_S = 8000.0
"""Uncached prompt tokens that an engine prefills per second."""

HOST_COUNT = 8
CALLERS_PER_WORKSPACE = 6
ADDRESS_TTL_S = 20.0
"""How long a caller keeps using the same host."""

PEAK_FACTOR = 1.4
"""Lowest demand factor that counts as a peak."""

_MEAN_LENGTH_SAMPLES = 5000
"""Samples for the estimate of a mean answer length."""


@dataclasses.dataclass(frozen=True)
class ClassProfile:
    """Request lengths, limits and share of the demand of one class.

    Attributes
    ----------
    name : str
        Name of the class.
    tier : int
        Tier of the class.
    share : float
        Share of the demand of the service, measured in slot time.
    prompt_tokens, answer_tokens : int
        Median lengths.
    length_sigma : float
        Sigma of the log-normal distribution of answer lengths.
    first_token_target, deadline : float
        Time limits for the first token and the start, in seconds.
    max_tokens : int
        Limit on the answer length that callers request.
    """

    name: str
    tier: int
    share: float
    prompt_tokens: int
    answer_tokens: int
    length_sigma: float
    first_token_target: float
    deadline: float
    max_tokens: int

    def mean_answer_tokens(self) -> float:
        """Return the mean answer length, capped at ``max_tokens``."""
        rng = random.Random(0)
        log_median = math.log(self.answer_tokens)
        return statistics.fmean(
            min(
                self.max_tokens,
                rng.lognormvariate(log_median, self.length_sigma),
            )
            for _ in range(_MEAN_LENGTH_SAMPLES)
        )

    def mean_slot_s(self) -> float:
        """Return the mean time that a request occupies a slot, in seconds."""
        return (
            self.prompt_tokens / PREFILL_TOKENS_PER_S
            + self.mean_answer_tokens() * TOKEN_INTERVAL_S
        )


@dataclasses.dataclass(frozen=True)
class Service:
    """A service of one of the users; ``network_delay`` is in seconds."""

    name: str
    engines: int
    network_delay: float
    profiles: tuple[ClassProfile, ...]

    @property
    def slots(self) -> int:
        """Total number of slots of the engines."""
        return self.engines * SLOTS_PER_ENGINE

    def template(self) -> catalog.ServiceTemplate:
        """Return the service template that operators would declare."""
        return catalog.ServiceTemplate(
            name=ids.ServiceName(self.name),
            kind=states.ServiceKind.MODEL,
            classes=tuple(
                catalog.RequestClass(
                    ids.ClassName(m.name),
                    ids.Tier(m.tier),
                    first_token_target=m.first_token_target,
                    deadline=m.deadline,
                    max_tokens=m.max_tokens,
                )
                for m in self.profiles
            ),
            routes=(
                catalog.SupplierRoute(
                    ids.SupplierName('supplier'), ids.ModelVersion('model')
                ),
            ),
        )


_QUESTION = ClassProfile('question', 0, 0.20, 200, 50, 0.6, 1.9, 8, 512)
_REPLY = ClassProfile('reply', 1, 0.15, 300, 70, 0.6, 1.9, 8, 512)
_QUOTE = ClassProfile('quote', 2, 0.20, 1000, 220, 0.6, 4.0, 20, 4096)
_DRAFT = ClassProfile('draft', 3, 0.15, 2000, 400, 0.7, 10.0, 40, 4096)
_CATALOGUE = ClassProfile(
    'catalogue', 5, 0.30, 12000, 700, 1.0, 30.0, 120, 4096
)

_DESK_PROFILES = (_QUESTION, _REPLY, _QUOTE, _DRAFT, _CATALOGUE)
_COUNTER_PROFILES = (
    dataclasses.replace(_QUESTION, share=0.40),
    dataclasses.replace(_REPLY, share=0.20),
    dataclasses.replace(_QUOTE, share=0.25),
    dataclasses.replace(_DRAFT, share=0.15),
)

SERVICES = {
    service.name: service
    for service in (
        Service('drafting-desk', 9, 0.0015, _DESK_PROFILES),
        Service('yard-counter', 4, 0.0015, _COUNTER_PROFILES),
        Service('lace-model', 5, 0.001, _DESK_PROFILES),
        Service('order-desk', 4, 0.001, _COUNTER_PROFILES),
    )
}

SHORT_TIERS = (0, 1)
LONG_TIERS = (3, 4, 5)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request to be sent.

    Attributes
    ----------
    sent_at : float
        When it is sent, in seconds from the start.
    profile : ClassProfile
        Profile of its class.
    workspace : str
        Workspace of the caller.
    host : int
        Index of the host that receives it.
    prompt_tokens, answer_tokens : int
        Actual lengths.
    is_peak : bool
        Whether it is sent during a demand peak.
    prefix : int
        Hash of the prompt prefix.
    """

    sent_at: float
    profile: ClassProfile
    workspace: str
    host: int
    prompt_tokens: int
    answer_tokens: int
    is_peak: bool
    prefix: int


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand to generate arrivals for.

    Attributes
    ----------
    load : float
        Ratio of mean demand to capacity.
    duration : float
        Length in seconds.
    without_tiers : tuple of int
        Tiers whose requests are omitted.
    burst_workspace : str or None
        Workspace whose ``burst_class`` demand is multiplied by ten for a
        while from the middle of the run on.
    burst_class : str
        Class that the burst applies to.
    varies : bool
        Whether demand varies over time.
    """

    load: float
    duration: float = 60.0
    without_tiers: tuple[int, ...] = ()
    burst_workspace: str | None = None
    burst_class: str = 'reply'
    varies: bool = True


WORKSPACES = tuple(f'workspace-{n}' for n in range(10))
WORKSPACE_SHARES = tuple(1 / (n + 1) for n in range(10))
BURST_FACTOR = 10


def arrivals(service: Service, demand: Demand, seed: int) -> list[Arrival]:
    """Return all arrivals, sorted by time."""
    factors = _demand_factors(demand, seed)
    drawn = [
        arrival
        for profile in service.profiles
        for arrival in _class_arrivals(service, demand, profile, seed, factors)
        if profile.tier not in demand.without_tiers
    ]
    return sorted(drawn, key=lambda arrival: arrival.sent_at)


def _demand_factors(demand: Demand, seed: int) -> list[float]:
    """Return the factor on the mean demand for each second of the run."""
    rng = random.Random(f'{seed} swing')
    factors: list[float] = []
    while len(factors) < demand.duration:
        factor = rng.choice((0.5, 0.8, 1.0, 1.2, 1.5))
        factors += [factor if demand.varies else 1.0] * rng.randint(2, 6)
    return factors


def _class_arrivals(
    service: Service,
    demand: Demand,
    profile: ClassProfile,
    seed: int,
    factors: list[float],
) -> list[Arrival]:
    rng = random.Random(f'{seed} {service.name} {profile.name}')
    rate = demand.load * profile.share * service.slots / profile.mean_slot_s()
    drawn = []
    sent_at = rng.expovariate(rate)
    while sent_at < demand.duration:
        factor = factors[int(sent_at)]
        workspace = rng.choices(WORKSPACES, WORKSPACE_SHARES)[0]
        repeats = 1
        if (profile.name, workspace) == (
            demand.burst_class,
            demand.burst_workspace,
        ):
            burst_start = demand.duration / 2
            repeats = (
                BURST_FACTOR
                if burst_start <= sent_at < burst_start + 10
                else 1
            )
        drawn += [
            _draw_arrival(rng, profile, workspace, sent_at, factor, seed)
            for _ in range(repeats)
        ]
        sent_at += rng.expovariate(rate * factor)
    return drawn


def _draw_arrival(
    rng: random.Random,
    profile: ClassProfile,
    workspace: str,
    sent_at: float,
    factor: float,
    seed: int,
) -> Arrival:
    caller = rng.randrange(CALLERS_PER_WORKSPACE)
    period = int(sent_at / ADDRESS_TTL_S)
    host_rng = random.Random(f'{seed} {workspace} {caller} {period}')
    answer_tokens = int(
        rng.lognormvariate(
            math.log(profile.answer_tokens), profile.length_sigma
        )
    )
    prompt_tokens = int(
        rng.lognormvariate(math.log(profile.prompt_tokens), 0.4)
    )
    return Arrival(
        sent_at=sent_at,
        profile=profile,
        workspace=workspace,
        host=host_rng.randrange(HOST_COUNT),
        prompt_tokens=max(10, prompt_tokens),
        answer_tokens=min(max(5, answer_tokens), profile.max_tokens),
        is_peak=factor >= PEAK_FACTOR,
        prefix=hash((workspace, profile.name, caller // 2)) & 0xFFFFFFFF,
    )
