"""Prompt parts that running requests share in the memory of an engine."""

import collections.abc

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances

Parts = collections.abc.Iterable[instances.PromptPart]


class SharedParts:
    """Counts the users of each part; a part occupies memory once."""

    def __init__(self) -> None:
        self._users: dict[ids.PromptPartId, int] = {}

    def add(self, parts: Parts) -> int:
        """Add a user of each part; return the tokens that this adds."""
        added = 0
        for part in parts:
            users = self._users.get(part.part_id, 0)
            added += 0 if users else part.tokens
            self._users[part.part_id] = users + 1
        return added

    def remove(self, parts: Parts) -> int:
        """Remove a user of each part; return the tokens that this frees."""
        freed = 0
        for part in parts:
            users = self._users[part.part_id] - 1
            if users:
                self._users[part.part_id] = users
            else:
                del self._users[part.part_id]
                freed += part.tokens
        return freed

    def missing(self, parts: Parts) -> int:
        """Return the tokens of the parts that have no user."""
        return sum(p.tokens for p in parts if p.part_id not in self._users)
