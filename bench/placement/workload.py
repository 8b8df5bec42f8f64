"""Generates requests that resemble the heavy days of a real site."""

import collections.abc
import dataclasses
import random

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing

SERVICE = ids.ServiceName('drafting-desk')


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request; the figures are from the site's specification.

    Attributes
    ----------
    route : Route
        Route of the requests.
    rate : float
        Requests per second outside of bursts.
    shared : tuple of (int, int)
        Length in tokens and number of variants of each shared prompt part.
    own_tokens : int
        Mean length of the unshared part, in tokens.
    output : int
        Mean length of the answer in tokens.
    credit : float
        Credit for an answer in time.
    late_credit_ratio : float
        Fraction of the credit for a late answer.
    timeout : float
        Time until the caller leaves, in seconds.
    max_output : int
        Stated maximum length of the answer; 0 for its mean length.
    """

    route: routing.Route
    rate: float
    shared: tuple[tuple[int, int], ...]
    own_tokens: int
    output: int
    credit: float
    late_credit_ratio: float
    timeout: float
    max_output: int = 0


def _route(
    name: str, tier: int, target: float, gap: float, timeout: float
) -> routing.Route:
    return routing.Route(
        name=name,
        host='desk.example',
        path_prefix=f'/{name}/',
        kind=routing.RequestKind.STREAM,
        tier=ids.Tier(tier),
        timeout=timeout,
        target=target,
        gap_target=gap,
        attempts=1,
        public=True,
        shares=(routing.Share(SERVICE, 1.0),),
    )


LEDGER = Kind(
    _route('wash-history', 2, 1.2, 0.8, 4.0),
    22.0,
    ((2520, 4), (3780, 530)),
    2890,
    54,
    1.4,
    0.41,
    4.0,
)
QUOTE = Kind(
    _route('repair-quote', 1, 0.4, 0.3, 3.0),
    13.7,
    ((341, 20), (227, 219)),
    1800,
    24,
    1.1,
    0.32,
    3.0,
)
CHAT = Kind(
    _route('groom-chat', 0, 0.25, 0.2, 12.0),
    10.3,
    ((103, 20), (69, 249)),
    543,
    280,
    5.0,
    0.45,
    12.0,
)
KINDS = (LEDGER, QUOTE, CHAT)


@dataclasses.dataclass(frozen=True)
class Burst:
    """Increase of the rate of a kind for a limited time.

    Attributes
    ----------
    kind : Kind
        Kind of the requests.
    factor : float
        Factor on the rate.
    begin, end : float
        Seconds after the start of the day.
    """

    kind: Kind
    factor: float
    begin: float
    end: float


HEAVY_DAY_BURSTS = (
    Burst(LEDGER, 2.4, 0.5, 9.0),
    Burst(CHAT, 2.1, 10.0, 15.0),
    Burst(LEDGER, 2.1, 16.0, 20.0),
)


@dataclasses.dataclass(frozen=True)
class Site:
    """Requests of one deployment.

    Attributes
    ----------
    kinds : tuple of Kind
        Kinds of the requests.
    bursts : tuple of Burst
        Bursts of its heavy day.
    workspaces : int
        Workspaces that send equally much; 0 for callers without one.
    heavy_factor : float
        Factor on the traffic of the first workspace.
    """

    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...] = ()
    workspaces: int = 0
    heavy_factor: float = 1.0


STABLES = Site(KINDS, HEAVY_DAY_BURSTS)

DIGEST = Kind(
    _route('charter-digest', 2, 2.5, 1.2, 12.0),
    7.4,
    ((13300, 79),),
    3720,
    120,
    1.5,
    0.1,
    12.0,
)
DISPUTE = Kind(
    _route('dispute-draft', 1, 1.5, 0.5, 6.0),
    5.2,
    ((2520, 4), (3780, 83)),
    2890,
    52,
    2.2,
    0.1,
    6.0,
)
PITCH = Kind(
    _route('pitch-query', 0, 1.5, 0.3, 12.0),
    8.3,
    ((210, 40), (140, 133)),
    1110,
    172,
    2.2,
    0.03,
    12.0,
)
MARKET = Site(
    (DIGEST, DISPUTE, PITCH),
    (
        Burst(DIGEST, 2.2, 0.5, 9.0),
        Burst(PITCH, 2.0, 10.0, 15.0),
        Burst(DIGEST, 2.0, 16.0, 20.0),
    ),
)
"""Very long prompts beside short ones, whose only tight target is the gap
between events."""


REPORT = Kind(
    _route('yard-report', 2, 1.5, 0.8, 12.0),
    17.0,
    ((2200, 40),),
    6600,
    330,
    1.4,
    0.41,
    12.0,
    800,
)
ESTIMATE = Kind(
    _route('repair-estimate', 1, 0.6, 0.4, 5.0),
    12.0,
    ((341, 20), (227, 219)),
    1500,
    60,
    1.1,
    0.32,
    5.0,
    200,
)
COUNTER = Kind(
    _route('counter-chat', 0, 0.25, 0.2, 8.0),
    12.0,
    ((103, 20), (69, 249)),
    543,
    180,
    5.0,
    0.45,
    8.0,
    600,
)
SCARCE_KINDS = (REPORT, ESTIMATE, COUNTER)
SCARCE = Site(SCARCE_KINDS, (Burst(REPORT, 2.5, 2.0, 11.0),), 24)
"""Long prompts that fill the memory of engines before their slots."""

NEIGHBOURS = Site(SCARCE_KINDS, (), 24, 7.5)
"""One workspace with several times its usual traffic."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request that arrives ``at`` seconds after the start."""

    at: float
    kind: Kind
    prompt: instances.Prompt
    output: int
    workspace: ids.WorkspaceId | None = None


def arrivals(
    seed: int,
    length: float,
    load: float = 1.0,
    site: Site = STABLES,
) -> list[Arrival]:
    """Return the requests of a day in order of arrival.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    length : float
        Length of the day in seconds.
    load : float
        Factor on all request rates.
    site : Site
        Kinds of the requests and their bursts.
    """
    rng = random.Random(seed)
    generated = [
        arrival
        for kind in site.kinds
        for arrival in _arrivals_of(rng, kind, length, load, site)
    ]
    return sorted(generated, key=lambda a: a.at)


def _arrivals_of(
    rng: random.Random,
    kind: Kind,
    length: float,
    load: float,
    site: Site,
) -> collections.abc.Iterator[Arrival]:
    at = 0.0
    while True:
        factor = max(
            [
                burst.factor
                for burst in site.bursts
                if burst.kind is kind and burst.begin <= at < burst.end
            ],
            default=1.0,
        )
        at += rng.expovariate(kind.rate * load * factor)
        if at >= length:
            return
        prompt, output = _prompt(rng, kind), _random_length(rng, kind.output)
        output = min(output, kind.max_output or output)
        yield Arrival(at, kind, prompt, output, _workspace(rng, site))


def _prompt(rng: random.Random, kind: Kind) -> instances.Prompt:
    parts = [
        instances.PromptPart(
            ids.PromptPartId(f'{kind.route.name}-{index}-{variant}'), tokens
        )
        for index, (tokens, count) in enumerate(kind.shared)
        for variant in [int(count * rng.random() ** 1.3)]
    ]
    own = _random_length(rng, kind.own_tokens)
    parts.append(
        instances.PromptPart(
            ids.PromptPartId(f'own-{rng.getrandbits(48)}'), own
        )
    )
    tokens = sum(part.tokens for part in parts)
    max_output = kind.max_output or kind.output
    return instances.Prompt(tokens, max_output, tuple(parts))


def _random_length(rng: random.Random, mean: int) -> int:
    return max(1, min(int(mean * rng.lognormvariate(-0.25, 0.7)), 5 * mean))


def _workspace(rng: random.Random, site: Site) -> ids.WorkspaceId | None:
    if not site.workspaces:
        return None
    place = rng.uniform(0, site.workspaces - 1 + site.heavy_factor)
    number = max(0, int(place - site.heavy_factor + 1))
    return ids.WorkspaceId(f'w-{number}')
