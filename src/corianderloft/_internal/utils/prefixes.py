"""Hashes of the prefixes of a prompt, and estimates of its length.

Entry hosts and engines identify a cached prefix by the same hash.
"""

import collections.abc
import typing

import xxhash

BLOCK_BYTES = 1024
MAX_BLOCKS = 64
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN

Message = collections.abc.Mapping[str, typing.Any]


def prompt_bytes(messages: collections.abc.Iterable[Message]) -> bytes:
    """Return the prompt as bytes: one ``role: content`` line per message."""
    return ''.join(
        f"{item.get('role', '')}: {item.get('content', '')}\n"
        for item in messages
    ).encode()


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated length of a prompt, in tokens."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def prefix_hashes(model: str, prompt: bytes) -> tuple[int, ...]:
    """Return 64-bit hashes of prefixes of whole blocks, shortest first.

    Parameters
    ----------
    model : str
        Model version; cached prefixes are not shared between versions.
    prompt : bytes
        Prompt, as returned by `prompt_bytes`.
    """
    digest = xxhash.xxh64(model.encode())
    blocks = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    return tuple(
        _extend(digest, prompt[start : start + BLOCK_BYTES])
        for start in range(0, blocks * BLOCK_BYTES, BLOCK_BYTES)
    )


def _extend(digest: xxhash.xxh64, block: bytes) -> int:
    digest.update(block)
    return digest.intdigest()
