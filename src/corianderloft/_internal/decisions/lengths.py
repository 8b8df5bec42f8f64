"""Estimates of work from class, workspace, prompt and history."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import requests

PROMPT_TOKENS_PER_TOKEN = 200.0
"""Prompt tokens that an engine reads while it generates one token."""

_WEIGHT = 0.1
"""Part of an average that the newest answer makes up."""

_CONFIDENT_AFTER = 5
"""Answers of a workspace after which its own history counts most."""

_FIRST_GUESS = 0.25
"""Part of ``max_tokens`` expected of a class without history."""

_MOST_WORKSPACES = 4096
"""Histories of workspaces that are kept."""


@dataclasses.dataclass
class _History:
    mean: float
    count: int = 0

    def add(self, tokens: float) -> None:
        self.count += 1
        weight = max(_WEIGHT, 1 / self.count)
        self.mean += (tokens - self.mean) * weight


class Lengths:
    """History of answers of one service."""

    def __init__(self) -> None:
        self._classes: dict[ids.ClassName, _History] = {}
        self._workspaces: dict[
            tuple[ids.ClassName, ids.WorkspaceId], _History
        ] = {}

    def answer(self, ticket: requests.Ticket) -> float:
        """Return the expected answer, in tokens."""
        of_class = self._classes.get(ticket.class_name)
        if of_class is None:
            return max(1.0, ticket.max_tokens * _FIRST_GUESS)
        expected = of_class.mean
        own = self._workspaces.get((ticket.class_name, ticket.workspace))
        if own is not None:
            part = own.count / (own.count + _CONFIDENT_AFTER)
            expected += (own.mean - expected) * part
        return max(1.0, min(expected, ticket.max_tokens))

    def cost(self, ticket: requests.Ticket) -> float:
        """Return the expected work, in generated tokens."""
        prompt = ticket.prompt_tokens / PROMPT_TOKENS_PER_TOKEN
        return self.answer(ticket) + prompt

    def learn(self, ticket: requests.Ticket, tokens: int) -> None:
        """Take in the length of a whole answer."""
        of_class = self._classes.setdefault(
            ticket.class_name, _History(tokens)
        )
        of_class.add(tokens)
        key = (ticket.class_name, ticket.workspace)
        own = self._workspaces.pop(key, None) or _History(tokens)
        own.add(tokens)
        self._workspaces[key] = own
        if len(self._workspaces) > _MOST_WORKSPACES:
            del self._workspaces[next(iter(self._workspaces))]
