"""Estimates of answer length and cost from the history of a service."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import requests

PROMPT_TOKENS_PER_GENERATED_TOKEN = 200.0
"""Prompt tokens that an engine prefills in the time to generate one token."""

_MIN_EWMA_WEIGHT = 0.1
"""Smallest weight of the newest answer in a moving average."""

_HALF_WEIGHT_ANSWERS = 5
"""Answers of a workspace at which its own history has half the weight."""

_DEFAULT_ANSWER_RATIO = 0.25
"""Expected fraction of ``max_tokens`` for a class without history."""

_MAX_WORKSPACES = 4096
"""Limit on the number of workspace histories kept."""


@dataclasses.dataclass
class _History:
    mean: float
    count: int = 0

    def add(self, tokens: float) -> None:
        self.count += 1
        weight = max(_MIN_EWMA_WEIGHT, 1 / self.count)
        self.mean += (tokens - self.mean) * weight


class LengthEstimator:
    """Estimates answer lengths from the past answers of one service."""

    def __init__(self) -> None:
        self._classes: dict[ids.ClassName, _History] = {}
        self._workspaces: dict[
            tuple[ids.ClassName, ids.WorkspaceId], _History
        ] = {}

    def expected_answer(self, ticket: requests.Ticket) -> float:
        """Return the expected length of the answer, in tokens."""
        class_history = self._classes.get(ticket.class_name)
        if class_history is None:
            return max(1.0, ticket.max_tokens * _DEFAULT_ANSWER_RATIO)
        expected = class_history.mean
        workspace_history = self._workspaces.get(
            (ticket.class_name, ticket.workspace)
        )
        if workspace_history is not None:
            weight = workspace_history.count / (
                workspace_history.count + _HALF_WEIGHT_ANSWERS
            )
            expected += (workspace_history.mean - expected) * weight
        return max(1.0, min(expected, ticket.max_tokens))

    def cost(self, ticket: requests.Ticket) -> float:
        """Return the expected cost, in equivalents of generated tokens."""
        prefill_cost = ticket.prompt_tokens / PROMPT_TOKENS_PER_GENERATED_TOKEN
        return self.expected_answer(ticket) + prefill_cost

    def record_answer(self, ticket: requests.Ticket, tokens: int) -> None:
        """Record the length of a complete answer, in tokens."""
        class_history = self._classes.setdefault(
            ticket.class_name, _History(tokens)
        )
        class_history.add(tokens)
        key = (ticket.class_name, ticket.workspace)
        workspace_history = self._workspaces.pop(key, None) or _History(tokens)
        workspace_history.add(tokens)
        self._workspaces[key] = workspace_history
        if len(self._workspaces) > _MAX_WORKSPACES:
            del self._workspaces[next(iter(self._workspaces))]
