"""Services, classes and arrivals of both users, drawn from a seed."""

import dataclasses
import math
import random
import statistics

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states

SLOTS = 8
TOKEN_GAP = 0.030
"""Time between tokens of a full, healthy engine, in seconds."""

PREFILL_RATE = 8000.0
"""Prompt tokens that an engine reads in a second."""

HOSTS = 8
CALLERS_PER_WORKSPACE = 6
ADDRESS_TTL = 20.0
"""How long a caller keeps to one host, in seconds."""

CREST_FACTOR = 1.4
"""Swing of demand from which on a moment counts as a crest."""


_SAMPLES = 5000
"""Draws from which a mean length is taken."""


@dataclasses.dataclass(frozen=True)
class ClassMix:
    """One class: its lengths and its part of the demand.

    Attributes
    ----------
    name : str
        Name of the class.
    tier : int
        Its priority.
    share : float
        Part of the service's demand, in slot time.
    prompt, answer : int
        Median lengths in tokens.
    spread : float
        Sigma of the log-normal lengths.
    target, deadline : float
        First token target and deadline, in seconds.
    max_tokens : int
        What callers ask for.
    """

    name: str
    tier: int
    share: float
    prompt: int
    answer: int
    spread: float
    target: float
    deadline: float
    max_tokens: int

    def mean_answer(self) -> float:
        """Return the mean answer, cut at ``max_tokens``, in tokens."""
        rng = random.Random(0)
        mean = math.log(self.answer)
        return statistics.fmean(
            min(self.max_tokens, rng.lognormvariate(mean, self.spread))
            for _ in range(_SAMPLES)
        )

    def slot_time(self) -> float:
        """Return the mean time in a slot, in seconds."""
        return self.prompt / PREFILL_RATE + self.mean_answer() * TOKEN_GAP


@dataclasses.dataclass(frozen=True)
class Service:
    """One service of one user."""

    name: str
    engines: int
    network_delay: float
    mixes: tuple[ClassMix, ...]

    @property
    def slots(self) -> int:
        """Slots of all its engines."""
        return self.engines * SLOTS

    def template(self) -> catalog.ServiceTemplate:
        """Return the service as the operators declare it."""
        return catalog.ServiceTemplate(
            name=ids.ServiceName(self.name),
            kind=states.ServiceKind.MODEL,
            classes=tuple(
                catalog.RequestClass(
                    ids.ClassName(m.name),
                    ids.Tier(m.tier),
                    first_token_target=m.target,
                    deadline=m.deadline,
                    max_tokens=m.max_tokens,
                )
                for m in self.mixes
            ),
            routes=(
                catalog.SupplierRoute(
                    ids.SupplierName('supplier'), ids.ModelVersion('model')
                ),
            ),
        )


_QUESTION = ClassMix('question', 0, 0.20, 200, 50, 0.6, 1.9, 8, 512)
_REPLY = ClassMix('reply', 1, 0.15, 300, 70, 0.6, 1.9, 8, 512)
_QUOTE = ClassMix('quote', 2, 0.20, 1000, 220, 0.6, 4.0, 20, 4096)
_DRAFT = ClassMix('draft', 3, 0.15, 2000, 400, 0.7, 10.0, 40, 4096)
_READ = ClassMix('catalogue', 5, 0.30, 12000, 700, 1.0, 30.0, 120, 4096)

_DESK_MIXES = (_QUESTION, _REPLY, _QUOTE, _DRAFT, _READ)
_COUNTER_MIXES = (
    dataclasses.replace(_QUESTION, share=0.40),
    dataclasses.replace(_REPLY, share=0.20),
    dataclasses.replace(_QUOTE, share=0.25),
    dataclasses.replace(_DRAFT, share=0.15),
)

SERVICES = {
    service.name: service
    for service in (
        Service('drafting-desk', 9, 0.0015, _DESK_MIXES),
        Service('yard-counter', 4, 0.0015, _COUNTER_MIXES),
        Service('lace-model', 5, 0.001, _DESK_MIXES),
        Service('order-desk', 4, 0.001, _COUNTER_MIXES),
    )
}

SHORT_TIERS = (0, 1)
LONG_TIERS = (3, 4, 5)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request before it is sent.

    Attributes
    ----------
    at : float
        When it is sent, in seconds from the start.
    mix : ClassMix
        Its class.
    workspace : str
        Who sends it.
    host : int
        Host that receives it.
    prompt, answer : int
        True lengths in tokens.
    crest : bool
        Whether demand stood at a crest.
    prefix : int
        Hash of its prompt's prefix.
    """

    at: float
    mix: ClassMix
    workspace: str
    host: int
    prompt: int
    answer: int
    crest: bool
    prefix: int


@dataclasses.dataclass(frozen=True)
class Demand:
    """What to draw.

    Attributes
    ----------
    load : float
        Mean demand over capacity.
    duration : float
        Length in seconds.
    without_tiers : tuple of int
        Tiers whose requests are left out.
    burst_workspace : str or None
        Workspace whose ``burst_class`` bursts ten times in mid-run.
    burst_class : str
        Class that bursts.
    swings : bool
        Whether demand swings.
    """

    load: float
    duration: float = 60.0
    without_tiers: tuple[int, ...] = ()
    burst_workspace: str | None = None
    burst_class: str = 'reply'
    swings: bool = True


WORKSPACES = tuple(f'workspace-{n}' for n in range(10))
WORKSPACE_SHARES = tuple(1 / (n + 1) for n in range(10))
BURST_FACTOR = 10


def arrivals(service: Service, demand: Demand, seed: int) -> list[Arrival]:
    """Return all arrivals in order of time."""
    factors = _swing(demand, seed)
    drawn = [
        arrival
        for mix in service.mixes
        for arrival in _of_class(service, demand, mix, seed, factors)
        if mix.tier not in demand.without_tiers
    ]
    return sorted(drawn, key=lambda arrival: arrival.at)


def _swing(demand: Demand, seed: int) -> list[float]:
    """Return the factor on demand for each second."""
    rng = random.Random(f'{seed} swing')
    factors: list[float] = []
    while len(factors) < demand.duration:
        factor = rng.choice((0.5, 0.8, 1.0, 1.2, 1.5))
        factors += [factor if demand.swings else 1.0] * rng.randint(2, 6)
    return factors


def _of_class(
    service: Service,
    demand: Demand,
    mix: ClassMix,
    seed: int,
    factors: list[float],
) -> list[Arrival]:
    rng = random.Random(f'{seed} {service.name} {mix.name}')
    rate = demand.load * mix.share * service.slots / mix.slot_time()
    drawn = []
    at = rng.expovariate(rate)
    while at < demand.duration:
        factor = factors[int(at)]
        workspace = rng.choices(WORKSPACES, WORKSPACE_SHARES)[0]
        repeats = 1
        if (mix.name, workspace) == (
            demand.burst_class,
            demand.burst_workspace,
        ):
            middle = demand.duration / 2
            repeats = BURST_FACTOR if middle <= at < middle + 10 else 1
        drawn += [
            _draw(rng, mix, workspace, at, factor, seed)
            for _ in range(repeats)
        ]
        at += rng.expovariate(rate * factor)
    return drawn


def _draw(
    rng: random.Random,
    mix: ClassMix,
    workspace: str,
    at: float,
    factor: float,
    seed: int,
) -> Arrival:
    caller = rng.randrange(CALLERS_PER_WORKSPACE)
    period = int(at / ADDRESS_TTL)
    sticky = random.Random(f'{seed} {workspace} {caller} {period}')
    answer = int(rng.lognormvariate(math.log(mix.answer), mix.spread))
    prompt = int(rng.lognormvariate(math.log(mix.prompt), 0.4))
    return Arrival(
        at=at,
        mix=mix,
        workspace=workspace,
        host=sticky.randrange(HOSTS),
        prompt=max(10, prompt),
        answer=min(max(5, answer), mix.max_tokens),
        crest=factor >= CREST_FACTOR,
        prefix=hash((workspace, mix.name, caller // 2)) & 0xFFFFFFFF,
    )
