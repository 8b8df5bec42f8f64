"""Load, KV cache and speed of each backend server, as estimated here."""

import collections
import dataclasses
import math
import operator
import random
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import engine_model
from corianderloft._internal.placement import health
from corianderloft._internal.placement import rate_limits
from corianderloft._internal.placement import shared_parts
from corianderloft._internal.placement import statements

SLOWDOWN_EWMA_WEIGHT = 0.2
"""Weight of the newest answer in the moving average of the slowdown."""

SLOWDOWN_DECAY_S = 4.0
"""Time constant with which the slowdown decays towards 1 without new answers,
since other workloads on the machine slow an engine only briefly."""

MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
"""Bounds on the slowdown derived from a single answer."""

SAMPLE_LIFE_S = 3.0
"""Time in which requests that a server reported, and that no host did, fade
from the estimate of its load: long prompts run for some seconds, and a host
hears of a server only with the answers that it gets itself."""

MIN_PART_TOKENS = 128
"""Tokens that a part of a prompt has at least on average. Shorter ones save so
little work that fewer of them are remembered."""

MIN_CACHED_PARTS = 64
"""Parts that are remembered for each engine, however small it is and however
many there are."""

MAX_CACHED_PARTS = 32768
"""Parts that a host remembers for all engines; some 200 bytes each."""

Key = tuple[ids.EngineId, int]
"""Engine ID and start time of a backend server."""


class PeerLoad(typing.NamedTuple):
    """Load on a backend server from one or more entry hosts."""

    requests: int
    short_requests: int
    pending_prefill_tokens: int
    kv_tokens: int

    def __add__(self, other: tuple[int, ...]) -> 'PeerLoad':  # type: ignore
        """Return the sum of two loads."""
        return PeerLoad(*map(operator.add, self, other))

    def __sub__(self, other: 'PeerLoad') -> 'PeerLoad':
        """Return the difference of two loads."""
        return PeerLoad(*map(operator.sub, self, other))


@dataclasses.dataclass
class InFlightRequest:
    """A request that this host sent to a backend server.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens that are probably not in the KV cache.
    kv_tokens : int
        Tokens that it occupies in the KV cache.
    tier : Tier
        Priority.
    sent_at : float
        When it was sent, on trio's clock.
    short_prompt : bool
        Whether its route has short prompts.
    queued_tokens : int
        Uncached tokens of all hosts before it and its own when it was sent.
    started : bool
        Whether its answer has begun.
    shared_parts : tuple of PromptPart
        Parts that are not included in ``kv_tokens``.
    """

    prefill_tokens: int
    kv_tokens: int
    tier: ids.Tier
    sent_at: float
    short_prompt: bool = False
    queued_tokens: int = 0
    started: bool = False
    shared_parts: tuple[instances.PromptPart, ...] = ()

    @property
    def load(self) -> PeerLoad:
        """Its part of the load of the backend server."""
        return PeerLoad(
            1,
            int(self.short_prompt),
            0 if self.started else self.prefill_tokens,
            self.kv_tokens,
        )


NO_LOAD = PeerLoad(0, 0, 0, 0)


class Engine:
    """State that this host keeps for one run of a backend server.

    Parameters
    ----------
    instance : Instance
        Its registration.
    model : ModelService or None
        Model that it serves; None for a plain service.
    speed : EngineModel or None
        Speed of the engines of its service; None for a new estimate.
    said : Statements or None
        What it has said of itself; None if nothing is known.

    Attributes
    ----------
    speed : EngineModel
        Speed of the engines of its service.
    memory_tokens : int
        Tokens that its KV cache holds; 0 for a plain service.
    cache : PrefixCache
        Estimated content of its prefix cache.
    health : Health
        Passive health check.
    sample : LoadSample or None
        Load that it reported last.
    sampled_at : float
        When ``sample`` was received, on trio's clock.
    rate_limit : RateLimit
        Limit that it names, and the requests sent to it.
    statements : Statements
        What it has said of itself in its responses.
    shared : SharedParts
        Prompt parts that requests of this host share in its memory.
    listed : bool
        Whether the registration still exists.
    """

    def __init__(
        self,
        instance: instances.Instance,
        model: routing.ModelService | None,
        speed: engine_model.EngineModel | None = None,
        said: statements.Statements | None = None,
    ) -> None:
        self.instance = instance
        self.listed = True
        self.statements = said or statements.Statements(
            instance.engine_id, random.Random(), lambda: None
        )
        self._set_model(model)
        self.speed = speed or engine_model.EngineModel()
        self._slowdown = 1.0
        self._slowdown_at = float('-inf')
        self._in_flight: dict[int, InFlightRequest] = {}
        self._own = NO_LOAD
        self.shared = shared_parts.SharedParts()
        self._unreported = 0
        self.health = health.Health()
        self.sample: instances.LoadSample | None = None
        self.sampled_at = float('-inf')
        self.rate_limit = rate_limits.RateLimit(instance.engine_id)
        self._peers: dict[str, PeerLoad] = {}
        self._peer_total = NO_LOAD

    def use_model(self, model: routing.ModelService | None) -> None:
        """Use what is declared of the model; a new one has an empty cache."""
        if model != self._model:
            self._set_model(model)

    def _set_model(self, model: routing.ModelService | None) -> None:
        self._model = model
        self.serves_model = model is not None
        self.memory_tokens = model.memory_tokens if model else 0
        self.cache = PrefixCache(self.memory_tokens)

    def use_instance(self, instance: instances.Instance) -> None:
        """Use a newer registration, corrected by what the server has said."""
        if (
            self.statements.leaving
            and instance.state is states.BackendState.LIVE
        ):
            instance = dataclasses.replace(
                instance, state=states.BackendState.LEAVING
            )
        self.instance = instance

    @property
    def in_use(self) -> bool:
        """Whether it may get new requests: it is listed and not leaving."""
        return self.listed and self.instance.state is states.BackendState.LIVE

    @property
    def key(self) -> Key:
        """Key of this run of the backend server."""
        return self.instance.engine_id, self.instance.started_at_ms

    @property
    def engine_id(self) -> ids.EngineId:
        """ID of the backend server."""
        return self.instance.engine_id

    def update_peer(self, source: str, load: PeerLoad | None) -> None:
        """Replace the load by other hosts that ``source`` reported.

        Parameters
        ----------
        source : str
            Sender and scope of the report.
        load : PeerLoad or None
            The load; None if the source reports none.
        """
        old = self._peers.pop(source, NO_LOAD)
        if load is not None:
            self._peers[source] = load
        self._peer_total += (load or NO_LOAD) - old

    def requests(self) -> int:
        """Return the number of requests in flight from all entry hosts."""
        return self._own.requests + self._peer_total.requests

    def short_requests(self) -> int:
        """Return the number of in-flight requests with short prompts."""
        return self._own.short_requests + self._peer_total.short_requests

    def pending_prefill_tokens(self) -> int:
        """Return the uncached prompt tokens still to be prefilled."""
        return (
            self._own.pending_prefill_tokens
            + self._peer_total.pending_prefill_tokens
        )

    def kv_tokens(self) -> int:
        """Return the tokens that its requests occupy in the KV cache."""
        return self._own.kv_tokens + self._peer_total.kv_tokens

    def prefill_time(self, tokens: int, now: float) -> float:
        """Return the time to prefill its backlog and ``tokens`` more.

        Parameters
        ----------
        tokens : int
            Prompt tokens in addition to the backlog.
        now : float
            Current time on trio's clock.

        Returns
        -------
        float
            Estimated time in seconds.
        """
        backlog = self.pending_prefill_tokens() + tokens
        return self.slowdown(now) * self.speed.prefill_time(backlog)

    def slowdown(self, now: float) -> float:
        """Return the ratio of measured to expected time to first token."""
        decay = math.exp(-max(0.0, now - self._slowdown_at) / SLOWDOWN_DECAY_S)
        return 1.0 + (self._slowdown - 1.0) * decay

    def add(self, number: int, request: InFlightRequest) -> None:
        """Add a request of this host."""
        request.queued_tokens = (
            self.pending_prefill_tokens() + request.prefill_tokens
        )
        self._in_flight[number] = request
        self._own += request.load
        shared = self.shared.add(request.shared_parts)
        self._own += PeerLoad(0, 0, 0, shared)

    def remove(self, number: int) -> bool:
        """Remove a request of this host; return False if it is unknown."""
        request = self._in_flight.pop(number, None)
        if request is None:
            return False
        self._own -= request.load
        freed = self.shared.remove(request.shared_parts)
        self._own -= PeerLoad(0, 0, 0, freed)
        return True

    def record_started(self, number: int, now: float) -> bool:
        """Record that the answer to a request has started.

        Returns False if that is already known. Updates the speed of the
        service and the slowdown from the time to first token.
        """
        request = self._in_flight.get(number)
        if request is None or request.started:
            return False
        self._own -= request.load
        request.started = True
        self._own += request.load
        ttft = now - request.sent_at
        ratio = ttft / self.speed.expected_ttft(request.queued_tokens)
        self.speed.first_answers.record(self.key, ratio)
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        slowdown = self.slowdown(now)
        self.speed.record(request.queued_tokens, ttft)
        self._slowdown = slowdown + SLOWDOWN_EWMA_WEIGHT * (ratio - slowdown)
        self._slowdown_at = now
        return True

    def expected_wait(self, number: int) -> float:
        """Return the expected time to the first answer to a request.

        From when it was sent, in seconds; infinite if it is unknown.
        """
        request = self._in_flight.get(number)
        if request is None:
            return math.inf
        return self.speed.expected_ttft(request.queued_tokens)

    def record_unanswered(self, number: int, now: float) -> None:
        """Record that a request leaves the server before its answer."""
        request = self._in_flight.get(number)
        if request is None or request.started:
            return
        ratio = (now - request.sent_at) / self.expected_wait(number)
        self.speed.first_answers.record(self.key, ratio)

    def own_load(self) -> PeerLoad:
        """Return the load from the requests of this host."""
        return self._own

    def record_sample(self, sample: instances.LoadSample, now: float) -> None:
        """Store the load that the server reported."""
        self.sample = sample
        self.sampled_at = now
        reported = sample.running + sample.waiting
        self._unreported = max(0, reported - self.requests())

    def unreported_requests(self, now: float) -> float:
        """Return the estimated number of requests of unknown hosts.

        Hosts that were just started or are partitioned do not hear of the
        requests of others, but the servers report them.
        """
        age = now - self.sampled_at
        return self._unreported * max(0.0, 1.0 - age / SAMPLE_LIFE_S)


class PrefixCache:
    """Estimated content of an engine's prefix cache, in LRU order.

    Callers choose the names and lengths of parts, so a name is kept as its
    hash, and the number of parts is limited.

    Parameters
    ----------
    capacity : int
        Capacity of the engine's KV cache in tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._max_parts = max(MIN_CACHED_PARTS, capacity // MIN_PART_TOKENS)
        self._parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._parts)

    def cached_tokens(self, prompt: instances.Prompt) -> int:
        """Return the length of the cached prompt prefix in tokens."""
        found = 0
        for part in prompt.parts:
            if hash(part.part_id) not in self._parts:
                break
            found += part.tokens
        return found

    def add(
        self, prompt: instances.Prompt, max_parts: int = MAX_CACHED_PARTS
    ) -> None:
        """Add the parts of a prompt, and evict the least recently used.

        Parameters
        ----------
        prompt : Prompt
            The prompt.
        max_parts : int
            Largest number of parts that stay.
        """
        for part in prompt.parts:
            key = hash(part.part_id)
            if key not in self._parts:
                self._tokens += part.tokens
                self._parts[key] = part.tokens
            self._parts.move_to_end(key)
        max_parts = min(self._max_parts, max_parts)
        while len(self._parts) > 1 and (
            self._tokens > self._capacity or len(self._parts) > max_parts
        ):
            self._tokens -= self._parts.popitem(last=False)[1]


def cached_parts_limit(count: int) -> int:
    """Return how many parts are kept for each of ``count`` engines."""
    return max(MIN_CACHED_PARTS, MAX_CACHED_PARTS // max(1, count))
