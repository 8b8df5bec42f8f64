"""Prefill speed of the engines of one service, estimated while serving."""

from corianderloft._internal.placement import first_answers

PRIOR_PREFILL_TOKENS_PER_S = 30_000.0
PRIOR_BASE_TTFT_S = 0.04
"""Speed assumed before the first answers: the order of magnitude of current
accelerators. A few answers outweigh it."""

PRIOR_PROMPT_TOKENS = 5_000
PRIOR_WEIGHT = 2.0
"""Prompt length and weight, in answers, of the observation that stands for
the prior prefill rate; another one of an empty prompt stands for the base."""

MEMORY_ANSWERS = 200.0
"""Number of newest answers that the estimate mainly rests on."""

OUTLIER_RATIO = 2.0
"""Ratio of measured to expected time to first token from which an answer
counts less, since other work on the machine delayed it."""

MAX_PRIOR_ERROR = 50.0
"""Largest factor by which the estimates may differ from the prior."""


class EngineModel:
    """Expected time to first token by prompt length.

    A straight line over the uncached tokens before and in the prompt, fitted
    by weighted least squares of relative errors with exponential forgetting
    and Huber weights. It includes the mean share of the time that an engine
    spends on the tokens of running requests.

    Attributes
    ----------
    first_answers : FirstAnswerTimes
        Newest times to first token, relative to the expected ones.
    """

    def __init__(self) -> None:
        self.first_answers = first_answers.FirstAnswerTimes()
        self.base_ttft = PRIOR_BASE_TTFT_S
        self.prefill_rate = PRIOR_PREFILL_TOKENS_PER_S
        self._sums = [0.0] * 5
        self._add(0.0, self.expected_ttft(0), PRIOR_WEIGHT)
        self._add(
            float(PRIOR_PROMPT_TOKENS),
            self.expected_ttft(PRIOR_PROMPT_TOKENS),
            PRIOR_WEIGHT,
        )

    def prefill_time(self, tokens: float) -> float:
        """Return the time to prefill a number of tokens, in seconds."""
        return tokens / self.prefill_rate

    def expected_ttft(self, tokens: float) -> float:
        """Return the expected time to first token, in seconds.

        Parameters
        ----------
        tokens : float
            Uncached tokens of the prompt and of those queued before it.
        """
        return self.base_ttft + self.prefill_time(tokens)

    def record(self, tokens: float, ttft: float) -> None:
        """Update the estimate from one answer.

        Parameters
        ----------
        tokens : float
            Uncached tokens of the prompt and of those queued before it.
        ttft : float
            Measured time to first token in seconds.
        """
        ratio = ttft / self.expected_ttft(tokens)
        forgetting = 1.0 - 1.0 / MEMORY_ANSWERS
        self._sums = [forgetting * value for value in self._sums]
        self._add(tokens, ttft, min(1.0, OUTLIER_RATIO / max(ratio, 1e-9)))
        self._solve()

    def _add(self, tokens: float, ttft: float, weight: float) -> None:
        scaled = weight / self.expected_ttft(tokens) ** 2
        terms = (1.0, tokens, tokens * tokens, ttft, tokens * ttft)
        self._sums = [
            value + scaled * term
            for value, term in zip(self._sums, terms, strict=True)
        ]

    def _solve(self) -> None:
        count, tokens, tokens_squared, ttft, product = self._sums
        determinant = count * tokens_squared - tokens * tokens
        if determinant <= 1e-9 * count * tokens_squared:
            # All prompts are equally long: only their rate is known.
            slope = max(0.0, ttft / count - self.base_ttft) / (tokens / count)
        else:
            slope = (count * product - tokens * ttft) / determinant
        slowest = MAX_PRIOR_ERROR / PRIOR_PREFILL_TOKENS_PER_S
        fastest = 1 / (MAX_PRIOR_ERROR * PRIOR_PREFILL_TOKENS_PER_S)
        slope = min(slowest, max(fastest, slope))
        self.prefill_rate = 1 / slope
        self.base_ttft = min(
            MAX_PRIOR_ERROR * PRIOR_BASE_TTFT_S,
            max(
                PRIOR_BASE_TTFT_S / MAX_PRIOR_ERROR,
                (ttft - slope * tokens) / count,
            ),
        )
