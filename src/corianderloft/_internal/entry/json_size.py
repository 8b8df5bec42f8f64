"""Size of a JSON document once it is parsed.

A document of empty objects takes some hundred times its length in memory while
it is validated, so the length of a body does not bound its memory.
"""

import re

VALUE_BYTES = 512
"""Memory of a value while the document is parsed and validated."""

SMALL_VALUES = 1000
"""Values of a document whose memory belongs to the share of its connection."""

_STRING = re.compile(rb'"(?:[^"\\]+|\\.)*+"?', re.DOTALL)
"""A string, or what follows the start of one that does not end."""
_SEPARATORS = (b',', b'[', b'{')


def count_values(raw: bytes, enough: int) -> int:
    """Return an upper bound of the number of values in a document.

    Parameters
    ----------
    raw : bytes
        The document.
    enough : int
        Number up to which the bound may include separators in strings, which
        are cheap to count and mostly few.
    """
    count = _count_separators(raw)
    if count <= enough:
        return count
    return _count_separators(_STRING.sub(b'', raw))


def parsed_bytes(values: int) -> int:
    """Return the memory to hold for a document, in bytes."""
    return values * VALUE_BYTES if values > SMALL_VALUES else 0


def _count_separators(raw: bytes) -> int:
    return 1 + sum(raw.count(separator) for separator in _SEPARATORS)


__all__ = ['count_values', 'parsed_bytes']
