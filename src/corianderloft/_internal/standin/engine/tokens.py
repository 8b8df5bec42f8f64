"""Deterministic completions: all engines generate the same tokens."""

import collections.abc
import dataclasses
import random
import re
import typing

import xxhash

from corianderloft._internal.utils import prefixes

DEFAULT_MAX_TOKENS = 4096
LENGTH_PARETO_SHAPE = 1.5
"""Shape of the Pareto distribution of completion lengths (heavy tail)."""

LENGTH_PATTERN = re.compile(rb'\[tokens:(\d{1,6})\]')
"""A prompt with ``[tokens:N]`` gets a completion of N tokens."""

Message = collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Completion:
    """Complete output for one request.

    Attributes
    ----------
    key : int
        Hash of model, messages and seed that determines the tokens.
    length : int
        Length of the completion, in tokens.
    finish_reason : str
        ``stop``, or ``length`` if truncated at ``max_tokens``.
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


def completion_for(
    model: str,
    messages: collections.abc.Iterable[Message],
    seed: int,
    max_tokens: int,
    mean_tokens: int,
) -> Completion:
    """Return the completion for a request.

    Parameters
    ----------
    model : str
        Model version.
    messages : iterable of mapping
        Messages of the request.
    seed : int
        Seed of the request.
    max_tokens : int
        Maximum length of the completion, in tokens.
    mean_tokens : int
        Mean length for a prompt without ``[tokens:N]``, in tokens.
    """
    prompt = prefixes.prompt_bytes(messages)
    digest = xxhash.xxh64(model.encode(), seed=seed % 2**32)
    digest.update(prompt)
    key = digest.intdigest()
    requested = LENGTH_PATTERN.search(prompt)
    length = (
        int(requested[1]) if requested else _random_length(key, mean_tokens)
    )
    length = max(1, length)
    if length > max_tokens:
        return Completion(key, max_tokens, 'length')
    return Completion(key, length, 'stop')


def _random_length(key: int, mean_tokens: int) -> int:
    scale = mean_tokens * (LENGTH_PARETO_SHAPE - 1) / LENGTH_PARETO_SHAPE
    return round(scale * random.Random(key).paretovariate(LENGTH_PARETO_SHAPE))
