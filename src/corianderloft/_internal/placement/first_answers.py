"""Distribution of the first-answer times of one service at this host."""

import collections
import math

from corianderloft._internal.models import ids

MAX_ANSWERS = 256
"""Newest answers that are kept; enough for the 98th percentile."""

MIN_ANSWERS = 20
"""Answers of other servers below which no quantile is known."""

Key = tuple[ids.EngineId, int]


class FirstAnswerTimes:
    """Times to the first answer, relative to what was expected.

    The expectation includes the work queued before a request, so answers to
    short and to long prompts are comparable.
    """

    def __init__(self) -> None:
        self._ratios: collections.deque[tuple[Key, float]] = collections.deque(
            maxlen=MAX_ANSWERS
        )

    def record(self, key: Key, ratio: float) -> None:
        """Record one answer.

        Parameters
        ----------
        key : Key
            The backend server.
        ratio : float
            Time to the first answer, relative to the expected one; a lower
            bound if the request has left the server without an answer.
        """
        self._ratios.append((key, ratio))

    def quantile(self, excluded: Key, share: float) -> float | None:
        """Return a quantile over the answers of all servers but one.

        Parameters
        ----------
        excluded : Key
            Server whose answers do not count: if it is slow, its own answers
            would hide that.
        share : float
            Share of the answers that are at most as late, from 0 to 1.

        Returns
        -------
        float or None
            The quantile; None with fewer than `MIN_ANSWERS` answers.
        """
        ratios = sorted(r for key, r in self._ratios if key != excluded)
        if len(ratios) < MIN_ANSWERS:
            return None
        rank = math.ceil(share * len(ratios))
        return ratios[min(max(rank, 1), len(ratios)) - 1]
