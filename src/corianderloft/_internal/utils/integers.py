"""Integers from outside, bounded where they are decoded.

The rest of the program adds them up and sends sums on, which must stay within
what messages and floating-point numbers hold.
"""

MAX_INTEGER = 2**53 - 1
"""Greatest integer that JSON and floating-point numbers hold exactly."""


def parse(text: bytes | None, maximum: int = MAX_INTEGER) -> int | None:
    """Return a non-negative decimal integer, or None if it is malformed.

    Parameters
    ----------
    text : bytes or None
        The digits; surrounding white space is ignored.
    maximum : int
        Returned instead of a greater integer.
    """
    digits = (text or b'').strip()
    if not digits.isdigit():
        return None
    # The conversion of thousands of digits is slow, and refused at some size.
    if len(digits.lstrip(b'0')) > len(str(maximum)):
        return maximum
    return min(int(digits), maximum)


def bounded(value: object, minimum: int, maximum: int = MAX_INTEGER) -> int:
    """Return an integer that has been decoded, within bounds.

    Raises
    ------
    ValueError
        If it is no integer or out of range.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f'{value!r} is not an integer')
    if not minimum <= value <= maximum:
        raise ValueError(f'{value} is not from {minimum} to {maximum}')
    return value
