"""Prompt parts that running requests share in the memory of an engine."""

import collections
import collections.abc

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances

Parts = collections.abc.Iterable[instances.PromptPart]


class SharedParts:
    """Counts the users of each part; a part occupies memory once.

    Callers may state different lengths for a part; the first one counts.
    """

    def __init__(self) -> None:
        self._users: collections.Counter[ids.PromptPartId] = (
            collections.Counter()
        )
        self._tokens: dict[ids.PromptPartId, int] = {}

    def add(self, parts: Parts) -> int:
        """Add a user of each part; return the tokens that this adds."""
        added = 0
        for part in parts:
            if part.part_id not in self._tokens:
                self._tokens[part.part_id] = part.tokens
                added += part.tokens
            self._users[part.part_id] += 1
        return added

    def remove(self, parts: Parts) -> int:
        """Remove a user of each part; return the tokens that this frees."""
        freed = 0
        for part in parts:
            self._users[part.part_id] -= 1
            if not self._users[part.part_id]:
                del self._users[part.part_id]
                freed += self._tokens.pop(part.part_id)
        return freed

    def missing(self, parts: Parts) -> int:
        """Return the tokens of the parts that have no user."""
        return sum(p.tokens for p in parts if p.part_id not in self._tokens)
