"""Prompt parts that requests of all hosts use."""

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances

POPULAR_RATIO = 0.1
"""Fraction of the requests of a service from which a part is popular. An
engine with 20 requests then holds it with a probability of nearly 0.9."""

UNPOPULAR_RATIO = 0.07
"""Fraction below which a part is popular no longer."""

MEMORY_REQUESTS = 300
"""Number of newest requests that the fractions mainly rest on."""

MIN_REQUESTS = 50
"""Requests before any part counts as popular."""

CLEANING_INTERVAL = 64
"""Requests between removals of parts that are used no longer."""


class PopularParts:
    """Fractions of the requests of one service that use each shared part.

    The hosts report sums of the memory that their requests use. If each of
    them included a part that is used everywhere, it would count once for
    each host. So no host includes popular parts, and each adds all of them
    once for each engine. Where hosts differ on what is popular, a part is
    missing once, or counts twice.

    Attributes
    ----------
    total_tokens : int
        Tokens of all popular parts together.
    """

    def __init__(self) -> None:
        self._weights: dict[ids.PromptPartId, float] = {}
        self._tokens: dict[ids.PromptPartId, int] = {}
        self._increment = 1.0
        self._total = 0.0
        self._requests = 0
        self._popular: set[ids.PromptPartId] = set()
        self.total_tokens = 0

    def __contains__(self, part_id: ids.PromptPartId) -> bool:
        return part_id in self._popular

    def record(self, prompt: instances.Prompt) -> None:
        """Record a request."""
        self._requests += 1
        # Newer requests weigh more instead of older ones weighing less.
        self._increment *= 1 + 1 / MEMORY_REQUESTS
        self._total += self._increment
        for part in prompt.shared_parts:
            weight = self._weights.get(part.part_id, 0.0) + self._increment
            self._weights[part.part_id] = weight
            self._tokens[part.part_id] = part.tokens
            if (
                self._requests >= MIN_REQUESTS
                and weight >= POPULAR_RATIO * self._total
            ):
                self._popular.add(part.part_id)
        if self._requests % CLEANING_INTERVAL == 0:
            self._clean()
        self.total_tokens = sum(self._tokens[p] for p in self._popular)

    def _clean(self) -> None:
        scale = 1 / self._increment
        self._increment = 1.0
        self._total *= scale
        self._weights = {
            part_id: weight * scale
            for part_id, weight in self._weights.items()
            if weight * scale > 1 / MEMORY_REQUESTS
        }
        self._tokens = {p: self._tokens[p] for p in self._weights}
        self._popular = {
            part_id
            for part_id in self._popular
            if self._weights.get(part_id, 0.0) > UNPOPULAR_RATIO * self._total
        }
