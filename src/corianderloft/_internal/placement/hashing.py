"""Rendezvous hashing: every host computes the same order independently."""

import collections.abc
import functools
import typing

import xxhash

T = typing.TypeVar('T')


@functools.lru_cache(maxsize=65536)
def weight(key: str, item_id: str) -> int:
    """Return the rendezvous weight of an item for a key."""
    return int(xxhash.xxh3_64_intdigest(f'{key}\0{item_id}'.encode()))


def ranked(
    key: str,
    items: collections.abc.Iterable[T],
    id_of: collections.abc.Callable[[T], str],
) -> list[T]:
    """Return the items in order of preference for a key."""
    return sorted(items, key=lambda item: weight(key, id_of(item)))
