"""Deterministic answers: any engine gives the same tokens for a request."""

import collections.abc
import dataclasses
import random
import re
import typing

import xxhash

from corianderloft._internal.utils import prefixes

DEFAULT_MAX_TOKENS = 4096
LENGTH_SHAPE = 1.5
"""Shape of the Pareto distribution of answer lengths; its tail is heavy."""

LENGTH_MARK = re.compile(rb'\[tokens:(\d{1,6})\]')
"""A prompt that holds ``[tokens:N]`` asks for an answer of N tokens."""

Message = collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Answer:
    """The whole answer to one request.

    Attributes
    ----------
    key : int
        Hash of model, messages and seed; the tokens follow from it.
    length : int
        Tokens in the answer.
    finish_reason : str
        ``stop``, or ``length`` when ``max_tokens`` cut it.
    """

    key: int
    length: int
    finish_reason: str

    def token(self, index: int) -> str:
        """Return the text of token ``index``, counted from 1."""
        raw = b'%d/%d' % (self.key, index)
        return f' {xxhash.xxh32_hexdigest(raw)[:5]}'

    def text(self, first: int = 1) -> str:
        """Return the text from token ``first`` to the end."""
        return ''.join(map(self.token, range(first, self.length + 1)))


def answer_for(
    model: str,
    messages: collections.abc.Iterable[Message],
    seed: int,
    max_tokens: int,
    mean_tokens: int,
) -> Answer:
    """Return the answer to a request.

    Parameters
    ----------
    model : str
        Model version.
    messages : iterable of mapping
        Messages of the request.
    seed : int
        Seed of the request.
    max_tokens : int
        Bound on the answer, in tokens.
    mean_tokens : int
        Mean length for a prompt that names none, in tokens.
    """
    prompt = prefixes.prompt_bytes(messages)
    digest = xxhash.xxh64(model.encode(), seed=seed % 2**32)
    digest.update(prompt)
    key = digest.intdigest()
    mark = LENGTH_MARK.search(prompt)
    wanted = int(mark[1]) if mark else _natural_length(key, mean_tokens)
    wanted = max(1, wanted)
    if wanted > max_tokens:
        return Answer(key, max_tokens, 'length')
    return Answer(key, wanted, 'stop')


def _natural_length(key: int, mean_tokens: int) -> int:
    scale = mean_tokens * (LENGTH_SHAPE - 1) / LENGTH_SHAPE
    return round(scale * random.Random(key).paretovariate(LENGTH_SHAPE))
