"""What this host knows of each backend server."""

import collections
import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.placement import health

Key = tuple[ids.EngineId, int]
"""A backend server and its start."""


@dataclasses.dataclass
class Work:
    """A request of this host at a backend server.

    Attributes
    ----------
    read_tokens : int
        Prompt tokens that are probably not cached there.
    memory_tokens : int
        Tokens that it holds in the engine's memory.
    tier : Tier
        Priority.
    sent_at : float
        When it was sent, on trio's clock.
    started : bool
        Whether its answer has begun.
    """

    read_tokens: int
    memory_tokens: int
    tier: ids.Tier
    sent_at: float
    started: bool = False


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """What another entry host has at a backend server."""

    requests: int
    unread_tokens: int
    memory_tokens: int


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
        self.work: dict[int, Work] = {}
        self.cache = PartCache(model.memory_tokens if model else 0)
        self.health = health.Health()
        self.sample: instances.LoadSample | None = None
        self.sampled_at = float('-inf')
        self.peers: dict[ids.HostId, PeerLoad] = {}

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

    def unread_tokens(self) -> int:
        """Return the prompt tokens that it has yet to read."""
        own = sum(w.read_tokens for w in self.work.values() if not w.started)
        return own + sum(p.unread_tokens for p in self.peers.values())

    def memory_tokens(self) -> int:
        """Return the tokens that its requests hold in memory."""
        own = sum(w.memory_tokens for w in self.work.values())
        return own + sum(p.memory_tokens for p in self.peers.values())

    def own_load(self) -> PeerLoad:
        """Return what this host has there."""
        return PeerLoad(
            requests=len(self.work),
            unread_tokens=sum(
                w.read_tokens for w in self.work.values() if not w.started
            ),
            memory_tokens=sum(w.memory_tokens for w in self.work.values()),
        )

    def note_sample(self, sample: instances.LoadSample, now: float) -> None:
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
