"""Rendezvous hashing: all hosts arrive at the same order alone."""

import collections.abc
import functools
import typing

import xxhash

T = typing.TypeVar('T')


@functools.lru_cache(maxsize=65536)
def weight(subject: str, name: str) -> int:
    """Return the weight of ``name`` for ``subject``."""
    return int(xxhash.xxh3_64_intdigest(f'{subject}\0{name}'.encode()))


def ranked(
    subject: str,
    items: collections.abc.Iterable[T],
    name: collections.abc.Callable[[T], str],
) -> list[T]:
    """Return the items in the order in which they serve ``subject``."""
    return sorted(items, key=lambda item: weight(subject, name(item)))
