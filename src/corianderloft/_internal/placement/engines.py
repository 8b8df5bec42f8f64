"""What this host knows of each backend server."""

import collections
import dataclasses
import math

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.placement import health

READ_RATE = 38_000.0
"""Prompt tokens that an engine reads in a second beside a running batch:
the sheets name 56.9 in a millisecond, and each chunk of 1,024 waits for one
step of the batch."""

BASE_TIME = 0.04
"""Time until an answer begins without anything to read, in seconds."""

PACE_WEIGHT = 0.2
"""Weight of the newest answer in the pace of an engine."""

PACE_MEMORY = 4.0
"""Time in which a pace without new answers fades, in seconds: neighbours on
its host slow an engine for moments."""

LEAST_PACE = 0.5
MOST_PACE = 8.0
"""Bounds of what one answer says of the pace."""

Key = tuple[ids.EngineId, int]
"""A backend server and its start."""


@dataclasses.dataclass
class Work:
    """A request of this host at a backend server.

    Attributes
    ----------
    read_tokens : int
        Prompt tokens that are probably not cached there.
    kv_tokens : int
        Tokens that it holds in the engine's memory.
    tier : Tier
        Priority.
    sent_at : float
        When it was sent, on trio's clock.
    short : bool
        Whether its route has short prompts.
    expected : float
        Time after which its answer should begin, in seconds.
    started : bool
        Whether its answer has begun.
    """

    read_tokens: int
    kv_tokens: int
    tier: ids.Tier
    sent_at: float
    short: bool = False
    expected: float = 0.0
    started: bool = False


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """What other entry hosts have at a backend server."""

    requests: int
    short_requests: int
    pending_prefill_tokens: int
    kv_tokens: int

    def combined(self, other: 'PeerLoad') -> 'PeerLoad':
        """Return both together."""
        return PeerLoad(
            self.requests + other.requests,
            self.short_requests + other.short_requests,
            self.pending_prefill_tokens + other.pending_prefill_tokens,
            self.kv_tokens + other.kv_tokens,
        )


class Engine:
    """One start of a backend server, as this host sees it.

    Parameters
    ----------
    instance : Instance
        Its entry.
    model : ModelService or None
        Set for engines of a model.

    Attributes
    ----------
    work : dict
        Requests of this host there, by their number.
    cache : PartCache
        Prompt parts that it probably holds.
    health : Health
        Whether it may be used.
    sample : LoadSample or None
        What it last said of its load, at ``sampled_at``.
    """

    def __init__(
        self,
        instance: instances.Instance,
        model: routing.ModelService | None,
    ) -> None:
        self.instance = instance
        self.serves_model = model is not None
        self._pace = 1.0
        self._paced_at = float('-inf')
        self.work: dict[int, Work] = {}
        self.cache = PartCache(model.memory_tokens if model else 0)
        self.health = health.Health()
        self.sample: instances.LoadSample | None = None
        self.sampled_at = float('-inf')
        self.peers: dict[str, PeerLoad] = {}

    @property
    def key(self) -> Key:
        """Identity of this start."""
        return self.instance.engine_id, self.instance.born

    @property
    def engine_id(self) -> ids.EngineId:
        """Identity of the backend server."""
        return self.instance.engine_id

    def requests(self) -> int:
        """Return the requests there, of this host and of others."""
        return len(self.work) + sum(p.requests for p in self.peers.values())

    def short_requests(self) -> int:
        """Return the requests with short prompts there."""
        own = sum(work.short for work in self.work.values())
        return own + sum(p.short_requests for p in self.peers.values())

    def pending_prefill_tokens(self) -> int:
        """Return the prompt tokens that it has yet to read."""
        own = sum(w.read_tokens for w in self.work.values() if not w.started)
        return own + sum(p.pending_prefill_tokens for p in self.peers.values())

    def kv_tokens(self) -> int:
        """Return the tokens that its requests hold in memory."""
        own = sum(w.kv_tokens for w in self.work.values())
        return own + sum(p.kv_tokens for p in self.peers.values())

    def reading_time(self, tokens: int, now: float) -> float:
        """Return the time until it has read what it has and ``tokens`` more.

        Parameters
        ----------
        tokens : int
            Prompt tokens on top.
        now : float
            trio's clock.
        """
        unread = self.pending_prefill_tokens() + tokens
        return self.pace(now) * unread / READ_RATE

    def pace(self, now: float) -> float:
        """Return how long answers take to begin, over what was expected."""
        faded = math.exp(-max(0.0, now - self._paced_at) / PACE_MEMORY)
        return 1.0 + (self._pace - 1.0) * faded

    def add(self, number: int, work: Work) -> None:
        """Note a request of this host."""
        work.expected = BASE_TIME + self.pending_prefill_tokens() / READ_RATE
        work.expected += work.read_tokens / READ_RATE
        self.work[number] = work

    def record_started(self, work: Work, now: float) -> None:
        """Learn from the time that an answer took to begin."""
        ratio = (now - work.sent_at) / work.expected
        ratio = min(MOST_PACE, max(LEAST_PACE, ratio))
        pace = self.pace(now)
        self._pace = pace + PACE_WEIGHT * (ratio - pace)
        self._paced_at = now

    def own_load(self) -> PeerLoad:
        """Return what this host has there."""
        return PeerLoad(
            requests=len(self.work),
            short_requests=sum(work.short for work in self.work.values()),
            pending_prefill_tokens=sum(
                w.read_tokens for w in self.work.values() if not w.started
            ),
            kv_tokens=sum(w.kv_tokens for w in self.work.values()),
        )

    def record_sample(self, sample: instances.LoadSample, now: float) -> None:
        """Take in what it says of its load."""
        self.sample = sample
        self.sampled_at = now


class PartCache:
    """Prompt parts that an engine probably holds, least recently used first.

    Parameters
    ----------
    capacity : int
        Tokens that the engine's memory holds.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def cached_tokens(self, prompt: instances.Prompt) -> int:
        """Return the tokens at the start of a prompt that need no reading."""
        found = 0
        for part in prompt.parts:
            if part.part_id not in self._parts:
                break
            found += part.tokens
        return found

    def add(self, prompt: instances.Prompt) -> None:
        """Note that the engine reads a prompt."""
        for part in prompt.parts:
            if part.part_id not in self._parts:
                self._tokens += part.tokens
                self._parts[part.part_id] = part.tokens
            self._parts.move_to_end(part.part_id)
        while self._tokens > self._capacity and len(self._parts) > 1:
            self._tokens -= self._parts.popitem(last=False)[1]
