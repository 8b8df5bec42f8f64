"""IDs of server-sent events, and how far apart they are."""

import collections
import collections.abc

EVENT_END = b'\n\n'

MAX_ID_DIGITS = 15
"""Longest ID; JSON and floating-point numbers hold all of that length."""

RECENT_STREAMS = 16
"""Number of streams whose steps are remembered."""

_ID = b'id:'
_NO_CONTENT = (b':', b'retry:')


class NoNumber(ValueError):
    """The ID of an event is no number, so its position is unknown."""


def read(events: bytes) -> collections.abc.Iterator[int | None]:
    """Yield the ID of each complete event, None for one without an ID.

    Comments, empty events and those that only set the time before a caller
    asks again are passed over.

    Raises
    ------
    NoNumber
        If an ID is not a non-negative decimal number.
    """
    for event in events.split(EVENT_END):
        lines = [
            line
            for line in event.split(b'\n')
            if line and not line.startswith(_NO_CONTENT)
        ]
        if lines:
            yield _id(lines)


def _id(lines: list[bytes]) -> int | None:
    values = [line[len(_ID) :] for line in lines if line.startswith(_ID)]
    if not values:
        return None
    digits = values[-1].strip()
    if not digits.isdigit() or len(digits) > MAX_ID_DIGITS:
        raise NoNumber(f'the ID {digits[:MAX_ID_DIGITS]!r} is no number')
    return int(digits)


class Steps:
    """Greatest difference between the IDs of two events, by service.

    Servers of a service number their events alike, so an event that follows
    at a greater distance than any other has one missing before it.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, collections.deque[int]] = {}

    def record(self, service: str, step: int) -> None:
        """Record the greatest step within one run of a stream."""
        recent = self._by_service.setdefault(
            service, collections.deque(maxlen=RECENT_STREAMS)
        )
        recent.append(step)

    def greatest(self, service: str) -> int | None:
        """Return the greatest step of recent streams; None if unknown."""
        return max(self._by_service.get(service, ()), default=None)
